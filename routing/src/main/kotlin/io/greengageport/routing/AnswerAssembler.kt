package io.greengageport.routing

import io.greengageport.common.LayerRange
import io.greengageport.common.RequestId
import io.greengageport.common.RunnerId

/**
 * Assembles the answer of one request from the frames of its attempts.
 *
 * A frame is accepted only if its request and attempt are current, its index is the next one and
 * its layer trace covers `[0, layers)` exactly once and in order. Other frames are dropped and
 * counted; an invalid trace ends the attempt. The answer is complete once a frame with
 * [AnswerFrame.isLast] is accepted. Not thread-safe: each request is handled by one coroutine.
 *
 * ```
 * val assembler = AnswerAssembler(id, layers = 48)
 * val resume = assembler.startAttempt()
 * when (val outcome = assembler.accept(frame)) {
 *     is FrameOutcome.Token -> send(outcome.text)
 *     is FrameOutcome.Dropped -> Unit
 *     is FrameOutcome.WrongTrace -> startNextAttempt()
 * }
 * ```
 */
public class AnswerAssembler(private val request: RequestId, private val layers: Int) {
    private val tokens = ArrayList<String>()
    private val dropCounts = IntArray(DropReason.entries.size)
    private var isAttemptOpen = false

    /** The current attempt; 0 before the first one. */
    public var attempt: Int = 0
        private set

    /** Whether the final frame of the answer was accepted. */
    public var isComplete: Boolean = false
        private set

    /** Number of accepted tokens; can be read from any thread. */
    @Volatile
    public var size: Int = 0
        private set

    /** Texts of the accepted tokens. */
    public val delivered: List<String> get() = tokens.toList()

    init {
        require(layers > 0) { "the number of layers must be positive, but is $layers" }
    }

    /**
     * Starts the next attempt, which resumes after the tokens delivered so far.
     *
     * @throws IllegalStateException if the answer is already complete
     */
    public fun startAttempt(): AttemptStart {
        check(!isComplete) { "cannot start an attempt: the answer of $request is complete" }
        attempt++
        isAttemptOpen = true
        return AttemptStart(attempt, tokens.size, delivered)
    }

    /** Ends the current attempt; its later frames are dropped. */
    public fun endAttempt() {
        isAttemptOpen = false
    }

    /** Validates [frame] and appends its token to the answer if the frame is accepted. */
    public fun accept(frame: AnswerFrame): FrameOutcome {
        dropReason(frame)?.let { return drop(it) }
        if (!LayerRange.coversExactly(frame.layers.map { it.layers }, layers)) {
            isAttemptOpen = false
            return FrameOutcome.WrongTrace(frame.layers)
        }
        tokens += frame.text
        size = tokens.size
        if (frame.isLast) {
            isComplete = true
            isAttemptOpen = false
        }
        return FrameOutcome.Token(frame.index, frame.text, frame.isLast)
    }

    /** Number of dropped frames per reason; reasons that did not occur are left out. */
    public fun dropCounts(): Map<DropReason, Int> =
        DropReason.entries.associateWith { dropCounts[it.ordinal] }.filterValues { it > 0 }

    private fun dropReason(frame: AnswerFrame): DropReason? = when {
        frame.request != request -> DropReason.OTHER_REQUEST
        frame.attempt != attempt -> DropReason.OTHER_ATTEMPT
        frame.index < tokens.size -> DropReason.DUPLICATE
        !isAttemptOpen -> DropReason.ATTEMPT_ENDED
        frame.index > tokens.size -> DropReason.OUT_OF_ORDER
        else -> null
    }

    private fun drop(reason: DropReason): FrameOutcome {
        dropCounts[reason.ordinal]++
        return FrameOutcome.Dropped(reason)
    }
}

/** A frame of the answer: one token and the stages that computed it. */
public data class AnswerFrame(
    val request: RequestId,
    val attempt: Int,
    val index: Int,
    val text: String,
    val layers: List<TracedStage>,
    val isLast: Boolean = false
)

/** One stage in the layer trace of a frame. */
public data class TracedStage(val runner: RunnerId, val layers: LayerRange)

/**
 * Parameters for the first stage of a new attempt: the index of the first token to generate, and
 * the tokens [delivered] by earlier attempts.
 */
public data class AttemptStart(val attempt: Int, val firstIndex: Int, val delivered: List<String>)

/** The reason for dropping a frame. */
public enum class DropReason {
    OTHER_REQUEST,
    OTHER_ATTEMPT,
    DUPLICATE,
    ATTEMPT_ENDED,
    OUT_OF_ORDER
}

/** The result of [AnswerAssembler.accept]. */
public sealed interface FrameOutcome {
    /** The next token of the answer. */
    public data class Token(val index: Int, val text: String, val isLast: Boolean) : FrameOutcome

    /** The frame was ignored; the answer is unchanged. */
    public data class Dropped(val reason: DropReason) : FrameOutcome

    /** The layer trace skips, repeats or reorders layers, which ends the attempt. */
    public data class WrongTrace(val trace: List<TracedStage>) : FrameOutcome
}
