package io.greengageport.limits

/** Listener for the decisions of an [AdmissionController], called outside its lock. */
public fun interface AdmissionObserver {
    public fun onDecision(decision: AdmissionDecision)
}

/**
 * The admission decision on one request.
 *
 * [waitedMillis] is the time from arrival to the decision. [retryAfterMillis] is null if the
 * request was admitted or cancelled.
 */
public data class AdmissionDecision(
    val request: QueuedRequest,
    val outcome: AdmissionOutcome,
    val waitedMillis: Long,
    val retryAfterMillis: Long? = null
)

/** Result of the admission of one request. */
public enum class AdmissionOutcome {
    ADMITTED,

    /** Refused because the organisation has reached a limit. */
    OVER_LIMIT,

    /** Refused because the deadline cannot be met at the current service rate. */
    REFUSED_DEADLINE,

    /** Refused because the queue is full. */
    REFUSED_FULL,

    /** Removed from the queue to make room for another request. */
    SHED,

    /** Removed from the queue because the deadline passed. */
    EXPIRED,

    /** Cancelled by the caller while queued. */
    CANCELLED,

    /** Refused because the instance is stopping. */
    NOT_SERVING,

    /** Removed from the queue because the service was removed or needs no queue any more. */
    SERVICE_REMOVED
}

/**
 * A snapshot of an [AdmissionController].
 *
 * [admittedTokens] is the running total of tokens charged for admitted requests; the estimate of a
 * request is corrected to its actual tokens when it ends.
 */
public data class AdmissionState(
    val queued: Int,
    val queuedTokens: Long,
    val inFlight: Int,
    val slots: Int,
    val isStopping: Boolean,
    val admittedTokens: Long = 0
)
