package io.greengageport.limits

import io.greengageport.common.OrganisationName
import io.greengageport.common.RankName
import io.greengageport.common.RequestId

/**
 * A bounded queue of requests. Implementations are pure: they read no clock and take no locks.
 *
 * ```
 * when (val offer = queue.offer(request, now)) {
 *     is Offer.Queued -> offer.shed.forEach(::refuse)
 *     is Offer.Refused -> refuse(request, offer.retryAfterMillis)
 * }
 * queue.expire(now).forEach(::refuse)
 * val next = queue.poll()
 * // when it ends:
 * queue.complete(next.id, actualTokens = 412)
 * ```
 */
public interface RequestQueue {
    /** Number of queued requests. */
    public val size: Int

    /** Estimated work of the queued requests, in tokens. */
    public val queuedTokens: Long

    /** Adds [request] unless it has to be refused; may shed queued requests to make room. */
    public fun offer(request: QueuedRequest, nowMillis: Long): Offer

    /**
     * Takes the request to run next, of a rank whose part of [slots] is not filled by the polled
     * requests that have not ended; call [expire] first.
     */
    public fun poll(slots: Int = Int.MAX_VALUE): QueuedRequest?

    /** Takes the requests whose deadline passed before [nowMillis]. */
    public fun expire(nowMillis: Long): List<QueuedRequest>

    /** Takes a request whose caller no longer waits; null if it is not queued. */
    public fun remove(id: RequestId): QueuedRequest?

    /** Corrects the accounts when a polled request ends, from its estimate to [actualTokens]. */
    public fun complete(id: RequestId, actualTokens: Long)

    /** The earliest deadline of a queued request. */
    public fun nextDeadlineMillis(): Long?

    /** Time until the present backlog of [rank] is served, in ms; 0 if the rate is unknown. */
    public fun drainMillis(rank: RankName): Long

    /** Replaces the settings; queued requests of a removed rank move to the lowest one. */
    public fun update(settings: QueueSettings)

    /** Sets the present service rate; 0 means unknown and disables early refusal. */
    public fun updateServiceRate(tokensPerSecond: Double)
}

/**
 * A request as the queue sees it.
 *
 * [deadlineMillis] is the latest useful start on the monotonic clock: the caller's deadline less
 * the expected time to serve the request. [estimatedTokens] is its expected work.
 */
public data class QueuedRequest(
    val id: RequestId,
    val rank: RankName,
    val organisation: OrganisationName,
    val estimatedTokens: Long,
    val deadlineMillis: Long
) {
    init {
        require(estimatedTokens > 0) { "the estimated work is positive, not $estimatedTokens" }
    }
}

/** Outcome of offering a request to a queue. */
public sealed interface Offer {
    /** The request is queued; [shed] lists requests that were removed to make room. */
    public data class Queued(val shed: List<QueuedRequest>) : Offer

    /** The request is not queued; a retry is worthwhile after [retryAfterMillis]. */
    public data class Refused(
        val reason: RefusalReason,
        val retryAfterMillis: Long,
        val shed: List<QueuedRequest> = emptyList()
    ) : Offer
}

/** Why a queue refuses a request. */
public enum class RefusalReason(public val text: String) {
    DEADLINE("the deadline cannot be met at the present service rate"),
    FULL("the queue is full")
}
