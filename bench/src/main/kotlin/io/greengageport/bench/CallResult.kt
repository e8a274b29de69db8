package io.greengageport.bench

import java.time.Instant

/** Idempotency key of an order, the same for all its tries. */
internal data class OrderKey(val value: String, val issuedAt: Instant)

/** How a request ended for its caller, after its retries. */
internal enum class CallEnd {
    /** Answered as a whole. */
    ANSWERED,

    /** Refused before any part of an answer. */
    REFUSED,

    /** An error event after a part of the answer. */
    INTERRUPTED,

    /** The connection failed or closed, without a word from the router. */
    CONNECTION_LOST
}

/** One try of a request. */
internal data class Attempt(
    val end: CallEnd,
    val status: Int = 0,
    val code: String = "",
    val execution: String = "",
    val retryAfterMillis: Long? = null,
    val tokens: Int = 0,
    /** Nanoseconds of each token after the start of the experiment. */
    val tokenTimes: List<Long> = emptyList(),
    val fault: AnswerFault? = null
)

/** A request with all its tries; times are in nanoseconds after the start of the experiment. */
internal data class CallResult(
    val arrival: Arrival,
    val attempts: List<Attempt>,
    val endNanos: Long,
    /** Idempotency key of an order. */
    val idempotencyKey: String = ""
) {
    val last: Attempt get() = attempts.last()
    val isAnswered: Boolean get() = last.end == CallEnd.ANSWERED
    val rank: String get() = arrival.group.rank
    val tokensReceived: Int get() = attempts.sumOf { it.tokens }

    /** Time from the intended sending to the first token of the last try. */
    val firstTokenNanos: Long?
        get() = last.tokenTimes.firstOrNull()?.let { it - arrival.atNanos }

    /** Times between the tokens of the last try. */
    val gapsNanos: List<Long> get() = last.tokenTimes.zipWithNext { a, b -> b - a }
}
