package io.greengageport.limits

import io.greengageport.common.RankName
import io.greengageport.common.RequestId
import java.util.TreeSet
import kotlin.math.ceil

/**
 * The ranked fair queue: urgent ranks first, each lower rank with a floor, weighted fair queueing
 * between the organisations of a rank, earliest deadline first within an organisation.
 *
 * *Floors.* Each token of service adds `floorShare` tokens of credit to a rank. A rank with queued
 * requests and positive credit is served before the urgent ranks and pays with its credit. An idle
 * rank keeps no positive credit. Service that a rank receives because no more urgent rank has
 * requests is free. With up to two floors, a rank that stays backlogged from a credit of 0 is never
 * more than one request's work behind its floor.
 *
 * *Slots.* A rank may fill its part of the slots together with the more urgent ranks. Requests of
 * lower ranks that run do not count, since the engines serve more urgent requests first; so a rank
 * with a larger part fills the time that more urgent ones leave to the engines.
 *
 * *Bounds.* When the queue exceeds its length or work bound, it sheds from the lowest rank whose
 * part of the bound is above its floor, the organisation with the most queued work, its latest
 * deadline. The request being offered takes part, so it may be the one that is refused.
 *
 * All operations cost O(log n) in the queued requests and organisations; ranks are few and scanned.
 */
