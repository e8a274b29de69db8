package io.greengageport.routing

import io.greengageport.common.LayerRange
import io.greengageport.common.RequestId
import io.greengageport.common.RunnerId
import kotlin.random.Random
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class AnswerAssemblerTest {
    private val id = RequestId("r1")
    private val assembler = AnswerAssembler(id, layers = 8)

    private fun trace(vararg ends: Int) = ends.toList().zipWithNext { a, b ->
        TracedStage(RunnerId("e$a"), LayerRange(a, b))
    }

    private fun frame(
        index: Int,
        attempt: Int = 1,
        request: RequestId = id,
        last: Boolean = false,
        layers: List<TracedStage> = trace(0, 4, 8)
    ) = AnswerFrame(request, attempt, index, "t$index", layers, last)

    @Nested
    inner class Frames {
        /** Guards against tokens from another request or attempt in an answer. */
        @Test
        fun `drops and counts foreign, late, duplicate and early frames`() {
            assembler.startAttempt()
            val frames = listOf(
                frame(0),
                frame(0),
                frame(2),
                frame(1, request = RequestId("r2")),
                frame(1, attempt = 2),
                frame(1, last = true),
                frame(2)
            )
            expectThat(frames.map(assembler::accept)).isEqualTo(
                listOf(
                    FrameOutcome.Token(0, "t0", false),
                    FrameOutcome.Dropped(DropReason.DUPLICATE),
                    FrameOutcome.Dropped(DropReason.OUT_OF_ORDER),
                    FrameOutcome.Dropped(DropReason.OTHER_REQUEST),
                    FrameOutcome.Dropped(DropReason.OTHER_ATTEMPT),
                    FrameOutcome.Token(1, "t1", true),
                    FrameOutcome.Dropped(DropReason.ATTEMPT_ENDED)
                )
            )
            expectThat(assembler.dropCounts()).isEqualTo(DropReason.entries.associateWith { 1 })
        }

        /** Guards against layers that are computed twice, skipped or computed out of order. */
        @Test
        fun `an invalid layer trace ends the attempt`() {
            val wrong = listOf(
                trace(0, 4),
                trace(0, 4) + trace(3, 8),
                trace(4, 8) + trace(0, 4),
                emptyList()
            )
            for (layers in wrong) {
                assembler.startAttempt()
                val attempt = assembler.attempt
                expectThat(
                    listOf(frame(0, attempt, layers = layers), frame(0, attempt))
                        .map(assembler::accept)
                ).isEqualTo(
                    listOf(
                        FrameOutcome.WrongTrace(layers),
                        FrameOutcome.Dropped(DropReason.ATTEMPT_ENDED)
                    )
                )
            }
        }
    }

    @Nested
    inner class Resume {
        /** Guards against answers with repeated or missing tokens after a resume. */
        @Test
        fun `resumes after the delivered tokens and drops frames of the previous attempt`() {
            assembler.startAttempt()
            assembler.accept(frame(0))
            assembler.accept(frame(1))
            val resume = assembler.startAttempt()
            val late = assembler.accept(frame(2, attempt = 1))
            val next = assembler.accept(frame(2, attempt = 2, last = true))
            expectThat(listOf(resume, late, next, assembler.isComplete)).isEqualTo(
                listOf(
                    AttemptStart(2, 2, listOf("t0", "t1")),
                    FrameOutcome.Dropped(DropReason.OTHER_ATTEMPT),
                    FrameOutcome.Token(2, "t2", true),
                    true
                )
            )
        }

        /** Guards against lost or duplicate tokens for random frames and attempts. */
        @Test
        fun `delivers each token once and in order for random frames`() {
            for (seed in 1..200) {
                val random = Random(seed)
                val randomAssembler = AnswerAssembler(id, layers = 8)
                randomAssembler.startAttempt()
                repeat(2_000) {
                    if (randomAssembler.isComplete) return@repeat
                    if (random.nextInt(20) == 0) randomAssembler.startAttempt()
                    val index = randomAssembler.delivered.size + random.nextInt(-2, 3)
                    val attempt = randomAssembler.attempt - random.nextInt(2)
                    randomAssembler.accept(frame(index, attempt, last = index >= 20))
                }
                expectThat(randomAssembler.delivered).describedAs("seed $seed")
                    .isEqualTo(List(randomAssembler.delivered.size) { "t$it" })
                expectThat(randomAssembler.isComplete).isEqualTo(true)
            }
        }
    }
}
