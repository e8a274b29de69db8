package io.greengageport.ledger

import io.greengageport.common.InstanceId
import io.greengageport.testkit.ManualClock
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan

class OrderLedgerTest {
    private val time = VirtualTime(Random(SEED))
    private val log = SimulatedLog(time, Random(SEED))
    private val peers = SimulatedPeers()
    private val a = start("a")
    private val b = start("b")
    private val outcome = OrderSimulation.outcome(1)

    init {
        time.advance(1_000)
    }

    private fun start(
        id: String,
        settings: LedgerSettings = LedgerSettings(),
        instances: () -> Int = { 1 }
    ) = SimulatedInstance(InstanceId(id), time, log, peers, id.hashCode(), settings, instances)
        .start()

    private fun call(
        key: String = "k",
        body: Long = 1,
        waitMillis: Long = 5_000,
        issuedAtMillis: Long = ISSUED_AT_MILLIS,
        deduplicates: Boolean = false
    ) = OrderCall(
        OrderSimulation.key(key),
        Digest(body, body),
        issuedAtMillis,
        time.monotonicMillis() + waitMillis,
        deduplicates
    )

    private fun claim(instance: SimulatedInstance, call: OrderCall = call()) =
        time.run { instance.ledger.claim(call) }

    private fun claimPermit(instance: SimulatedInstance, call: OrderCall = call()): SendPermit =
        (claim(instance, call) as BeginResult.Won).permit

    private fun execute(permit: SendPermit) = permit.use {
        check(it.startSending())
        it.recordOutcome(outcome)
    }

    @Nested
    inner class Retries {
        /**
         * Guards against a second execution by a retry, and against the response of another call.
         */
        @Test
        fun `an outcome is replayed on every instance, and only for the same body`() {
            execute(claimPermit(a))
            time.advance(1_000)
            expectThat(listOf(a, b).map { claim(it) }).isEqualTo(
                listOf(BeginResult.Replay(outcome), BeginResult.Replay(outcome))
            )
            expectThat(claim(b, call(body = 2))).isEqualTo(BeginResult.KeyReused)
        }

        /** Guards against a retry that is sent while the first attempt still runs. */
        @Test
        fun `a retry on another instance waits for the running call until its deadline`() {
            val permit = claimPermit(a)
            permit.startSending()
            expectThat(claim(b, call(waitMillis = 500))).isEqualTo(BeginResult.InProgress(a.id))
            time.after(1_000) { permit.recordOutcome(outcome) }
            expectThat(claim(b)).isEqualTo(BeginResult.Replay(outcome))
        }

        /** Guards against two executions of calls that arrive at the same time. */
        @Test
        fun `concurrent calls with one key get one permit`() {
            val results = time.run {
                List(6) {
                    async { listOf(a, b)[it % 2].ledger.claim(call(waitMillis = 900)) }
                }.awaitAll()
            }
            expectThat(results.count { it is BeginResult.Won }).isEqualTo(1)
            expectThat(results.count { it is BeginResult.InProgress }).isEqualTo(5)
        }

        /** Guards against large responses that fill the log and the memory of all instances. */
        @Test
        fun `the body of a large outcome is not recorded`() {
            val big = CallOutcome(200, emptyMap(), ByteArray(16 * 1024 + 1))
            claimPermit(a).use { check(it.startSending()).also { _ -> it.recordOutcome(big) } }
            time.advance(1_000)
            expectThat(claim(b)).isEqualTo(BeginResult.Replay(big.withoutBody()))
        }
    }

    @Nested
    inner class Crashes {
        /** Guards against a second execution after a crash, also by the restarted claimant. */
        @Test
        fun `the outcome of a call is unknown after its claimant crashed`() {
            claimPermit(a).startSending()
            a.process.kill()
            expectThat(claim(b)).isEqualTo(BeginResult.OutcomeUnknown)
            expectThat(claim(start("a"))).isEqualTo(BeginResult.OutcomeUnknown)
        }

        /** Guards against calls that stay blocked although a second execution would do no harm. */
        @Test
        fun `a crashed claimant is replaced if the backend server deduplicates calls`() {
            claimPermit(a, call(deduplicates = true)).startSending()
            a.process.kill()
            execute(claimPermit(b, call(deduplicates = true)))
            time.advance(1_000)
            expectThat(claim(start("c"))).isEqualTo(BeginResult.Replay(outcome))
        }

        /**
         * Guards against a failure between two steps that frees the key of a call that was sent.
         */
        @Test
        fun `closing a permit releases an unsent call and makes a sent one unknown`() {
            claimPermit(a).close()
            val second = claimPermit(b)
            second.use { it.startSending() }
            expectThat(claim(a)).isEqualTo(BeginResult.OutcomeUnknown)
            second.recordOutcome(outcome)
            expectThat(claim(a)).isEqualTo(BeginResult.OutcomeUnknown)
        }

        /** Guards against a paused claimant that sends long after its claim. */
        @Test
        fun `a permit cannot be used after its send window`() {
            val permit = claimPermit(a)
            time.advance(LedgerSettings().sendWindow.inWholeMilliseconds)
            expectThat(permit.startSending()).isEqualTo(false)
            execute(claimPermit(b))
        }
    }

