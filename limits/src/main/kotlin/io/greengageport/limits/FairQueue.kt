package io.greengageport.limits

import io.greengageport.common.RankName
import io.greengageport.common.RequestId
import java.util.TreeSet
import kotlin.math.ceil

/**
 * A request queue with strict priority between ranks, a guaranteed minimum share (floor) for each
 * rank, weighted fair queueing between the organisations of a rank, and earliest deadline first
 * within an organisation.
 *
 * *Floors.* Each token of service adds `floorShare` tokens of credit to every rank. A rank with
 * queued requests and positive credit is served before more urgent ranks, and the service is
 * charged to its credit. Service that a rank receives because no more urgent rank has requests is
 * not charged. An idle rank keeps no positive credit. With up to two floors, a rank that starts
 * with a credit of 0 and stays backlogged is never more than one request's work behind its floor.
 *
 * *Slots.* A rank and the more urgent ranks together can fill at most the rank's `maxSlotShare` of
 * the slots. Running requests of less urgent ranks do not count, because the engines serve more
 * urgent requests first. A rank with a larger share therefore uses the engine time that more urgent
 * ranks leave idle.
 *
 * *Bounds.* When the queue exceeds its length or work bound, it sheds a request from the least
 * urgent rank that uses more than its floor of the bound: in that rank, the request with the latest
 * deadline of the organisation with the most queued work. The offered request is a candidate too,
 * so it may be the one that is refused.
 *
 * All operations are O(log n) in the number of queued requests and organisations; the few ranks are
 * scanned linearly.
 */
public class FairQueue(settings: QueueSettings) : RequestQueue {
    private var settings = settings
    private var ranks: List<RankQueue> = settings.sorted().map(::RankQueue)
    private var ranksByName: Map<RankName, RankQueue> = ranks.associateBy { it.policy.name }
    private val queued = HashMap<RequestId, Entry>()
    private val running = HashMap<RequestId, Running>()
    private val byDeadline = TreeSet<Entry>()
    private var nextSequence = 0L
    private var serviceRate = 0.0

    override val size: Int get() = queued.size

    override val queuedTokens: Long get() = ranks.sumOf { it.tokens }

    override fun offer(request: QueuedRequest, nowMillis: Long): Offer {
        require(request.id !in queued) { "the request ${request.id} is already queued" }
        val wait = expectedWaitMillis(request)
        val slack = request.deadlineMillis - nowMillis
        if (wait > slack) return Offer.Refused(RefusalReason.DEADLINE, retryAfter(wait - slack))
        insert(Entry(request, nextSequence++))
        val shed = shedExcess()
        if (request !in shed) return Offer.Queued(shed)
        val retry = retryAfter(drainMillis(request.rank))
        return Offer.Refused(RefusalReason.FULL, retry, shed - request)
    }

    override fun poll(slots: Int): QueuedRequest? {
        val eligible = eligibleRanks(slots)
        val creditedRank = eligible.filter { it.credit > 0 }.maxByOrNull { it.credit }
        val rank = creditedRank ?: eligible.firstOrNull() ?: return null
        val entry = rank.poll()
        removeFromIndexes(entry)
        rank.running++
        running[entry.request.id] = Running(entry.request, rank, creditedRank != null)
        recordService(rank, entry.tokens, creditedRank != null)
        return entry.request
    }

    /** Ranks with queued requests and a free slot, most urgent first. */
    private fun eligibleRanks(slots: Int): List<RankQueue> = buildList {
        var inFlight = 0
        for (rank in ranks) {
            inFlight += rank.running
            if (!rank.isEmpty() && inFlight < ceil(slots * rank.policy.maxSlotShare)) add(rank)
        }
    }

    override fun expire(nowMillis: Long): List<QueuedRequest> = buildList {
        while (byDeadline.isNotEmpty() && byDeadline.first().deadline < nowMillis) {
            add(removeQueued(byDeadline.first()))
        }
    }

    override fun remove(id: RequestId): QueuedRequest? = queued[id]?.let(::removeQueued)

    override fun complete(id: RequestId, actualTokens: Long) {
        require(actualTokens >= 0) { "the actual tokens must not be negative: $actualTokens" }
        val run = running.remove(id) ?: return
        run.slotRank.running--
        val correction = actualTokens - run.request.estimatedTokens
        run.rank.complete(run.request.organisation, correction)
        recordService(run.rank, correction, run.isCharged)
    }

    override fun nextDeadlineMillis(): Long? = byDeadline.firstOrNull()?.deadline

    override fun drainMillis(rank: RankName): Long =
        waitMillis(rankQueueOf(rank), rankQueueOf(rank).tokens.toDouble())

    /** Expected wait of [request] if queued now, in ms; 0 if the service rate is unknown. */
    public fun expectedWaitMillis(request: QueuedRequest): Long {
        val rank = rankQueueOf(request.rank)
        return waitMillis(rank, rank.tokensAhead(request, settings.weightOf(request.organisation)))
    }

