package io.greengageport.systemtest

import io.greengageport.bench.LocalFleet
import io.greengageport.standins.ModelFunction
import io.greengageport.systemtest.TestFleet.Companion.LAYERS
import io.greengageport.systemtest.TestFleet.Companion.engine
import java.net.Socket
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Tag
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan

/** Checks that answers stay complete when runners fail mid-stream (invariants 1 and 2). */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
internal class StreamsTest {
    private val fleet = TestFleet(
        // Enough copies of each half to run a test while failed ones of the previous test restart.
        engines = (1..5).map { engine("a$it", 0, 6) } + (1..5).map { engine("b$it", 6, 12) }
    )

    private val local = fleet.local
    private var droppedBefore = 0.0

    @AfterEach
    fun repair() {
        fleet.thawAll()
        fleet.restartEngines()
    }

    @AfterAll
    fun close(): Unit = fleet.close()

    @Nested
    inner class OneStreamGoesOnAtItsNextTokenWhen {
        /** Guards against an answer that is cut or restarted when its first stage dies. */
        @Test
        fun `the first stage is killed`() = runWithFault("first killed") { it.first().kill() }

        /** Guards against a first stage that hides the failure of a later one. */
        @Test
        fun `the last stage is killed`() = runWithFault("last killed") { it.last().kill() }

        /** Guards against waiting forever on an open but silent connection. */
        @Test
        fun `the first stage is frozen`() = runWithFault("first frozen") { it.first().freeze() }

        /** Guards against a first stage that looks healthy while the next stage is silent. */
        @Test
        fun `the last stage is frozen`() = runWithFault("last frozen") { it.last().freeze() }

        /** Guards against losing tokens between the last flush and the crash. */
        @Test
        fun `the first stage crashes`() =
            runWithFault("first crashed") { fleet.fault(it.first().name, "\"crash\":true") }

        /**
         * Guards against a request that can resume only once. The second runner is frozen, because
         * a request that crashes two runners is blocked by design (section 5).
         */
        @Test
        fun `a stage is killed and later another one is frozen`() {
            val answer = fleet.startStream("entry-1", "two failures", TOKENS)
            answer.awaitTokens(3)
            fleet.process(fleet.busyChain().first()).kill()
            answer.awaitTokens(answer.tokens.size + 3)
            fleet.process(fleet.busyChain().last()).freeze()
            expectCompleteAnswer("two failures", answer)
        }

        private fun runWithFault(
            prompt: String,
            injectFault: (List<io.greengageport.bench.ProgramProcess>) -> Unit
        ) {
            val answer = fleet.startStream("entry-1", prompt, TOKENS).awaitTokens(3)
            injectFault(fleet.busyChain().map(fleet::process))
            expectCompleteAnswer(prompt, answer)
        }
    }

    /** Guards against waiting for a timeout although the connection was closed. */
    @Test
    @Tag("known-red")
    fun `streams go on within a second of the death of a stage`() {
        val gaps = (1..KILLS).map { i ->
            val answer = fleet.startStream("entry-1", "death $i", TOKENS).awaitTokens(3)
            val chain = fleet.busyChain()
            fleet.process(if (i % 2 == 0) chain.first() else chain.last()).kill()
            expectCompleteAnswer("death $i", answer)
            answer.longestGapMillis
        }
        println("longest gap of each answer with a killed stage: $gaps ms")
        expectThat(gaps.sorted()[KILLS / 2]).isLessThan(RESUME_TARGET_MILLIS)
    }

    @Nested
    inner class ManyStreams {
        /** Guards against sending tokens to the wrong caller when many answers resume at once. */
        @Test
        fun `each get their own complete answer while a runner dies`() {
            val prompts = (1..STREAMS).map { "builder $it asks for run $it" }
            val answers = prompts.mapIndexed { i, p ->
                fleet.startStream("entry-${i % INSTANCES + 1}", p, TOKENS)
            }
            answers.forEach { it.awaitTokens(2) }
            fleet.process(fleet.liveEngines.first()).kill()
            prompts.zip(answers).forEach { (p, a) -> expectCompleteAnswer(p, a) }
        }
    }

