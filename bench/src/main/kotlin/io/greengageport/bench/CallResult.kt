package io.greengageport.bench

import java.time.Instant

/** Idempotency key of an order, shared by all its attempts. */
internal data class OrderKey(val value: String, val issuedAt: Instant)

/** How an attempt ended for its caller. */
internal enum class CallEnd {
    /** The answer was received completely. */
    ANSWERED,

    /** The router refused the request before it sent any part of an answer. */
    REFUSED,

    /** The router sent an error event after a part of the answer. */
    INTERRUPTED,

    /** The connection failed, closed or timed out without an error from the router. */
    CONNECTION_LOST
}

/** Result of one attempt to send a request. */
internal data class Attempt(
    val end: CallEnd,
    /** HTTP status; 0 if the connection was lost. */
    val status: Int = 0,
    /**
     * Error code of the router, or `status_` and the status of a refusal without a code.
     *
     * It is `hang` or `connection_lost` for a lost connection and empty for a complete answer.
     */
    val code: String = "",
    /** Whether the request ran, as the router reported it; empty if it reported nothing. */
    val execution: String = "",
    val retryAfterMillis: Long? = null,
    /** Number of tokens received. */
    val tokens: Int = 0,
    /** Arrival time of each token in nanoseconds after the start of the experiment. */
    val tokenNanos: List<Long> = emptyList(),
    val fault: AnswerFault? = null
)

/**
 * A request with all its attempts.
 *
 * Times are in nanoseconds after the start of the experiment.
 */
internal data class CallResult(
    val arrival: Arrival,
    val attempts: List<Attempt>,
    val endNanos: Long,
    /** Idempotency key of an order; empty for other requests. */
    val idempotencyKey: String = ""
) {
    val lastAttempt: Attempt get() = attempts.last()
    val isAnswered: Boolean get() = lastAttempt.end == CallEnd.ANSWERED
    val rank: String get() = arrival.group.rank

    /** Number of tokens received in all attempts. */
    val tokensReceived: Int get() = attempts.sumOf { it.tokens }

    /** Time from the scheduled send time to the first token of the last attempt. */
    val firstTokenNanos: Long?
        get() = lastAttempt.tokenNanos.firstOrNull()?.let { it - arrival.atNanos }

    /** Gaps between consecutive tokens of the last attempt. */
    val tokenGapsNanos: List<Long> get() = lastAttempt.tokenNanos.zipWithNext { a, b -> b - a }
}
