package io.greengageport.systemtest

import io.greengageport.bench.LocalFleet
import io.greengageport.bench.PlainSpec
import io.greengageport.standins.ModelFunction
import io.greengageport.systemtest.TestFleet.Companion.LAYERS
import io.greengageport.systemtest.TestFleet.Companion.engine
import java.time.Instant
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue

/** The invariants hold with two faults at a time (section 1.5). */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
internal class TwoFaultsTest {
    private val fleet = TestFleet(
        engines = (1..3).map { engine("a$it", 0, 6) } + (1..3).map { engine("b$it", 6, 12) },
        plain = listOf(PlainSpec("shop", "parts"))
    )

    @AfterEach
    fun repair() {
        fleet.fault("platform", "\"log_down\":false")
        fleet.thaw()
        fleet.restartEngines()
    }

    @AfterAll
    fun close(): Unit = fleet.close()

    /** Guards against a resume that needs the log, and against a call sent without a claim. */
    @Test
    fun `a runner is killed during a log outage`() {
        fleet.awaitLedgers()
        val now = Instant.now()
        fleet.duringLogOutage {
            val answers = start("outage")
            fleet.process(fleet.liveEngines.first { fleet.counter(it, "running") > 0 }).kill()
            val refused = fleet.order("entry-2", "during-outage", now)
            expectThat(refused.isNotRun).isTrue()
            answers.forEach { (prompt, answer) -> expectWhole(prompt, answer) }
        }
        fleet.awaitLedgers()
        expectThat(fleet.effects("shop")).isEqualTo(emptyList())
        expectThat(fleet.order("entry-3", "during-outage", now).status).isEqualTo(201)
        expectThat(fleet.effects("shop")).isEqualTo(listOf("during-outage"))
    }

    /** Guards against streams of other instances that end with the one that is killed. */
    @Test
    fun `an entry instance is killed during a runner's freeze`() {
        val answers = start("freeze")
        fleet.process(fleet.liveEngines.first { fleet.counter(it, "running") > 0 }).freeze()
        fleet.process("entry-1").kill()
        for ((prompt, answer) in answers) {
            if (prompt.endsWith("entry-1")) {
                // A cut answer is a beginning of the right one and doesn't claim to be complete.
                answer.awaitEnd()
                val right = ModelFunction.answer(prompt, TOKENS, LAYERS)
                expectThat(answer.end to answer.tokens)
                    .isEqualTo("cut" to right.take(answer.tokens.size))
            } else {
                expectWhole(prompt, answer)
            }
        }
        fleet.startInstance("entry-1")
        LocalFleet.await("entry-1 answers again") {
            val a = fleet.stream("entry-1", "again", TOKENS).awaitEnd()
            a.end == "complete" && a.tokens == ModelFunction.answer("again", TOKENS, LAYERS)
        }
    }

    private fun start(name: String): Map<String, StreamedAnswer> =
        fleet.local.instances.flatMap { i -> (1..PER_INSTANCE).map { i to "$name $it at $i" } }
            .associate { (i, prompt) -> prompt to fleet.stream(i, prompt, TOKENS) }
            .onEach { (_, answer) -> fleet.explaining(answer) { answer.awaitTokens(2) } }

    private fun expectWhole(prompt: String, answer: StreamedAnswer) {
        answer.awaitEnd()
        if (answer.end != "complete") fleet.explain(answer.requestId)
        expectThat(answer.end to answer.tokens)
            .isEqualTo("complete" to ModelFunction.answer(prompt, TOKENS, LAYERS))
    }

    private companion object {
        const val TOKENS = 60
        const val PER_INSTANCE = 2
    }
}
