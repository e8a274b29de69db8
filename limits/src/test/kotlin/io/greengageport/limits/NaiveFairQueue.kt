package io.greengageport.limits

import io.greengageport.common.OrganisationName
import io.greengageport.common.RankName
import io.greengageport.common.RequestId
import kotlin.math.ceil

/** The rules of [FairQueue] over a plain list; every quantity is recomputed where it is needed. */
internal class NaiveFairQueue(private var settings: QueueSettings) : RequestQueue {
    private val queue = mutableListOf<QueuedRequest>()
    private val running = mutableMapOf<RequestId, Pair<QueuedRequest, Boolean>>()
    private val tags = mutableMapOf<Pair<RankName, OrganisationName>, Double>()
    private val activated = mutableMapOf<Pair<RankName, OrganisationName>, Int>()
    private val virtualTime = mutableMapOf<RankName, Double>()
    private val credit = mutableMapOf<RankName, Double>()
    private var rate = 0.0

    override val size get() = queue.size

    override val queuedTokens get() = queue.sumOf { it.estimatedTokens }

    override fun nextDeadlineMillis() = queue.minOfOrNull { it.deadlineMillis }

    override fun offer(request: QueuedRequest, nowMillis: Long): Offer {
        val wait = waitMillis(request.rank, tokensAhead(request))
        val slack = request.deadlineMillis - nowMillis
        if (wait > slack) return Offer.Refused(RefusalReason.DEADLINE, clamp(wait - slack))
        val key = request.rank to request.organisation
        activated.getOrPut(key) { activated.size }
        if (of(key).isEmpty()) tags[key] = maxOf(tag(key), virtualTime[request.rank] ?: 0.0)
        queue += request
        val shed = mutableListOf<QueuedRequest>()
        while (true) shed += victim()?.also(::drop) ?: break
        if (request !in shed) return Offer.Queued(shed)
        val retry = clamp(drainMillis(request.rank))
        return Offer.Refused(RefusalReason.FULL, retry, shed - request)
    }

    override fun poll(slots: Int): QueuedRequest? {
        val backlogged = byPriority().filter { p ->
            val asUrgent = settings.ranks.filter { it.priority <= p.priority }.map { it.name }
            queue.any { it.rank == p.name } &&
                running.values.count { it.first.rank in asUrgent } < ceil(slots * p.slotShare)
        }
        val owed = backlogged.filter { credit(it.name) > 0 }.maxByOrNull { credit(it.name) }
        val rank = (owed ?: backlogged.firstOrNull() ?: return null).name
        val key = keys(rank).minWith(compareBy({ tag(it) }, { activated[it] }))
        val request = of(key).minBy { it.deadlineMillis }
        virtualTime[rank] = tag(key)
        tags[key] = tag(key) + request.estimatedTokens / settings.weightOf(key.second)
        queue -= request
        running[request.id] = request to (owed != null)
        account(rank, request.estimatedTokens, owed != null)
        return request
    }

    override fun expire(nowMillis: Long): List<QueuedRequest> =
        queue.filter { it.deadlineMillis < nowMillis }.sortedBy { it.deadlineMillis }.onEach(::drop)

    override fun remove(id: RequestId): QueuedRequest? = queue.find { it.id == id }?.also(::drop)

    override fun complete(id: RequestId, actualTokens: Long) {
        val (request, wasOwed) = running.remove(id) ?: return
        val key = request.rank to request.organisation
        val correction = actualTokens - request.estimatedTokens
        tags[key] = tag(key) + correction / settings.weightOf(key.second)
        account(request.rank, correction, wasOwed)
    }

    override fun drainMillis(rank: RankName): Long = waitMillis(rank, tokens(rank).toDouble())

    override fun update(settings: QueueSettings) {
        this.settings = settings
    }

    override fun updateServiceRate(tokensPerSecond: Double) {
        rate = tokensPerSecond
    }

    private fun of(key: Pair<RankName, OrganisationName>) =
        queue.filter { it.rank == key.first && it.organisation == key.second }

    private fun keys(rank: RankName) =
        queue.filter { it.rank == rank }.map { it.rank to it.organisation }.distinct()

    private fun tag(key: Pair<RankName, OrganisationName>) = tags[key] ?: 0.0

    private fun credit(rank: RankName) = credit[rank] ?: 0.0

    private fun tokens(rank: RankName) =
        queue.filter { it.rank == rank }.sumOf { it.estimatedTokens }

    private fun byPriority() = settings.ranks.sortedBy { it.priority }

    private fun drop(request: QueuedRequest) {
        queue -= request
        clampCredits()
    }

    private fun account(rank: RankName, tokens: Long, wasOwed: Boolean) {
        for (p in settings.ranks) credit[p.name] = credit(p.name) + p.floorShare * tokens
        if (wasOwed) credit[rank] = credit(rank) - tokens
        clampCredits()
    }

    private fun clampCredits() {
        for (p in settings.ranks) {
            if (queue.none { it.rank == p.name }) credit[p.name] = minOf(credit(p.name), 0.0)
        }
    }

    private fun victim(): QueuedRequest? {
        val ranks = byPriority().reversed()
        val rank = when {
            queue.size > settings.maxLength -> ranks.first { p ->
                queue.count { it.rank == p.name } > p.floorShare * settings.maxLength
            }

            queuedTokens > settings.maxQueuedTokens ->
                ranks.first { tokens(it.name) > it.floorShare * settings.maxQueuedTokens }

            else -> return null
        }.name
        val largest = keys(rank).maxWith(
            compareBy({ k -> of(k).sumOf { it.estimatedTokens } }, { activated[it] })
        )
        return of(largest).maxWith(compareBy({ it.deadlineMillis }, { queue.indexOf(it) }))
    }

    private fun tokensAhead(r: QueuedRequest): Double {
        val key = r.rank to r.organisation
        val weight = settings.weightOf(r.organisation)
        val lead = maxOf(0.0, tag(key) - (virtualTime[r.rank] ?: 0.0)) * weight
        val own = of(key).filter { it.deadlineMillis <= r.deadlineMillis }
        val others = keys(r.rank).filter { it != key }.sumOf { settings.weightOf(it.second) }
        val fair = (lead + own.sumOf { it.estimatedTokens }) * (1 + others / weight)
        return minOf(tokens(r.rank).toDouble(), fair)
    }

    private fun waitMillis(rank: RankName, tokens: Double): Long {
        if (rate <= 0 || tokens <= 0) return 0
        val policy = settings.ranks.first { it.name == rank }
        val (higher, lower) = settings.ranks.filter { it.name != rank }
            .partition { it.priority < policy.priority }
        val free = maxOf(0.01, 1 - lower.filter { tokens(it.name) > 0 }.sumOf { it.floorShare })
        val floor = minOf(policy.floorShare, free)
        val drained = higher.sumOf { tokens(it.name) } / (rate * maxOf(0.01, free - floor))
        val early = floor * rate * drained
        val seconds =
            if (tokens <=
                early
            ) {
                tokens / (floor * rate)
            } else {
                drained + (tokens - early) / (rate * free)
            }
        return ceil(seconds * 1_000).toLong()
    }

    private fun clamp(millis: Long) = millis.coerceIn(100, 60_000)
}
