package io.greengageport.systemtest

import io.greengageport.bench.LocalFleet
import io.greengageport.standins.ModelFunction
import io.greengageport.systemtest.TestFleet.Companion.LAYERS
import io.greengageport.systemtest.TestFleet.Companion.engine
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Checks that queue capacity follows changes of the fleet (section 5). */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
internal class CapacityTest {
    private val fleet = TestFleet(
        instances = 1,
        engines = listOf(engine("a1", 0, LAYERS)),
        times = mapOf("load_poll_ms" to LOAD_POLL_MILLIS)
    )

    @AfterAll
    fun close(): Unit = fleet.close()

    /** Guards against refusing urgent requests until the next poll of the load reports. */
    @Test
    fun `a runner that joins an idle service is used as soon as it is listed`() {
        fleet.process("a1").kill()
        LocalFleet.await("entry-1 sees no runner and has no capacity") {
            val runners = fleet.local.statusOrNull("entry-1")?.runners
            val capacity = fleet.process("entry-1").output.lastOrNull { "capacity slots=" in it }
            runners?.isEmpty() == true && "capacity slots=0.0" in capacity.orEmpty()
        }
        fleet.restartEngines()
        fleet.local.awaitRunners()
        val answer = fleet.startStream("entry-1", "joined", TOKENS)
        fleet.explainOnFailure(answer) { answer.awaitTokens(TOKENS) }
        answer.awaitEnd()
        expectThat(answer.end to answer.tokens)
            .isEqualTo("complete" to ModelFunction.answer("joined", TOKENS, LAYERS))
    }

    private companion object {
        const val LOAD_POLL_MILLIS = 3_000L
        const val TOKENS = 4
    }
}
