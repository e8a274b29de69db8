package io.greengageport.systemtest

import io.greengageport.bench.LocalFleet
import io.greengageport.bench.PlainSpec
import io.greengageport.standins.ModelFunction
import io.greengageport.systemtest.TestFleet.Companion.LAYERS
import io.greengageport.systemtest.TestFleet.Companion.engine
import java.time.Duration
import java.util.concurrent.CompletableFuture
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Tag
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo

/** Open connections stop carrying data permanently while new ones work. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
internal class SilentConnectionsTest {
    private val fleet = TestFleet(
        engines = ENGINES.map { if (it[0] == 'a') engine(it, 0, 6) else engine(it, 6, 12) },
        plain = SHOPS.map { PlainSpec(it, "parts") },
        relayed = ENGINES + SHOPS
    )
    private val local = fleet.local

    @AfterEach
    fun repair() {
        SHOPS.forEach { fleet.fault(it, "\"delay_ms\":0") }
    }

    @AfterAll
    fun close(): Unit = fleet.close()

    @Nested
    inner class AStreamGoesOnWhen {
        /** Guards against waiting forever on an open but silent connection. */
        @Test
        @Tag("known-red")
        fun `its connection to the first stage goes silent`() =
            runWithSilence("silent head") { local.relay(it.first()).silence("entry-1") }

        /** Guards against excluding a stage for long when only its connection failed. */
        @Test
        @Tag("known-red")
        fun `the connection between its stages goes silent`() =
            runWithSilence("silent stage") { local.relay(it.last()).silence(it.first()) }

        private fun runWithSilence(prompt: String, silence: (List<String>) -> Int) {
            // `running` would mislead: an engine whose next stage is silent still counts a request
            // that has ended.
            val before = ENGINES.associateWith { fleet.counter(it, "generates") }
            val answer = fleet.startStream("entry-1", prompt, TOKENS).awaitTokens(3)
            val head = ENGINES.single { fleet.counter(it, "generates") > before.getValue(it) }
            val chain = listOf(head, fleet.busyChain().last())
            // Stages open a connection per token, so there may be none to silence at first.
            LocalFleet.await("a silent connection") {
                check(answer.end == null) { "answered before the fault" }
                silence(chain) > 0
            }
            answer.awaitEnd()
            println("$prompt: longest gap ${answer.longestGapMillis} ms")
            if (answer.end != "complete") fleet.explain(answer.requestId)
            expectThat(answer.end to answer.tokens)
                .isEqualTo("complete" to ModelFunction.answer(prompt, TOKENS, LAYERS))
            awaitLive()
        }
    }

    /** Guards against pooled dead connections that each delay another request. */
    @Test
    @Tag("known-red")
    fun `after all open connections went silent each runner costs one wait at most`() {
        (1..WARM_UPS).map {
            fleet.startStream("entry-1", "warm $it", TOKENS)
        }.forEach { it.awaitEnd() }
        ENGINES.forEach { local.relay(it).silence("entry-1") }
        val before = silentAttempts()
        (1..REQUESTS).forEach {
            expectThat(fleet.complete("entry-1", "after $it", 2).statusCode()).isEqualTo(200)
        }
        expectThat(silentAttempts() - before).isLessThanOrEqualTo(ENGINES.size.toDouble())
        awaitLive()
    }

    @Nested
    inner class ACallToAPlainService {
        /** Guards against failing a call that could be retried at another runner. */
        @Test
        fun `that may be repeated is answered by the other runner`() {
            val answer = CompletableFuture.supplyAsync {
                local.get(
                    "http://${local.callerAddress("entry-1")}/services/parts/list/7",
                    Duration.ofMinutes(1),
                    "Authorization" to "Bearer ${TestFleet.BUILDERS_KEY}"
                )
            }
            silenceAfterArrival(SHOPS.sumOf(fleet::receivedCalls), answer)
            val end = answer.join()
            expectThat(end.statusCode() to end.body().substringAfter(' '))
                .isEqualTo(200 to "/list/7")
            expectThat(SHOPS.sumOf(fleet::receivedCalls)).isEqualTo(receivedBefore + 2)
        }

        /** Guards against rerunning a call whose answer was lost on a silent connection. */
        @Test
        fun `that may not be repeated ends as unknown and runs once`() {
            val answer = fleet.startOrder("entry-1", "silent order", deadlineMillis = 2_000)
            silenceAfterArrival(SHOPS.sumOf(fleet::receivedCalls), answer)
            val end = answer.join()
            expectThat(end.execution).isEqualTo("unknown")
            SHOPS.forEach { fleet.fault(it, "\"delay_ms\":0") }
            val again = (1..3).map {
                fleet.sendOrder("entry-$it", "silent order", deadlineMillis = 1_000)
            }
            expectThat(again.map { it.execution }.distinct()).isEqualTo(listOf("unknown"))
            expectThat(SHOPS.flatMap(fleet::effects).filter { it == "silent order" })
                .isEqualTo(listOf("silent order"))
        }

        private var receivedBefore = 0L

        /** Waits until the call has arrived at a shop, then silences the connections to both. */
        private fun silenceAfterArrival(before: Long, answer: CompletableFuture<*>) {
            receivedBefore = before
            LocalFleet.await("the call arrives") {
                check(!answer.isDone) { "answered before the fault" }
                SHOPS.sumOf(fleet::receivedCalls) > before
            }
            SHOPS.forEach { local.relay(it).silence("entry-1") }
            SHOPS.forEach { fleet.fault(it, "\"delay_ms\":0") }
        }

        init {
            SHOPS.forEach { fleet.fault(it, "\"delay_ms\":500") }
        }
    }

    private fun silentAttempts(): Double = local.get(
        "http://${local.adminAddress("entry-1")}/metrics"
    ).body().lines().filter { it.startsWith("greengageport_attempts_total") && "Silent" in it }
        .sumOf { it.substringAfterLast(' ').toDouble() }

    private fun awaitLive() = LocalFleet.await("all engines get work at entry-1", seconds = 15) {
        ENGINES.all { fleet.stateOf(it, "entry-1") == "live" }
    }

    private companion object {
        val ENGINES = listOf("a1", "a2", "b1", "b2")
        val SHOPS = listOf("shop-1", "shop-2")
        const val TOKENS = 40
        const val WARM_UPS = 8
        const val REQUESTS = 12
    }
}