    @Nested
    inner class Outages {
        /** Guards against calls that each wait for a timeout during an outage of the log. */
        @Test
        fun `a call is refused without waiting while the log is down`() {
            log.store.isDown = true
            claim(a)
            val before = time.monotonicMillis()
            val r = claim(a, call(key = "other"))
            expectThat(r).isA<BeginResult.LogUnavailable>()
                .get { retryAfterMillis }.isGreaterThan(0)
            expectThat(time.monotonicMillis() - before).isLessThan(3)
        }

        /** Guards against a status that operators read as the duration of the outage. */
        @Test
        fun `the status has the same time until a retry as the results of calls`() {
            log.store.isDown = true
            claim(a)
            time.advance(60_000)
            val refusal = (claim(a, call(key = "other")) as BeginResult.LogUnavailable)
            val during = a.ledger.status().retryDelayMillis
            log.store.isDown = false
            time.advance(10_000)
            execute(claimPermit(a, call(key = "third")))
            time.advance(1_000)
            expectThat(listOf(during, a.ledger.status().retryDelayMillis))
                .isEqualTo(listOf(refusal.retryAfterMillis, null))
        }

        /** Guards against outcomes that are lost when the log is down as a call ends. */
        @Test
        fun `outcomes and releases of an outage are appended after it`() {
            val (first, second) = claimPermit(a) to claimPermit(a, call(key = "other"))
            check(first.startSending())
            log.store.isDown = true
            time.advance(500)
            first.recordOutcome(outcome)
            second.release()
            time.advance(60_000)
            expectThat(claim(a)).isEqualTo(BeginResult.Replay(outcome))
            log.store.isDown = false
            time.advance(10_000)
            expectThat(claim(b)).isEqualTo(BeginResult.Replay(outcome))
            execute(claimPermit(b, call(key = "other")))
            expectThat(time.run { a.ledger.flush(1.seconds) }).isEqualTo(true)
        }

        /** Guards against a late append that wins for a call reported as not sent. */
        @Test
        fun `a call whose claim append is uncertain is not sent and can be retried`() {
            log.faultRate = 1.0
            // Waits for the backoff to pass, so that each claim gets its own append.
            val results = List(12) { i -> claim(a, call(key = "k$i")).also { time.advance(6_000) } }
            log.faultRate = 0.0
            time.advance(30_000)
            results.forEachIndexed { i, r ->
                if (r !is BeginResult.Won) expectThat(r).isA<BeginResult.LogUnavailable>()
                if (r !is BeginResult.Won) execute(claimPermit(b, call(key = "k$i")))
            }
            expectThat(results.count { it is BeginResult.LogUnavailable }).isGreaterThan(0)
        }

        /** Guards against a second execution after an outcome that could not be recorded. */
        @Test
        fun `an outcome that the log rejects as too large is recorded without body and headers`() {
            log.maxRecordBytes = 300
            time.run { List(5) { async { a.ledger.claim(call(key = "k$it")) } }.awaitAll() }
                .forEach { expectThat(it).isA<BeginResult.Won>() }
            val big = CallOutcome(200, mapOf("H" to listOf("h")), ByteArray(1_000))
            claimPermit(a).use { check(it.startSending()).also { _ -> it.recordOutcome(big) } }
            time.advance(1_000)
            expectThat(claim(b))
                .isEqualTo(BeginResult.Replay(big.withoutBody().copy(headers = emptyMap())))
        }

        /** Guards against decisions of a new instance that does not know earlier claims. */
        @Test
        fun `an instance that has not read the stream is not ready`() {
            log.store.isDown = true
            expectThat(claim(start("c"))).isA<BeginResult.NotReady>()
        }

        /** Guards against one append for each claim, which would exceed the append rate. */
        @Test
        fun `claims of many keys share appends`() {
            val before = log.store.appendCount
            time.run {
                List(200) { async { a.ledger.claim(call(key = "k$it")) } }.awaitAll()
            }
            expectThat(log.store.appendCount - before).isLessThan(5)
        }
    }

