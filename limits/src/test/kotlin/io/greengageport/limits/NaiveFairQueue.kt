package io.greengageport.limits

import io.greengageport.common.OrganisationName
import io.greengageport.common.RankName
import io.greengageport.common.RequestId
import kotlin.math.ceil

/** Reference implementation of [FairQueue] that recomputes everything from a plain list. */
internal class NaiveFairQueue(private var settings: QueueSettings) : RequestQueue {
    private val queue = mutableListOf<QueuedRequest>()
    private val running = mutableMapOf<RequestId, Pair<QueuedRequest, Boolean>>()
    private val tags = mutableMapOf<Pair<RankName, OrganisationName>, Double>()
    private val activationOrder = mutableMapOf<Pair<RankName, OrganisationName>, Int>()
    private val virtualTime = mutableMapOf<RankName, Double>()
    private val credit = mutableMapOf<RankName, Double>()
    private var serviceRate = 0.0

    override val size get() = queue.size

    override val queuedTokens get() = queue.sumOf { it.estimatedTokens }

    override fun nextDeadlineMillis() = queue.minOfOrNull { it.deadlineMillis }

    override fun offer(request: QueuedRequest, nowMillis: Long): Offer {
        val wait = waitMillis(request.rank, tokensAhead(request))
        val slack = request.deadlineMillis - nowMillis
        if (wait > slack) return Offer.Refused(RefusalReason.DEADLINE, retryAfter(wait - slack))
        val key = request.rank to request.organisation
        activationOrder.getOrPut(key) { activationOrder.size }
        if (queuedOf(key).isEmpty()) tags[key] = maxOf(tag(key), virtualTime[request.rank] ?: 0.0)
        queue += request
        val shed = mutableListOf<QueuedRequest>()
        while (true) shed += requestToShed()?.also(::removeQueued) ?: break
        if (request !in shed) return Offer.Queued(shed)
        val retry = retryAfter(drainMillis(request.rank))
        return Offer.Refused(RefusalReason.FULL, retry, shed - request)
    }

    override fun poll(slots: Int): QueuedRequest? {
        val backlogged = byPriority().filter { p ->
            val urgentRanks = settings.ranks.filter { it.priority <= p.priority }.map { it.name }
            queue.any { it.rank == p.name } &&
                running.values.count { it.first.rank in urgentRanks } < ceil(slots * p.maxSlotShare)
        }
        val creditedRank = backlogged.filter { credit(it.name) > 0 }.maxByOrNull { credit(it.name) }
        val rank = (creditedRank ?: backlogged.firstOrNull() ?: return null).name
        val key = keys(rank).minWith(compareBy({ tag(it) }, { activationOrder[it] }))
        val request = queuedOf(key).minBy { it.deadlineMillis }
        virtualTime[rank] = tag(key)
        tags[key] = tag(key) + request.estimatedTokens / settings.weightOf(key.second)
        queue -= request
        running[request.id] = request to (creditedRank != null)
        recordService(rank, request.estimatedTokens, creditedRank != null)
        return request
    }

    override fun expire(nowMillis: Long): List<QueuedRequest> =
        queue.filter { it.deadlineMillis < nowMillis }
            .sortedBy { it.deadlineMillis }
            .onEach(::removeQueued)

    override fun remove(id: RequestId): QueuedRequest? =
        queue.find { it.id == id }?.also(::removeQueued)

    override fun complete(id: RequestId, actualTokens: Long) {
        val (request, isCharged) = running.remove(id) ?: return
        val key = request.rank to request.organisation
        val correction = actualTokens - request.estimatedTokens
        tags[key] = tag(key) + correction / settings.weightOf(key.second)
        recordService(request.rank, correction, isCharged)
    }

    override fun drainMillis(rank: RankName): Long = waitMillis(rank, tokens(rank).toDouble())

    override fun update(settings: QueueSettings) {
        this.settings = settings
    }

    override fun updateServiceRate(tokensPerSecond: Double) {
        serviceRate = tokensPerSecond
    }

    private fun queuedOf(key: Pair<RankName, OrganisationName>) =
        queue.filter { it.rank == key.first && it.organisation == key.second }

    private fun keys(rank: RankName) =
        queue.filter { it.rank == rank }.map { it.rank to it.organisation }.distinct()

    private fun tag(key: Pair<RankName, OrganisationName>) = tags[key] ?: 0.0

    private fun credit(rank: RankName) = credit[rank] ?: 0.0

    private fun tokens(rank: RankName) =
        queue.filter { it.rank == rank }.sumOf { it.estimatedTokens }

    private fun byPriority() = settings.ranks.sortedBy { it.priority }

    private fun removeQueued(request: QueuedRequest) {
        queue -= request
        clampCredits()
    }

    private fun recordService(rank: RankName, tokens: Long, isCharged: Boolean) {
        for (p in settings.ranks) credit[p.name] = credit(p.name) + p.floorShare * tokens
        if (isCharged) credit[rank] = credit(rank) - tokens
        clampCredits()
    }

    private fun clampCredits() {
        for (p in settings.ranks) {
            if (queue.none { it.rank == p.name }) credit[p.name] = minOf(credit(p.name), 0.0)
        }
    }

    private fun requestToShed(): QueuedRequest? {
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
            compareBy({ k -> queuedOf(k).sumOf { it.estimatedTokens } }, { activationOrder[it] })
        )
        return queuedOf(largest).maxWith(compareBy({ it.deadlineMillis }, { queue.indexOf(it) }))
    }

    private fun tokensAhead(r: QueuedRequest): Double {
        val key = r.rank to r.organisation
        val weight = settings.weightOf(r.organisation)
        val leadTokens = maxOf(0.0, tag(key) - (virtualTime[r.rank] ?: 0.0)) * weight
        val own = queuedOf(key).filter { it.deadlineMillis <= r.deadlineMillis }
        val others = keys(r.rank).filter { it != key }.sumOf { settings.weightOf(it.second) }
        val fairTokens =
            (leadTokens + own.sumOf { it.estimatedTokens }) * (1 + others / weight)
        return minOf(tokens(r.rank).toDouble(), fairTokens)
    }

    private fun waitMillis(rank: RankName, tokens: Double): Long {
        if (serviceRate <= 0 || tokens <= 0) return 0
        val policy = settings.ranks.first { it.name == rank }
        val (higher, lower) = settings.ranks.filter { it.name != rank }
            .partition { it.priority < policy.priority }
        val availableShare =
            maxOf(0.01, 1 - lower.filter { tokens(it.name) > 0 }.sumOf { it.floorShare })
        val floor = minOf(policy.floorShare, availableShare)
        val urgentSeconds =
            higher.sumOf { tokens(it.name) } / (serviceRate * maxOf(0.01, availableShare - floor))
        val tokensServedByFloor = floor * serviceRate * urgentSeconds
        val seconds =
            if (tokens <= tokensServedByFloor) {
                tokens / (floor * serviceRate)
            } else {
                urgentSeconds + (tokens - tokensServedByFloor) / (serviceRate * availableShare)
            }
        return ceil(seconds * 1_000).toLong()
    }

    private fun retryAfter(millis: Long) = millis.coerceIn(100, 60_000)
}
