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

/** Checks that the invariants hold under two simultaneous faults (section 1.5). */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
internal class TwoFaultsTest {
    private val fleet = TestFleet(
        engines = (1..3).map { engine("a$it", 0, 6) } + (1..3).map { engine("b$it", 6, 12) },
        plain = listOf(PlainSpec("shop", "parts"))
    )

    @AfterEach
    fun repair() {
        fleet.fault("platform", "\"log_down\":false")
        fleet.thawAll()
        fleet.restartEngines()
    }

    @AfterAll
    fun close(): Unit = fleet.close()

    /** Guards against resuming only with the log, and against sending a call without a claim. */
    @Test
    fun `a runner is killed during a log outage`() {
        fleet.awaitLedgers()
        val now = Instant.now()
        fleet.duringLogOutage {
            val answers = startStreams("outage")
            fleet.process(fleet.liveEngines.first { fleet.counter(it, "running") > 0 }).kill()
            val refused = fleet.sendOrder("entry-2", "during-outage", now)
            expectThat(refused.isNotRun).isTrue()
            answers.forEach { (prompt, answer) -> expectCompleteAnswer(prompt, answer) }
        }
        fleet.awaitLedgers()
        expectThat(fleet.effects("shop")).isEqualTo(emptyList())
        expectThat(fleet.sendOrder("entry-3", "during-outage", now).status).isEqualTo(201)
        expectThat(fleet.effects("shop")).isEqualTo(listOf("during-outage"))
    }

    /** Guards against ending streams of other instances when one instance is killed. */
    @Test
    fun `an entry instance is killed during a runner's freeze`() {
        val answers = startStreams("freeze")
        fleet.process(fleet.liveEngines.first { fleet.counter(it, "running") > 0 }).freeze()
        fleet.process("entry-1").kill()
        for ((prompt, answer) in answers) {
            if (prompt.endsWith("entry-1")) {
                // A cut answer is a prefix of the expected one and is not marked as complete.
                answer.awaitEnd()
                val expected = ModelFunction.answer(prompt, TOKENS, LAYERS)
                expectThat(answer.end to answer.tokens)
                    .isEqualTo("cut" to expected.take(answer.tokens.size))
            } else {
                expectCompleteAnswer(prompt, answer)
            }
        }
        fleet.startInstance("entry-1")
        LocalFleet.await("entry-1 answers again") {
            val a = fleet.startStream("entry-1", "again", TOKENS).awaitEnd()
            a.end == "complete" && a.tokens == ModelFunction.answer("again", TOKENS, LAYERS)
        }
    }

    private fun startStreams(name: String): Map<String, StreamedAnswer> =
        fleet.local.instances.flatMap { i -> (1..PER_INSTANCE).map { i to "$name $it at $i" } }
            .associate { (i, prompt) -> prompt to fleet.startStream(i, prompt, TOKENS) }
            .onEach { (_, answer) -> fleet.explainOnFailure(answer) { answer.awaitTokens(2) } }

    private fun expectCompleteAnswer(prompt: String, answer: StreamedAnswer) {
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
