package io.greengageport.limits

/** Receives each decision of an [AdmissionController], outside its lock; for metrics and logs. */
public fun interface AdmissionObserver {
    public fun onDecision(decision: AdmissionDecision)
}

/** The decision on one request; [waitedMillis] is the time since its arrival. */
public data class AdmissionDecision(
    val request: QueuedRequest,
    val outcome: AdmissionOutcome,
    val waitedMillis: Long,
    val retryAfterMillis: Long? = null
)

/** What became of a request at admission. */
public enum class AdmissionOutcome {
    ADMITTED,
    OVER_LIMIT,
    REFUSED_DEADLINE,
    REFUSED_FULL,
    SHED,
    EXPIRED,
    CANCELLED,
    NOT_SERVING
}

/** A snapshot of an [AdmissionController]; [takenTokens] counts all work admitted so far. */
public data class AdmissionState(
    val queued: Int,
    val queuedTokens: Long,
    val inFlight: Int,
    val slots: Int,
    val isStopping: Boolean,
    val takenTokens: Long = 0
)
