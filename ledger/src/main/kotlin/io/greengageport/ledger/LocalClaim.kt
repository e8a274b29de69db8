package io.greengageport.ledger

import java.util.concurrent.atomic.AtomicReference
import kotlinx.coroutines.CompletableDeferred

/** A claim of this instance, from its append until its outcome or release is in the log. */
internal class LocalClaim(
    val key: OrderKey,
    val claimId: Long,
    val issuedAt: Long,
    private val windowOpen: () -> Boolean,
    private val onSettled: (LocalClaim, ClaimEnd) -> Unit
) {
    private val phase = AtomicReference(Phase.OPEN)

    /** Completed by the fold, or by the writer when the append failed. */
    val result = CompletableDeferred<ClaimResult>()

    /** Completed when the call is settled. */
    val end = CompletableDeferred<ClaimEnd>()

    fun startSending(): Boolean {
        if (!phase.compareAndSet(Phase.OPEN, Phase.SENDING)) return false
        // The window is checked last, so that a pause before this line cannot delay the call.
        if (windowOpen()) return true
        settle(Phase.SENDING, Phase.NOT_RUN, ClaimEnd.NotRun)
        return false
    }

    fun complete(outcome: CallOutcome) {
        settle(Phase.SENDING, Phase.SENT, ClaimEnd.Ran(outcome))
    }

    fun unknown() {
        settle(Phase.SENDING, Phase.SENT, ClaimEnd.Unknown)
    }

    /** Whether the call surely has not been and will not be sent for this claim. */
    fun abandon(): Boolean {
        settle(Phase.OPEN, Phase.NOT_RUN, ClaimEnd.NotRun)
        return phase.get() == Phase.NOT_RUN
    }

    private fun settle(from: Phase, to: Phase, state: ClaimEnd) {
        if (!phase.compareAndSet(from, to)) return
        onSettled(this, state)
        end.complete(state)
    }

    private enum class Phase { OPEN, SENDING, SENT, NOT_RUN }
}

/** What became of an appended claim. */
internal sealed interface ClaimResult {
    data class Folded(val verdict: Verdict) : ClaimResult

    /** The append failed; if not [certain], the claim may yet appear in the log. */
    data class Failed(val certain: Boolean) : ClaimResult
}

/** How the call of a claim ended. */
internal sealed interface ClaimEnd {
    data class Ran(val outcome: CallOutcome) : ClaimEnd

    data object NotRun : ClaimEnd

    data object Unknown : ClaimEnd
}
