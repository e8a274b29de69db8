package io.greengageport.ledger

import io.greengageport.common.InstanceId

/** A non-idempotent call to be started with [OrderLedger.claim]. */
public class OrderCall(
    public val key: OrderKey,
    /** Hash of method, path and body; equal for all retries of the call. */
    public val bodyHash: Digest,
    /** Issue time on the wall clock, in milliseconds; equal for all retries of the call. */
    public val issuedAtMillis: Long,
    /** Time by which the caller needs a response, on the monotonic clock in milliseconds. */
    public val deadlineMillis: Long,
    /** Whether the backend server executes calls with the same key only once. */
    public val backendDeduplicates: Boolean = false
)

/** Result of [OrderLedger.claim]. The call may be sent only if it is [Won]. */
public sealed interface BeginResult {
    /** The claim was recorded first; the call may be sent once, with [permit]. */
    public class Won(public val permit: SendPermit) : BeginResult

    /** The call was executed before; [outcome] is its recorded response. */
    public data class Replay(val outcome: CallOutcome) : BeginResult

    /** [claimant] is executing an earlier call with this key. */
    public data class InProgress(val claimant: InstanceId) : BeginResult

    /** An earlier call with this key may have been executed; its outcome is not known. */
    public data object OutcomeUnknown : BeginResult

    /** The key was used before with a different method, path or body. */
    public data object KeyReused : BeginResult

    /**
     * The key is older than the retained records. This call was not sent, but an earlier call
     * with this key may have been executed.
     */
    public data object KeyExpired : BeginResult

    /** The issue time is too far in the future; the call was not sent. */
    public data object IssuedInFuture : BeginResult

    /**
     * This instance has not read the stream to its end recently enough to decide; the call was not
     * sent.
     */
    public data class NotReady(val retryAfterMillis: Long) : BeginResult

    /** The claim cannot be recorded; this call was not sent and never will be. */
    public data class LogUnavailable(val retryAfterMillis: Long) : BeginResult
}
