package io.greengageport.limits

import io.greengageport.common.RankName
import io.greengageport.common.RequestId
import kotlin.math.ceil

/**
 * The naive baseline: first in, first out for all ranks and organisations.
 *
 * It has the same bounds and the same expiry as [FairQueue] and refuses the newcomer when it is
 * full. It serves comparisons.
 */
public class FifoQueue(private var settings: QueueSettings) : RequestQueue {
    private val requests = LinkedHashMap<RequestId, QueuedRequest>()
    private val running = HashSet<RequestId>()
    private var rate = 0.0

    override val size: Int get() = requests.size

    override var queuedTokens: Long = 0
        private set

    override fun offer(request: QueuedRequest, nowMillis: Long): Offer {
        val wait = drainMillis(request.rank)
        val retry = maxOf(MIN_RETRY_AFTER_MILLIS, wait)
        if (nowMillis + wait > request.deadlineMillis) {
            return Offer.Refused(RefusalReason.DEADLINE, retry)
        }
        val isFull = size >= settings.maxLength ||
            queuedTokens + request.estimatedTokens > settings.maxQueuedTokens
        if (isFull) return Offer.Refused(RefusalReason.FULL, retry)
        requests[request.id] = request
        queuedTokens += request.estimatedTokens
        return Offer.Queued(emptyList())
    }

    /** Without an order of ranks, all have to keep to the smallest part of the slots. */
    override fun poll(slots: Int): QueuedRequest? {
        if (running.size >= ceil(slots * settings.ranks.minOf { it.slotShare })) return null
        return requests.keys.firstOrNull()?.let(::remove)?.also { running += it.id }
    }

    override fun expire(nowMillis: Long): List<QueuedRequest> =
        requests.values.filter { it.deadlineMillis < nowMillis }.onEach { remove(it.id) }

    override fun remove(id: RequestId): QueuedRequest? =
        requests.remove(id)?.also { queuedTokens -= it.estimatedTokens }

    override fun complete(id: RequestId, actualTokens: Long) {
        running -= id
    }

    override fun nextDeadlineMillis(): Long? = requests.values.minOfOrNull { it.deadlineMillis }

    override fun drainMillis(rank: RankName): Long = when {
        rate <= 0 -> 0
        else -> ceil(queuedTokens / rate * MILLIS_PER_SECOND).toLong()
    }

    override fun update(settings: QueueSettings) {
        this.settings = settings
    }

    override fun updateServiceRate(tokensPerSecond: Double) {
        rate = tokensPerSecond
    }
}
