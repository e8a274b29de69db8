package io.greengageport.systemtest

import io.greengageport.bench.LocalFleet
import io.greengageport.bench.PlainSpec
import io.greengageport.standins.ModelFunction
import io.greengageport.systemtest.TestFleet.Companion.LAYERS
import io.greengageport.systemtest.TestFleet.Companion.engine
import java.time.Instant
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.MethodOrderer
import org.junit.jupiter.api.Order
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import org.junit.jupiter.api.TestMethodOrder
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isNotEmpty
import strikt.assertions.isNotNull
import strikt.assertions.isTrue

/**
 * Checks that leaving runners get no new work after 3 s and that planned stops interrupt no
 * request (invariants 5 and 6).
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
@TestMethodOrder(MethodOrderer.OrderAnnotation::class)
internal class LeavingTest {
    private val fleet = TestFleet(
        engines = listOf("a1", "a2", "a3").map { engine(it, 0, 6) } +
            listOf("b1", "b2", "b3").map { engine(it, 6, 12) },
        plain = listOf(PlainSpec("shop", "parts"))
    )
    private val instances = fleet.local.instances

    @AfterAll
    fun close(): Unit = fleet.close()

    /** Guards against new work for a runner that is marked as leaving only in its load reports. */
    @Test
    @Order(1)
    fun `a leaving first stage gets no new calls after 3 s and its streams finish`() {
        val running = startStreams("leaving")
        val leaving = fleet.liveEngines.first { fleet.counter(it, "running") > 0 }
        fleet.fault(leaving, "\"leaving\":true")
        awaitNanos(NO_NEW_WORK_NANOS)
        val calls = fleet.counter(leaving, "generates")
        repeat(NEW_CALLS) {
            expectCorrectText("new $it", complete(instances[it % instances.size], it))
        }
        expectThat(fleet.counter(leaving, "generates")).isEqualTo(calls)
        running.forEach { (prompt, answer) -> expectCompleteAnswer(prompt, answer) }
    }

    /** Guards against new chains through a leaving later stage until its port closes. */
    @Test
    @Order(2)
    fun `a last stage that gets SIGTERM gets no new steps after 3 s and its streams finish`() {
        val running = startStreams("stopping")
        fleet.process("b1").terminate()
        awaitNanos(NO_NEW_WORK_NANOS)
        val answers = (0 until NEW_CALLS).map { n ->
            complete(instances[n % instances.size], n).also { expectCorrectText("new $n", it) }
        }
        val ids = answers.map { it.headers().firstValue("Greengage-Request-Id").orElse("") }
        val lines = instances.flatMap { fleet.process(it).output }
            .filter { line -> "chain=" in line && ids.any { it in line } }
        expectThat(lines).isNotEmpty()
        expectThat(lines.filter { "b1[" in it }).isEqualTo(emptyList())
        running.forEach { (prompt, answer) -> expectCompleteAnswer(prompt, answer) }
        expectThat(fleet.process("b1").awaitExit(EXIT_SECONDS)).isEqualTo(SIGTERM_STATUS)
    }

    /** Guards against a stop that cuts streams or calls, or accepts requests and drops them. */
    @Test
    @Order(3)
    fun `SIGTERM of an entry instance under load cuts no request in flight`() {
        fleet.awaitLedgers()
        val now = Instant.now()
        fleet.fault("shop", "\"delay_ms\":1500")
        val before = fleet.receivedCalls("shop")
        val orders = (1..ORDERS).map { "stop-order-$it" }
            .associateWith { fleet.startOrder("entry-3", it, now) }
        val streams = (1..STREAMS).map { "stop $it" }.associateWith {
            fleet.startStream("entry-3", it, LONG_TOKENS)
        }
        streams.values.forEach { it.awaitTokens(2) }
        LocalFleet.await("orders at the shop") { fleet.receivedCalls("shop") >= before + ORDERS }
        val process = fleet.process("entry-3")
        val url = fleet.local.callerAddress("entry-3")
        process.terminate()
        var refused = emptyList<CallEnd>()
        LocalFleet.await("a refusal of new requests") {
            val end = CallEnd.of {
                fleet.local.get(
                    "http://$url/services/parts/list/1",
                    "Authorization" to "Bearer ${TestFleet.BUILDERS_KEY}"
                )
            }
            refused = listOf(end).filter { it.status != 200 }
            refused.isNotEmpty()
        }
        expectThat(refused.single()) {
            get { status }.isEqualTo(503)
            get { execution }.isEqualTo("not_run")
            get { retryAfterSeconds }.isNotNull().isGreaterThan(0)
        }
        streams.forEach { (prompt, answer) -> expectCompleteAnswer(prompt, answer, LONG_TOKENS) }
        val ends = orders.mapValues { it.value.join() }
        expectThat(ends.values.map { it.status }.distinct()).isEqualTo(listOf(201))
        expectThat(process.awaitExit(EXIT_SECONDS)).isEqualTo(SIGTERM_STATUS)
        expectThat(process.output.any { "is drained" in it }).isTrue()
        ends.forEach { (key, end) ->
            expectThat(fleet.sendOrder("entry-1", key, now)).isEqualTo(end.copy(isReplayed = true))
        }
        expectThat(fleet.effects("shop").sorted()).isEqualTo(orders.keys.sorted())
    }

    private fun startStreams(name: String): Map<String, StreamedAnswer> =
        (1..STREAMS).map { "$name $it" }
            .mapIndexed { i, p ->
                p to fleet.startStream(instances[i % instances.size], p, LONG_TOKENS)
            }
            .toMap()
            .onEach { (_, answer) -> answer.awaitTokens(2) }

    private fun complete(instance: String, n: Int) = fleet.complete(instance, "new $n", NEW_TOKENS)

    private fun expectCorrectText(prompt: String, r: java.net.http.HttpResponse<String>) {
        val text = ModelFunction.answer(prompt, NEW_TOKENS, LAYERS).joinToString("")
        expectThat(r.body()).contains("\"text\":\"$text\"")
    }

    private fun expectCompleteAnswer(
        prompt: String,
        answer: StreamedAnswer,
        tokens: Int = LONG_TOKENS
    ) {
        answer.awaitEnd()
        if (answer.end != "complete") fleet.explain(answer.requestId)
        expectThat(answer.end to answer.tokens)
            .isEqualTo("complete" to ModelFunction.answer(prompt, tokens, LAYERS))
    }

    private fun awaitNanos(nanos: Long) {
        val start = System.nanoTime()
        LocalFleet.await("$nanos ns") { System.nanoTime() - start >= nanos }
    }

    private companion object {
        /** Upper bound that invariant 5 sets. */
        const val NO_NEW_WORK_NANOS = 3_000_000_000L
        const val STREAMS = 6
        const val ORDERS = 4
        const val NEW_CALLS = 12
        const val NEW_TOKENS = 4

        /** At two steps of 15 ms per token, takes longer than the bound of invariant 5. */
        const val LONG_TOKENS = 150
        const val EXIT_SECONDS = 30L

        /** Exit status of a JVM that ends on SIGTERM after its shutdown hooks: 128 + 15. */
        const val SIGTERM_STATUS = 143
    }
}
