package io.greengageport.limits

import io.greengageport.common.OrganisationName
import io.greengageport.common.RankName
import io.greengageport.common.RequestId

/**
 * A bounded queue of requests.
 *
 * Implementations read no clock and are not thread-safe; callers pass the time of the monotonic
 * clock and synchronise.
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

    /** Queues or refuses [request]; may shed queued requests to make room. */
    public fun offer(request: QueuedRequest, nowMillis: Long): Offer

    /**
     * Removes and returns the request to run next, or null if there is none. Only considers ranks
     * whose share of [slots] is not filled by polled requests that have not ended. Call [expire]
     * first.
     */
    public fun poll(slots: Int = Int.MAX_VALUE): QueuedRequest?

    /** Removes and returns the requests with a deadline before [nowMillis]. */
    public fun expire(nowMillis: Long): List<QueuedRequest>

    /** Removes and returns a request whose caller stopped waiting; null if it is not queued. */
    public fun remove(id: RequestId): QueuedRequest?

    /**
     * Must be called when a polled request ends; replaces its estimate by [actualTokens]. Does
     * nothing if the request was not polled or has ended.
     */
    public fun complete(id: RequestId, actualTokens: Long)

    /** The earliest deadline of a queued request, or null if the queue is empty. */
    public fun nextDeadlineMillis(): Long?

    /** Time until the current backlog of [rank] is served, in ms; 0 if the rate is unknown. */
    public fun drainMillis(rank: RankName): Long

    /**
     * Replaces the settings. Queued requests of a removed rank move to the lowest rank, and the
     * slots that its polled requests use count for that rank.
     */
    public fun update(settings: QueueSettings)

    /** Sets the current service rate; 0 means unknown and disables refusal by deadline. */
    public fun updateServiceRate(tokensPerSecond: Double)
}

/**
 * The properties of a request that determine its place in the queue.
 *
 * [deadlineMillis] is the latest useful start time on the monotonic clock: the caller's deadline
 * minus the expected service time. [estimatedTokens] is the expected work.
 */
public data class QueuedRequest(
    val id: RequestId,
    val rank: RankName,
    val organisation: OrganisationName,
    val estimatedTokens: Long,
    val deadlineMillis: Long
) {
    init {
        require(estimatedTokens > 0) { "the estimated tokens must be positive: $estimatedTokens" }
    }
}

/** Result of [RequestQueue.offer]. */
public sealed interface Offer {
    /** The request is queued; the requests in [shed] were removed to make room. */
    public data class Queued(val shed: List<QueuedRequest>) : Offer

    /**
     * The request is not queued and can be retried after [retryAfterMillis]. The requests in [shed]
     * were removed before it was refused.
     */
    public data class Refused(
        val reason: RefusalReason,
        val retryAfterMillis: Long,
        val shed: List<QueuedRequest> = emptyList()
    ) : Offer
}

/** Why a queue refuses a request. */
public enum class RefusalReason(public val message: String) {
    DEADLINE("the deadline cannot be met at the present service rate"),
    FULL("the queue is full")
}
