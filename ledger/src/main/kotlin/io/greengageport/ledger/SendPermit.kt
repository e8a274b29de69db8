package io.greengageport.ledger

/**
 * The sole right to send one non-idempotent call, at most once.
 *
 * ```
 * permit.use {
 *     if (!it.startSending()) return notRun()
 *     it.complete(send())
 * }
 * ```
 *
 * [close] settles a permit that was not settled otherwise, so that a failure between these calls
 * is recorded as what it is.
 */
public class SendPermit internal constructor(private val claim: LocalClaim) : AutoCloseable {
    /**
     * Must be called directly before sending. False means that the send window has passed: the call
     * must not be sent and the claim is released. After true the call counts as possibly run.
     */
    public fun startSending(): Boolean = claim.startSending()

    /** Records the answer of the backend server; repeated or late calls have no effect. */
    public fun complete(outcome: CallOutcome): Unit = claim.complete(outcome)

    /** Gives up before sending. False after [startSending], when the outcome becomes unknown. */
    public fun abandon(): Boolean = claim.abandon().also { if (!it) claim.unknown() }

    /** The call was sent, but no answer came; its outcome stays unknown. */
    public fun unknown(): Unit = claim.unknown()

    override fun close() {
        abandon()
    }
}