    @Nested
    inner class ACallerThatDisconnects {
        /** Guards against engines that continue answers after the caller disconnected. */
        @Test
        fun `ends the work of the engines`() {
            val address = local.callerAddress("entry-1").split(':')
            Socket(address[0], address[1].toInt()).use { socket ->
                socket.getOutputStream().write(fleet.rawCompletion("nobody reads", LONG_ANSWER))
                LocalFleet.await("the engines run the answer") { running() > 0 }
                socket.getInputStream().read()
            }
            // The complete answer would take longer than this timeout.
            LocalFleet.await("no engine runs the answer", seconds = 20) { running() == 0L }
        }

        /** Guards against keeping requests of disconnected callers in the queue. */
        @Test
        fun `frees its place in the queue`() {
            val address = local.callerAddress("entry-1").split(':')
            val callers = ArrayList<Socket>()
            try {
                LocalFleet.await("a request waits in the queue") {
                    repeat(BATCH) {
                        val socket = Socket(address[0], address[1].toInt())
                        callers += socket
                        val prompt = "nobody waits ${callers.size}"
                        socket.getOutputStream().write(fleet.rawCompletion(prompt, LONG_ANSWER))
                    }
                    queued() > 0
                }
                callers.takeLast(BATCH).forEach { it.close() }
                // The running answers take longer than this timeout.
                LocalFleet.await("the queue is empty", seconds = 20) { queued() == 0 }
            } finally {
                callers.forEach { it.close() }
            }
            LocalFleet.await("no engine runs an answer", seconds = 20) { running() == 0L }
        }

        private fun queued() = local.statusOrNull("entry-1")?.services.orEmpty().sumOf { it.queued }

        private fun running() = fleet.liveEngines.sumOf { fleet.counter(it, "running") }
    }

    @Nested
    inner class WrongFrames {
        /** Guards against accepting repeated, skipped or foreign frames into the answer. */
        @ParameterizedTest
        @ValueSource(
            strings = ["repeated", "skipped", "other_request", "other_attempt", "wrong_layers"]
        )
        fun `do not become part of the answer`(kind: String) {
            // Each engine has the fault once. A request has five attempts, so with more than four
            // faults a request could hit all of them and fail, which is correct.
            val faulty = fleet.liveEngines.groupBy { it.first() }.values.flatMap { it.take(2) }
            faulty.forEach { fleet.fault(it, "\"wrong_frame\":\"$kind\"") }
            var dropped = droppedBefore
            var round = 0
            while (dropped <= droppedBefore && round++ < MAX_ROUNDS) {
                val prompts = (1..INSTANCES).map { "$kind $round $it" }
                val answers = prompts.mapIndexed { i, p ->
                    fleet.startStream("entry-${i + 1}", p, TOKENS)
                }
                answers.forEachIndexed { i, a -> expectCompleteAnswer(prompts[i], a) }
                dropped = local.instances.sumOf {
                    fleet.metric(it, "greengageport_dropped_frames_total")
                }
            }
            expectThat(dropped).isGreaterThan(droppedBefore)
            droppedBefore = dropped
        }
    }

    private fun expectCompleteAnswer(prompt: String, answer: StreamedAnswer) {
        answer.awaitEnd()
        if (answer.end != "complete") fleet.explain(answer.requestId)
        val expected = ModelFunction.answer(prompt, TOKENS, LAYERS)
        expectThat(answer.end to answer.tokens).isEqualTo("complete" to expected)
    }

    private companion object {
        const val LONG_ANSWER = 3_000
        const val BATCH = 8
        const val TOKENS = 40
        const val KILLS = 5

        /** Target that section 4 sets. */
        const val RESUME_TARGET_MILLIS = 1_000L
        const val STREAMS = 20
        const val INSTANCES = 3

        /** Limit on rounds until a stream uses a faulty engine; some engines have no fault. */
        const val MAX_ROUNDS = 20
    }
}
