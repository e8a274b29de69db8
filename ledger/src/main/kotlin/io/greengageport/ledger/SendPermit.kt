package io.greengageport.ledger

/**
 * Exclusive permission to send one non-idempotent call, at most once.
 *
 * ```
 * permit.use {
 *     if (!it.startSending()) return notRun()
 *     it.recordOutcome(send())
 * }
 * ```
 *
 * [close] settles a permit that is not settled yet, so that a failure between these calls is
 * recorded: as not sent before [startSending], and as an unknown outcome after it.
 */
public class SendPermit internal constructor(private val claim: LocalClaim) : AutoCloseable {
    /**
     * Must be called directly before sending. If it returns false, the call must not be sent:
     * either the permit was used before, or the send window has passed and the claim is released.
     * If it returns true, the call is treated as possibly executed.
     */
    public fun startSending(): Boolean = claim.startSending()

    /** Records the response of the backend server; no effect if the permit is settled. */
    public fun recordOutcome(outcome: CallOutcome): Unit = claim.recordOutcome(outcome)

    /**
     * Releases the claim without sending. Returns false after [startSending] returned true; the
     * outcome is then unknown unless [recordOutcome] was called.
     */
    public fun release(): Boolean = claim.release().also { if (!it) claim.recordUnknownOutcome() }

    /** Settles a call that was sent but not answered, with an unknown outcome. */
    public fun recordUnknownOutcome(): Unit = claim.recordUnknownOutcome()

    override fun close() {
        release()
    }
}
