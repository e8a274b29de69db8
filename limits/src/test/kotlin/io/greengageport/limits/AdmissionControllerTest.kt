package io.greengageport.limits

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.mapBoth
import io.greengageport.common.InstanceId
import io.greengageport.common.RequestError
import io.greengageport.common.ServiceName
import io.greengageport.testkit.ManualClock
import kotlin.random.Random
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import kotlinx.coroutines.yield
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

class AdmissionControllerTest {
    private val clock = ManualClock()
    private val decisions = mutableListOf<String>()
    private val policies = mapOf(
        org("limited") to OrganisationPolicy(tokensPerSecond = 100.0, maxConcurrentRequests = 2)
    )
    private val limits =
        OrganisationLimits(policies::get, UsageReporter(InstanceId("i"), policies::get))

    private fun controller(slots: Int = 1, maxLength: Int = 10, rate: Double? = null) =
        AdmissionController(
            clock,
            FairQueue(QueueSettings(ranks(), maxLength)),
            limits,
            Capacity(slots, rate),
            observer = {
                val retry = it.retryAfterMillis?.let { ms -> " retry=$ms" }.orEmpty()
                val r = it.request
                decisions += "${clock.monotonicMillis()} ${r.id} ${r.rank} ${r.organisation} " +
                    "${it.outcome} waited=${it.waitedMillis}$retry"
            }
        )

    private fun CoroutineScope.admit(c: AdmissionController, request: QueuedRequest) =
        async(start = CoroutineStart.UNDISPATCHED) { c.admit(request) }

    private fun Result<Permit, RequestError>.describe(): String = mapBoth(
        success = { "admitted" },
        failure = { "${it.status} ${it.code} retry=${it.retryAfterMillis}" }
    )

    private suspend fun Deferred<Result<Permit, RequestError>>.permit(): Permit =
        await().mapBoth({ it }, { error("refused: $it") })

    @Nested
    inner class Refusals {
        /** Fails if a refusal has the wrong error type or no retry time. */
        @Test
        fun `refused requests get an error code and a retry time`() = runBlocking<Unit> {
            val c = controller(maxLength = 1)
            val running = admit(c, request("limited-1", organisation = "limited"))
            val queued = admit(c, request("queued", MIDDLE, deadline = 50))
            val full = admit(c, request("full", LOWEST))
            val others = List(2) { admit(c, request("limited-2$it", LOWEST, "limited")) }
            clock.advance(51)
            c.tick()
            c.stopAdmitting()
            val afterStop = admit(c, request("late"))
            val results = listOf(running, queued, full) + others + afterStop
            expectThat(results.awaitAll().map { it.describe() }).isEqualTo(
                listOf(
                    "admitted",
                    "503 overloaded retry=100",
                    "503 overloaded retry=100",
                    "503 overloaded retry=100",
                    "503 overloaded retry=100",
                    "503 not_serving retry=100"
                )
            )
        }

        /** Fails if ended requests stay counted or if actual tokens are not charged. */
        @Test
        fun `requests above the limits of their organisation are refused`() = runBlocking<Unit> {
            val c = controller(slots = 10)
            suspend fun admitLimited(id: String) = c.admit(request(id, organisation = "limited"))
            val first = List(2) { admit(c, request("a$it", organisation = "limited")).permit() }
            expectThat(admitLimited("concurrent").describe()).isEqualTo("429 over_limit retry=500")
            first.forEach { it.release(actualTokens = 200) }
            expectThat(admitLimited("tokens").describe()).isEqualTo("429 over_limit retry=2001")
            clock.advance(2_001)
            expectThat(admitLimited("later").describe()).isEqualTo("admitted")
        }
    }

