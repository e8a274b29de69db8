package io.greengageport.ledger

import java.util.concurrent.atomic.AtomicReference
import kotlinx.coroutines.CompletableDeferred

/**
 * A claim of this instance, from its append until its outcome or release is in the log.
 *
 * [onSettled] is called once, when it is decided whether the call was sent and how it ended.
 */
internal class LocalClaim(
    val key: OrderKey,
    val claimId: Long,
    val issuedAtMillis: Long,
    private val isSendWindowOpen: () -> Boolean,
    private val onSettled: (LocalClaim, ClaimCompletion) -> Unit
) {
    private val phase = AtomicReference(Phase.OPEN)

    /**
     * Completed when the claim was read from the log, its append failed, or the stream was
     * truncated.
     */
    val result = CompletableDeferred<ClaimResult>()

    /** Completed after [onSettled]. */
    val completion = CompletableDeferred<ClaimCompletion>()

    /** Enters the sending phase; false if the claim is settled or the send window has passed. */
    fun startSending(): Boolean {
        if (!phase.compareAndSet(Phase.OPEN, Phase.SENDING)) return false
        // Checked last, so that a pause of the process before this line cannot delay the call.
        if (isSendWindowOpen()) return true
        settle(Phase.SENDING, Phase.NOT_RUN, ClaimCompletion.NotRun)
        return false
    }

    /** Settles a call that was sent and answered. */
    fun recordOutcome(outcome: CallOutcome) {
        settle(Phase.SENDING, Phase.SENT, ClaimCompletion.Ran(outcome))
    }

    /** Settles a call that was sent but not answered. */
    fun recordUnknownOutcome() {
        settle(Phase.SENDING, Phase.SENT, ClaimCompletion.Unknown)
    }

    /** Settles an unsent claim; returns whether the call was not and will not be sent. */
    fun release(): Boolean {
        settle(Phase.OPEN, Phase.NOT_RUN, ClaimCompletion.NotRun)
        return phase.get() == Phase.NOT_RUN
    }

    private fun settle(from: Phase, to: Phase, completed: ClaimCompletion) {
        if (!phase.compareAndSet(from, to)) return
        onSettled(this, completed)
        completion.complete(completed)
    }

    private enum class Phase { OPEN, SENDING, SENT, NOT_RUN }
}

/** Result of appending a claim. */
internal sealed interface ClaimResult {
    /** The claim was read from the log and applied with [applyResult]. */
    data class Applied(val applyResult: ApplyResult) : ClaimResult

    /**
     * The append failed or the stream was truncated. Unless [isCertain], the claim may be in the
     * log or still appear there.
     */
    data class Failed(val isCertain: Boolean) : ClaimResult
}

/** How the call of a claim ended. */
internal sealed interface ClaimCompletion {
    data class Ran(val outcome: CallOutcome) : ClaimCompletion

    /** The call was not sent and never will be. */
    data object NotRun : ClaimCompletion

    /** The call was sent, but its outcome is not known. */
    data object Unknown : ClaimCompletion
}