    override fun update(settings: QueueSettings) {
        val old = ranksByName
        this.settings = settings
        ranks = settings.sorted().map { p -> old[p.name]?.also { it.policy = p } ?: RankQueue(p) }
        ranksByName = ranks.associateBy { it.policy.name }
        for (rank in ranks) rank.updateWeights(settings::weightOf)
        val removed = old.filterKeys { it !in ranksByName }.values.flatMap { it.entries() }
        for (entry in removed.sortedBy { it.sequence }) {
            ranks.last().add(entry, settings.weightOf(entry.request.organisation))
        }
        for (run in running.values) {
            if (ranksByName[run.slotRank.policy.name] === run.slotRank) continue
            run.slotRank = ranks.last()
            run.slotRank.running++
        }
    }

    override fun updateServiceRate(tokensPerSecond: Double) {
        require(tokensPerSecond >= 0) { "the service rate must not be negative: $tokensPerSecond" }
        serviceRate = tokensPerSecond
    }

    /** The queue of [rank]; the lowest rank takes over requests of a removed rank. */
    private fun rankQueueOf(rank: RankName): RankQueue = ranksByName[rank] ?: ranks.last()

    private fun insert(entry: Entry) {
        val r = entry.request
        rankQueueOf(r.rank).add(entry, settings.weightOf(r.organisation))
        queued[r.id] = entry
        byDeadline.add(entry)
    }

    private fun removeFromIndexes(entry: Entry) {
        queued.remove(entry.request.id)
        byDeadline.remove(entry)
    }

    private fun removeQueued(entry: Entry): QueuedRequest {
        val rank = entry.rank
        rank.remove(entry)
        if (rank.isEmpty()) rank.credit = minOf(rank.credit, 0.0)
        removeFromIndexes(entry)
        return entry.request
    }

    private fun shedExcess(): List<QueuedRequest> = buildList {
        while (true) {
            val rank = when {
                queued.size > settings.maxLength ->
                    ranks.last { it.size > it.policy.floorShare * settings.maxLength }

                queuedTokens > settings.maxQueuedTokens ->
                    ranks.last { it.tokens > it.policy.floorShare * settings.maxQueuedTokens }

                else -> return@buildList
            }
            add(removeQueued(rank.requestToShed()))
        }
    }

    /** Credits each rank with its floor of [tokens]; charges [served] for them if [isCharged]. */
    private fun recordService(served: RankQueue, tokens: Long, isCharged: Boolean) {
        for (r in ranks) r.credit += r.policy.floorShare * tokens
        if (isCharged) served.credit -= tokens
        for (r in ranks) if (r.isEmpty()) r.credit = minOf(r.credit, 0.0)
    }

    /**
     * Time until [rank] has served [tokens], in ms, in the fluid model: the rank gets its floor
     * while more urgent ranks drain, then everything except the floors of the lower ranks. Ignores
     * requests that arrive later.
     */
    private fun waitMillis(rank: RankQueue, tokens: Double): Long {
        if (serviceRate <= 0 || tokens <= 0) return 0
        val index = ranks.indexOf(rank)
        val urgentTokens = ranks.subList(0, index).sumOf { it.tokens }.toDouble()
        val lower = ranks.subList(index + 1, ranks.size).filter { !it.isEmpty() }
        val availableShare = maxOf(MIN_SHARE, 1 - lower.sumOf { it.policy.floorShare })
        val floorShareUsed = minOf(rank.policy.floorShare, availableShare)
        val urgentShare = maxOf(MIN_SHARE, availableShare - floorShareUsed)
        val urgentSeconds = urgentTokens / (serviceRate * urgentShare)
        val tokensServedByFloor = floorShareUsed * serviceRate * urgentSeconds
        val seconds = when {
            tokens <= tokensServedByFloor -> tokens / (floorShareUsed * serviceRate)
            else -> urgentSeconds + (tokens - tokensServedByFloor) / (serviceRate * availableShare)
        }
        return ceil(seconds * MILLIS_PER_SECOND).toLong()
    }

    private fun retryAfter(millis: Long): Long =
        millis.coerceIn(MIN_RETRY_AFTER_MILLIS, MAX_RETRY_AFTER_MILLIS)

    /** A polled request that has not ended; it uses a slot of [slotRank]. */
    private class Running(val request: QueuedRequest, val rank: RankQueue, val isCharged: Boolean) {
        var slotRank: RankQueue = rank
    }

    private companion object {
        /** Prevents division by zero if the floors add up to 1. */
        const val MIN_SHARE = 0.01
    }
}

internal const val MILLIS_PER_SECOND = 1_000.0

/** Lower bound of retry times: a retry that comes sooner costs more than it gains. */
internal const val MIN_RETRY_AFTER_MILLIS = 100L

/** Upper bound of retry times: the service rate is too uncertain to predict further ahead. */
internal const val MAX_RETRY_AFTER_MILLIS = 60_000L

/** The ranks, most urgent first; ties are broken by name. */
internal fun QueueSettings.sorted(): List<RankPolicy> =
    ranks.sortedWith(compareBy({ it.priority }, { it.name.value }))