    @Nested
    inner class Permits {
        /** Fails if releasing a permit twice frees two slots, which would exceed the capacity. */
        @Test
        fun `releasing a permit twice frees one slot`() = runBlocking<Unit> {
            val c = controller()
            val permit = admit(c, request("a")).permit()
            val waiting = List(2) { admit(c, request("b$it")) }
            expectThat(
                listOf(permit.release(10), permit.release(10))
            ).isEqualTo(listOf(true, false))
            expectThat(waiting.map { it.isCompleted || c.state.queued == 0 })
                .isEqualTo(listOf(false, false))
            yield()
            expectThat(waiting.map { it.isCompleted }).isEqualTo(listOf(true, false))
            waiting[0].permit().release(10)
            waiting[1].permit().release(10)
            expectThat(c.state.inFlight).isEqualTo(0)
        }

        /** Fails if queue entries or permits of cancelled callers are not freed. */
        @Test
        fun `queue entries and permits of cancelled callers are freed`() = runBlocking<Unit> {
            val c = controller()
            val permit = admit(c, request("a")).permit()
            val queued = admit(c, request("queued", organisation = "limited"))
            queued.cancel()
            queued.join()
            expectThat(c.state.queued).isEqualTo(0)
            val granted = admit(c, request("granted", organisation = "limited"))
            permit.release(10)
            granted.cancel()
            granted.join()
            expectThat(c.state.inFlight).isEqualTo(0)
            val again = List(2) { admit(c, request("again$it", organisation = "limited")) }
            yield()
            expectThat(again.map { it.isCompleted }).isEqualTo(listOf(true, false))
            again.forEach { it.cancel() }
        }

        /** Fails if concurrent releases, cancellations and resizes lose slots or replies. */
        @Property(tries = 20, seed = SEED)
        fun `permits stay consistent under concurrent use`(@ForAll seed: Int) = runBlocking<Unit> {
            val c = controller(slots = 4, maxLength = 50)
            withContext(Dispatchers.Default) {
                repeat(300) { i ->
                    val random = Random(seed * 1_000L + i)
                    val job = launch {
                        c.admit(request(i, organisation = random.nextInt(5))).mapBoth(
                            success = { p ->
                                yield()
                                expectThat(p.release(random.nextLong(300))).isTrue()
                                expectThat(p.release(1)).isFalse()
                            },
                            failure = { }
                        )
                    }
                    if (random.nextInt(5) == 0) job.cancel()
                    if (random.nextInt(20) == 0) c.updateCapacity(Capacity(1 + random.nextInt(6)))
                }
            }
            c.drain()
            expectThat(c.state.copy(slots = 0, admittedTokens = 0)).describedAs("seed $seed")
                .isEqualTo(AdmissionState(0, 0, 0, 0, isStopping = true))
        }
    }

    @Nested
    inner class Changes {
        /** Fails if requests stay queued although the capacity of the fleet has grown. */
        @Test
        fun `increasing the capacity admits queued requests`() = runBlocking<Unit> {
            val c = controller(slots = 0)
            val waiting = List(3) { admit(c, request(it)) }
            c.updateCapacity(Capacity(2))
            expectThat(
                c.state
            ).isEqualTo(AdmissionState(1, 100, 2, 2, isStopping = false, admittedTokens = 200))
            waiting[2].cancel()
        }

        /** Fails if the share uses the own load of the wrong time, or outdated reports. */
        @Test
        fun `load reports update the capacity`() = runBlocking<Unit> {
            val c = controller(slots = 30)
            val feed = CapacityFeed(clock, c)
            val fleet = FleetLoad(slots = 90.0, inUseSlots = 45.0)
            val permits = List(18) { admit(c, request(it)).permit() }
            feed.recordOwnLoad()
            clock.advance(2_000)
            permits.forEach { it.release(10) }
            feed.recordOwnLoad()
            feed.onReports(fleet, ageMillis = 2_000, liveInstances = 9)
            // 0.8 * (18 in use + 45 free / 9) + 0.2 * 90 / 9
            expectThat(c.state.slots).isEqualTo(20)
            feed.onReports(fleet, ageMillis = 10_001, liveInstances = 9)
            expectThat(c.state.slots).isEqualTo(10)
        }

        /** Fails if stopping aborts queued or running requests. */
        @Test
        fun `draining completes queued and running requests`() = runBlocking<Unit> {
            val c = controller()
            val running = admit(c, request("running")).permit()
            val queued = admit(c, request("queued"))
            val drain = launch(start = CoroutineStart.UNDISPATCHED) { c.drain() }
            running.release(10)
            val last = queued.permit()
            expectThat(drain.isCompleted).isFalse()
            last.release(10)
            drain.join()
        }

        /** Fails if expired requests are refused only when the next request arrives. */
        @Test
        fun `queued requests expire without new arrivals`() = runBlocking<Unit> {
            val c = controller(slots = 0)
            val timer = launch(start = CoroutineStart.UNDISPATCHED) { c.run() }
            val queued = admit(c, request("a", deadline = 20))
            clock.advance(21)
            expectThat(queued.await().describe()).isEqualTo("503 overloaded retry=100")
            timer.cancel()
        }

        /** Fails if the token bucket is refilled only when a request arrives. */
        @Test
        fun `the token rate refills without new arrivals`() = runBlocking<Unit> {
            val c = controller(slots = 9, rate = 100.0)
            val first = admit(c, request("a", tokens = 150))
            val second = admit(c, request("b", tokens = 150))
            expectThat(listOf(c.state.inFlight, c.tick().toInt())).isEqualTo(listOf(1, 501))
            clock.advance(501)
            c.tick()
            expectThat(c.state.inFlight).isEqualTo(2)
            listOf(first, second).forEach { it.permit().release(150) }
        }
    }

