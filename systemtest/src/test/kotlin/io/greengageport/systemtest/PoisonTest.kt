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

/** A request that crashes its runners is stopped after two of them (section 5). */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
@TestMethodOrder(MethodOrderer.OrderAnnotation::class)
internal class PoisonTest {
    private val runners = (1..6).map { engine("a$it", 0, 6, crashMarker = MARKER) } +
        (1..3).map { engine("b$it", 6, 12) }
    private val fleet = TestFleet(engines = runners)

    @AfterAll
    fun close(): Unit = fleet.close()

    /** Guards against a request that its caller sends again and that takes down the fleet. */
    @Test
    @Order(1)
    fun `it is blocked fleet-wide after two runners`() {
        val before = deadRunners()
        expectThat(poison("entry-1", "first")).isEqualTo(BLOCKED)
        expectThat(again("first")).isEqualTo(listOf(BLOCKED))
        expectTwoCrashes(before)
        expectWhole("afterwards", fleet.stream("entry-2", "afterwards", TOKENS))
    }

    /** Guards against innocent requests that are blocked for having shared a runner with it. */
    @Test
    @Order(2)
    fun `innocent concurrent requests at all instances complete`() {
        val before = deadRunners()
        val prompts = (1..INNOCENT).map { "innocent $it" }
        val innocent = prompts.mapIndexed { i, p ->
            fleet.stream("entry-${i % 3 + 1}", p, TOKENS)
        }
        innocent.forEach { it.awaitTokens(2) }
        expectThat(poison("entry-1", "second")).isEqualTo(BLOCKED)
        val again = again("second")
        prompts.zip(innocent).forEach { (p, a) -> expectWhole(p, a) }
        expectThat(again).isEqualTo(listOf(BLOCKED))
        expectTwoCrashes(before)
    }

    /** The caller sends it again, through all instances at once. */
    private fun again(name: String) = (0 until RETRIES).map { n ->
        CompletableFuture.supplyAsync { poison("entry-${n % 3 + 1}", name) }
    }.map { it.join() }.distinct()

    private fun expectTwoCrashes(before: Int) {
        val crashes = deadRunners() - before
        if (crashes != 2) fleet.explain("routing: request")
        expectThat(crashes).isEqualTo(2)
    }

    private fun deadRunners() = runners.count { !fleet.process(it.id).isAlive }

    private fun expectWhole(prompt: String, answer: StreamedAnswer) {
        answer.awaitEnd()
        if (answer.end != "complete") fleet.explain(answer.requestId)
        expectThat(answer.end to answer.tokens)
            .isEqualTo("complete" to ModelFunction.answer(prompt, TOKENS, LAYERS))
    }

    private fun poison(instance: String, name: String): Pair<Int, String> =
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
