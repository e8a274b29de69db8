package io.greengageport.ledger

import io.greengageport.common.InstanceId

/** A non-idempotent call that asks for the right to be sent. */
public class OrderCall(
    public val key: OrderKey,
    /** Hash of method, path and body; a retry has the same one. */
    public val bodyHash: Digest,
    /** Issue time in milliseconds of the wall clock; a retry has the same one. */
    public val issuedAt: Long,
    /** Time of the monotonic clock, in milliseconds, by which the caller needs an answer. */
    public val deadline: Long,
    /** Whether the backend server runs a call with the same key once, however often it is sent. */
    public val backendDeduplicates: Boolean = false
)

/** What may happen with a non-idempotent call. Only [Won] permits to send it. */
public sealed interface BeginResult {
    /** The call may be sent once, with [permit]. */
    public class Won(public val permit: SendPermit) : BeginResult

    /** The call ran before and had this [outcome]. */
    public data class Replay(val outcome: CallOutcome) : BeginResult

    /** An earlier call with the key runs at [claimant]. */
    public data class InProgress(val claimant: InstanceId) : BeginResult

    /** An earlier call with the key may have run; its outcome is lost. */
    public data object OutcomeUnknown : BeginResult

    /** The key was used with another body. */
    public data object KeyReused : BeginResult

    /** The key is older than the records kept; this call was not run, an earlier one may have. */
    public data object KeyExpired : BeginResult

    /** The issue time lies too far in the future; not run. */
    public data object IssuedInFuture : BeginResult

    /** This instance has not yet read the stream to its end; not run. */
    public data class NotReady(val retryAfterMillis: Long) : BeginResult

    /** The claim cannot be recorded at present; this call was not run and will not be. */
    public data class LogUnavailable(val retryAfterMillis: Long) : BeginResult
}
