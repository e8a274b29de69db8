package io.greengageport.systemtest

import io.greengageport.standins.ModelFunction
import io.greengageport.systemtest.TestFleet.Companion.LAYERS
import io.greengageport.systemtest.TestFleet.Companion.engine
import java.util.concurrent.CompletableFuture
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** A request that crashes its runners is stopped after two of them (section 5). */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
internal class PoisonTest {
    private val runners = (1..6).map { engine("a$it", 0, 6, crashMarker = MARKER) } +
        (1..3).map { engine("b$it", 6, 12) }
    private val fleet = TestFleet(engines = runners)

    @AfterAll
    fun close(): Unit = fleet.close()

    /**
     * Guards against a request that its caller sends again and again and that takes down the
     * fleet, and against innocent requests that are blocked for having shared a runner with it.
     */
    @Test
    fun `it is blocked fleet-wide and innocent concurrent requests complete`() {
        val prompts = (1..INNOCENT).map { "innocent $it" }
        val innocent = prompts.mapIndexed { i, p ->
            fleet.stream("entry-${i % 3 + 1}", p, TOKENS)
        }
        innocent.forEach { it.awaitTokens(2) }
        val first = poison("entry-1")
        expectThat(first).isEqualTo(BLOCKED)
        // The caller sends it again, through all instances at once.
        val again = (0 until RETRIES).map { n ->
            CompletableFuture.supplyAsync { poison("entry-${n % 3 + 1}") }
        }.map { it.join() }
        prompts.zip(innocent).forEach { (p, a) ->
            a.awaitEnd()
            if (a.end != "complete") fleet.explain(a.requestId)
            expectThat(a.end to a.tokens)
                .isEqualTo("complete" to ModelFunction.answer(p, TOKENS, LAYERS))
        }
        expectThat(again.distinct()).isEqualTo(listOf(BLOCKED))
        expectThat(runners.count { !fleet.process(it.id).isAlive }).isEqualTo(2)
        val after = fleet.stream("entry-2", "afterwards", TOKENS).awaitEnd()
        expectThat(after.end to after.tokens)
            .isEqualTo("complete" to ModelFunction.answer("afterwards", TOKENS, LAYERS))
    }

    private fun poison(instance: String): Pair<Int, String> =
        CallEnd.of { fleet.complete(instance, "a $MARKER request", TOKENS) }
            .let { it.status to it.code }

    private companion object {
        const val MARKER = "poison"
        const val INNOCENT = 6
        const val RETRIES = 12
        const val TOKENS = 60
        val BLOCKED = 422 to "request_crashes_runners"
    }
}
