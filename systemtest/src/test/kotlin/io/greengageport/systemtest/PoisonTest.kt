package io.greengageport.systemtest

import io.greengageport.standins.ModelFunction
import io.greengageport.systemtest.TestFleet.Companion.LAYERS
import io.greengageport.systemtest.TestFleet.Companion.engine
import java.util.concurrent.CompletableFuture
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.MethodOrderer
import org.junit.jupiter.api.Order
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import org.junit.jupiter.api.TestMethodOrder
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Checks that a request that crashes its runners is blocked after two of them (section 5). */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
@TestMethodOrder(MethodOrderer.OrderAnnotation::class)
internal class PoisonTest {
    private val runners = (1..6).map { engine("a$it", 0, 6, crashMarker = MARKER) } +
        (1..3).map { engine("b$it", 6, 12) }
    private val fleet = TestFleet(engines = runners)

    @AfterAll
    fun close(): Unit = fleet.close()

    /** Guards against a resent request that crashes one runner after another. */
    @Test
    @Order(1)
    fun `a request that crashes runners is blocked fleet-wide after two of them`() {
        val deadBefore = deadRunnerCount()
        expectThat(sendPoison("entry-1", "first")).isEqualTo(BLOCKED)
        expectThat(retryThroughAll("first")).isEqualTo(listOf(BLOCKED))
        expectTwoCrashes(deadBefore)
        expectCompleteAnswer("afterwards", fleet.startStream("entry-2", "afterwards", TOKENS))
    }

    /** Guards against blocking other requests that ran on the crashed runners. */
    @Test
    @Order(2)
    fun `innocent concurrent requests at all instances complete`() {
        val deadBefore = deadRunnerCount()
        val prompts = (1..INNOCENT).map { "innocent $it" }
        val innocent = prompts.mapIndexed { i, p ->
            fleet.startStream("entry-${i % 3 + 1}", p, TOKENS)
        }
        innocent.forEach { it.awaitTokens(2) }
        expectThat(sendPoison("entry-1", "second")).isEqualTo(BLOCKED)
        val retryResults = retryThroughAll("second")
        prompts.zip(innocent).forEach { (p, a) -> expectCompleteAnswer(p, a) }
        expectThat(retryResults).isEqualTo(listOf(BLOCKED))
        expectTwoCrashes(deadBefore)
    }

    /** Resends the request through all instances at once; returns the distinct results. */
    private fun retryThroughAll(name: String) = (0 until RETRIES).map { n ->
        CompletableFuture.supplyAsync { sendPoison("entry-${n % 3 + 1}", name) }
    }.map { it.join() }.distinct()

    private fun expectTwoCrashes(deadBefore: Int) {
        val crashes = deadRunnerCount() - deadBefore
        if (crashes != 2) fleet.explain("routing: request")
        expectThat(crashes).isEqualTo(2)
    }

    private fun deadRunnerCount() = runners.count { !fleet.process(it.id).isAlive }

    private fun expectCompleteAnswer(prompt: String, answer: StreamedAnswer) {
        answer.awaitEnd()
        if (answer.end != "complete") fleet.explain(answer.requestId)
        expectThat(answer.end to answer.tokens)
            .isEqualTo("complete" to ModelFunction.answer(prompt, TOKENS, LAYERS))
    }

    private fun sendPoison(instance: String, name: String): Pair<Int, String> =
        CallEnd.of { fleet.complete(instance, "the $name $MARKER request", TOKENS) }
            .let { it.status to it.code }

    private companion object {
        const val MARKER = "poison"
        const val INNOCENT = 6
        const val RETRIES = 12
        const val TOKENS = 60
        val BLOCKED = 422 to "request_crashes_runners"
    }
}
