package io.greengageport.limits

import io.greengageport.common.RankName
import io.greengageport.common.RequestId
import kotlin.math.ceil

/**
 * A first-in, first-out queue without ranks or fairness, as a baseline for comparisons.
 *
 * It has the same bounds and expiry as [FairQueue], and refuses the offered request when full.
 */
public class FifoQueue(private var settings: QueueSettings) : RequestQueue {
    private val requests = LinkedHashMap<RequestId, QueuedRequest>()
    private val running = HashSet<RequestId>()
    private var serviceRate = 0.0

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

    /** Ranks are not told apart here, so the smallest maximum slot share applies to all. */
    override fun poll(slots: Int): QueuedRequest? {
        if (running.size >= ceil(slots * settings.ranks.minOf { it.maxSlotShare })) return null
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
        serviceRate <= 0 -> 0
        else -> ceil(queuedTokens / serviceRate * MILLIS_PER_SECOND).toLong()
    }

    override fun update(settings: QueueSettings) {
        this.settings = settings
    }

    override fun updateServiceRate(tokensPerSecond: Double) {
        serviceRate = tokensPerSecond
    }
}