public class FairQueue(settings: QueueSettings) : RequestQueue {
    private var settings = settings
    private var ranks: List<RankQueue> = settings.sorted().map(::RankQueue)
    private var byName: Map<RankName, RankQueue> = ranks.associateBy { it.policy.name }
    private val queued = HashMap<RequestId, Entry>()
    private val running = HashMap<RequestId, Running>()
    private val byDeadline = TreeSet<Entry>()
    private var nextSequence = 0L
    private var rate = 0.0

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
        val open = openRanks(slots)
        val owed = open.filter { it.credit > 0 }.maxByOrNull { it.credit }
        val rank = owed ?: open.firstOrNull() ?: return null
        val entry = rank.poll()
        forget(entry)
        rank.running++
        running[entry.request.id] = Running(entry.request, rank, owed != null)
        account(rank, entry.tokens, owed != null)
        return entry.request
    }

    /** Ranks with queued requests and a free slot, the most urgent first. */
    private fun openRanks(slots: Int): List<RankQueue> = buildList {
        var inFlight = 0
        for (r in ranks) {
            inFlight += r.running
            if (!r.isEmpty() && inFlight < ceil(slots * r.policy.slotShare)) add(r)
        }
    }

    override fun expire(nowMillis: Long): List<QueuedRequest> = buildList {
        while (byDeadline.isNotEmpty() && byDeadline.first().deadline < nowMillis) {
            add(take(byDeadline.first()))
        }
    }

    override fun remove(id: RequestId): QueuedRequest? = queued[id]?.let(::take)

    override fun complete(id: RequestId, actualTokens: Long) {
        require(actualTokens >= 0) { "the work of a request is not negative: $actualTokens" }
        val run = running.remove(id) ?: return
        run.rank.running--
        val correction = actualTokens - run.request.estimatedTokens
        run.rank.complete(run.request.organisation, correction)
        account(run.rank, correction, run.isCharged)
    }

    override fun nextDeadlineMillis(): Long? = byDeadline.firstOrNull()?.deadline

    override fun drainMillis(rank: RankName): Long =
        waitMillis(queueOf(rank), queueOf(rank).tokens.toDouble())

    /** The wait of [request] if it were queued now, in ms; 0 if the service rate is unknown. */
    public fun expectedWaitMillis(request: QueuedRequest): Long {
        val rank = queueOf(request.rank)
        return waitMillis(rank, rank.tokensAhead(request, settings.weightOf(request.organisation)))
    }

    override fun update(settings: QueueSettings) {
        val old = byName
        this.settings = settings
        ranks = settings.sorted().map { p -> old[p.name]?.also { it.policy = p } ?: RankQueue(p) }
        byName = ranks.associateBy { it.policy.name }
        for (r in ranks) r.updateWeights(settings::weightOf)
        val removed = old.filterKeys { it !in byName }.values.flatMap { it.entries() }
        for (e in removed.sortedBy { it.sequence }) {
            ranks.last().add(e, settings.weightOf(e.request.organisation))
        }
    }

    override fun updateServiceRate(tokensPerSecond: Double) {
        require(tokensPerSecond >= 0) { "a service rate is not negative: $tokensPerSecond" }
        rate = tokensPerSecond
    }

    /** A request of a rank that was removed meanwhile belongs to the lowest rank. */
    private fun queueOf(rank: RankName): RankQueue = byName[rank] ?: ranks.last()

    private fun insert(entry: Entry) {
        val r = entry.request
        queueOf(r.rank).add(entry, settings.weightOf(r.organisation))
        queued[r.id] = entry
        byDeadline.add(entry)
    }

    private fun forget(entry: Entry) {
        queued.remove(entry.request.id)
        byDeadline.remove(entry)
    }

    private fun take(entry: Entry): QueuedRequest {
        val rank = entry.rank
        rank.remove(entry)
        if (rank.isEmpty()) rank.credit = minOf(rank.credit, 0.0)
        forget(entry)
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
            add(take(rank.victim()))
        }
    }

    /** Books [tokens] of service of [served]: credit for every floor, charged if it was owed. */
    private fun account(served: RankQueue, tokens: Long, isCharged: Boolean) {
        for (r in ranks) r.credit += r.policy.floorShare * tokens
        if (isCharged) served.credit -= tokens
        for (r in ranks) if (r.isEmpty()) r.credit = minOf(r.credit, 0.0)
    }

    /**
     * Time until [rank] has served [tokens], in the fluid model: the rank gets its floor while more
     * urgent ranks drain, then all but the floors of the lower ranks. Later arrivals are not known.
     */
    private fun waitMillis(rank: RankQueue, tokens: Double): Long {
        if (rate <= 0 || tokens <= 0) return 0
        val at = ranks.indexOf(rank)
        val urgent = ranks.subList(0, at).sumOf { it.tokens }.toDouble()
        val lower = ranks.subList(at + 1, ranks.size).filter { !it.isEmpty() }
        val available = maxOf(MIN_SHARE, 1 - lower.sumOf { it.policy.floorShare })
        val floor = minOf(rank.policy.floorShare, available)
        val urgentShare = maxOf(MIN_SHARE, available - floor)
        val urgentSeconds = urgent / (rate * urgentShare)
        val servedMeanwhile = floor * rate * urgentSeconds
        val seconds = when {
            tokens <= servedMeanwhile -> tokens / (floor * rate)
            else -> urgentSeconds + (tokens - servedMeanwhile) / (rate * available)
        }
        return ceil(seconds * MILLIS_PER_SECOND).toLong()
    }

    private fun retryAfter(millis: Long): Long =
        millis.coerceIn(MIN_RETRY_AFTER_MILLIS, MAX_RETRY_AFTER_MILLIS)

    private class Running(val request: QueuedRequest, val rank: RankQueue, val isCharged: Boolean)

    private companion object {
        /** Avoids a division by zero where the floors add up to 1. */
        const val MIN_SHARE = 0.01
    }
}

internal const val MILLIS_PER_SECOND = 1_000.0

/** Callers that retry sooner would cost more than they gain. */
internal const val MIN_RETRY_AFTER_MILLIS = 100L

/** The service rate is not known well enough to predict further ahead. */
internal const val MAX_RETRY_AFTER_MILLIS = 60_000L

internal fun QueueSettings.sorted(): List<RankPolicy> =
    ranks.sortedWith(compareBy({ it.priority }, { it.name.value }))