    @Nested
    inner class FleetRate {
        /** Guards against instances that observe only their own limit and exceed the fleet's. */
        @Test
        fun `many busy instances stay within the append rate of the fleet`() {
            val bounds = LedgerSettings(fleetAppendsPerSecond = 50)
            val fleet = List(FLEET_SIZE) { start("busy-$it", bounds) { FLEET_SIZE } }
            time.advance(1_000)
            val before = log.store.appendCount
            val startedAtMillis = time.monotonicMillis()
            time.run {
                (fleet + fleet).mapIndexed { n, i ->
                    async { executeCalls(i, "$n", startedAtMillis + 5_000) }
                }.awaitAll()
            }.forEach { expectThat(it).isGreaterThan(4) }
            val millis = time.monotonicMillis() - startedAtMillis
            expectThat(log.store.appendCount - before)
                .isLessThan(millis * 50 / 1_000 + FLEET_SIZE + 1)
        }

        /** Guards against instances that keep the interval of an earlier fleet size. */
        @Test
        fun `the append interval grows and shrinks with the fleet size`() {
            var size = FLEET_SIZE
            val instance = start("one", LedgerSettings(fleetAppendsPerSecond = 8)) { size }
            time.advance(1_000)
            execute(claimPermit(instance))
            val waits = listOf(FLEET_SIZE, 1).map {
                size = it
                val startedAtMillis = time.monotonicMillis()
                execute(claimPermit(instance, call(key = "after $it")))
                time.monotonicMillis() - startedAtMillis
            }
            expectThat(waits.first()).isGreaterThan(1_000)
            expectThat(waits.last()).isLessThan(300)
        }

        /** Executes calls one after another until [untilMillis]; returns their number. */
        private suspend fun executeCalls(
            instance: SimulatedInstance,
            caller: String,
            untilMillis: Long
        ): Int {
            var won = 0
            while (time.monotonicMillis() < untilMillis) {
                val key = "${instance.id}-$caller-$won"
                val permit = (instance.ledger.claim(call(key = key)) as BeginResult.Won).permit
                execute(permit)
                won++
            }
            return won
        }
    }

    @Nested
    inner class Retention {
        /** Guards against a second execution when the record of the first may be gone. */
        @Test
        fun `keys older than the retention or issued in the future are refused`() {
            val now = time.wallMillis()
            val day = 24 * 3_600_000L
            expectThat(
                listOf(now - day - 1, now + 40_000).map { claim(a, call(issuedAtMillis = it)) }
            ).isEqualTo(listOf(BeginResult.KeyExpired, BeginResult.IssuedInFuture))
        }

        /** Guards against a second execution by an instance that misses truncated records. */
        @Test
        fun `a call from before the truncation horizon is not run again by a new instance`() {
            // Issued ahead of the log's clock by less than the skew, and appended immediately.
            val early = call(issuedAtMillis = time.wallMillis() + 20_000)
            execute(claimPermit(a, early))
            time.advance(1_000)
            val horizon = time.wallMillis()
            execute(claimPermit(a, call(key = "later", issuedAtMillis = horizon)))
            time.advance(1_000)
            log.store.expire(horizon)
            expectThat(claim(start("c"), early)).isEqualTo(BeginResult.KeyExpired)
        }

        /** Guards against one bad append that stops the ledger of every instance. */
        @Test
        fun `malformed appends do not stop the reader`() {
            log.store.store("orders", byteArrayOf(7, 7, 7))
            execute(claimPermit(a))
        }

        /** Guards against decisions on a copy that became stale during a pause. */
        @Test
        fun `an instance reads the stream after a pause before it replies`() {
            a.process.pause(60_000)
            execute(claimPermit(b))
            time.advance(60_001)
            expectThat(claim(a)).isEqualTo(BeginResult.Replay(outcome))
        }
    }

    private companion object {
        const val SEED = 11
        const val FLEET_SIZE = 10
        const val ISSUED_AT_MILLIS = ManualClock.START_WALL_MILLIS
    }
}