    /** Fails if single slow tokens lower the limit, or if it grows while slots are free. */
    @Test
    fun `the AIMD limit follows first-token latency`() {
        val aimd = AimdLimit(minSlots = 10, maxSlots = 100)
        fun window(slow: Int, inFlight: Int): Int {
            repeat(20) { i ->
                if (i == 19) clock.advance(1_000)
                aimd.record(if (i < slow) 400 else 300, 340, inFlight, clock.monotonicMillis())
            }
            return aimd.limit
        }
        val limits = listOf(
            window(slow = 1, inFlight = 100),
            window(slow = 2, inFlight = 60),
            window(slow = 0, inFlight = 54),
            window(slow = 0, inFlight = 20),
            window(slow = 20, inFlight = 5)
        )
        expectThat(limits).isEqualTo(listOf(100, 54, 55, 55, 10))
    }

    /** Fails if estimates ignore earlier answers or exceed the maximum of the request. */
    @Test
    fun `work is estimated from earlier answers`() {
        val estimator = WorkEstimator(capacity = 1)
        val chat = ServiceName("chat")
        fun estimates() = listOf(50L, 500).map { estimator.estimate(org("a"), chat, 20, it) }
        expectThat(estimates()).isEqualTo(listOf(70L, 520))
        repeat(2) { estimator.record(org("a"), chat, answerTokens = 100L + it * 100) }
        expectThat(estimates()).isEqualTo(listOf(70L, 130))
        estimator.record(org("b"), chat, answerTokens = 1)
        expectThat(estimates()).isEqualTo(listOf(70L, 520))
    }

    /** Compares every decision of a generated session with the recorded ones. */
    @Test
    fun `decisions of a generated session match the golden file`() = runBlocking<Unit> {
        val random = Random(7)
        val c = controller(slots = 2, maxLength = 4, rate = 400.0)
        val running = ArrayDeque<Deferred<Result<Permit, RequestError>>>()
        repeat(40) { i ->
            clock.advance(random.nextLong(120))
            val rank = listOf(URGENT, MIDDLE, LOWEST)[random.nextInt(3)]
            val name = listOf("large", "large", "small", "limited")[random.nextInt(4)]
            val deadline = clock.monotonicMillis() + random.nextLong(200, 1_500)
            running += admit(c, request(i, rank, name, random.nextLong(20, 120), deadline))
            if (i % 13 == 12) running.last().cancel()
            yield()
            val done = running.firstOrNull { it.isCompleted && !it.isCancelled }
            if (random.nextInt(3) > 0 && done != null) {
                running.remove(done)
                done.await().mapBoth({ it.release(random.nextLong(20, 160)) }, { })
            }
            c.tick()
        }
        c.updateCapacity(Capacity(40))
        running.forEach { it.cancel() }
        val golden = checkNotNull(javaClass.getResource("/session.golden")).readText()
        expectThat(decisions.joinToString("\n", postfix = "\n")).isEqualTo(golden)
    }
}
