package io.greengageport.limits

import io.greengageport.common.OrganisationName
import io.greengageport.common.RankName

/**
 * Settings of the queue and of the limits, as the operators configure them.
 *
 * ```
 * val urgent = RankPolicy(RankName("urgent"), priority = 0, firstTokenTargetMillis = 340)
 * val lowest = RankPolicy(RankName("lowest"), priority = 2, floorShare = 0.1)
 * val settings = QueueSettings(listOf(urgent, lowest))
 * ```
 */
public data class RankPolicy(
    val name: RankName,
    /** A smaller number is served first. */
    val priority: Int,
    /** Share of capacity, from 0 to 1, that the rank gets while it has queued requests. */
    val floorShare: Double = 0.0,
    /** Time from dispatch to the first token that 95 in 100 requests should meet. */
    val firstTokenTargetMillis: Long = 340,
    /** Part of the slots, from 0 to 1, that the rank and the more urgent ones may fill together. */
    val slotShare: Double = 1.0
) {
    init {
        require(floorShare in 0.0..1.0) { "a floor is a share from 0 to 1, not $floorShare" }
        require(slotShare > 0 && slotShare <= 1) { "a part of the slots is not $slotShare" }
        require(firstTokenTargetMillis > 0) { "the first-token target of '$name' is positive" }
    }
}

/** Weight and limits of an organisation over the whole fleet; null stands for no limit. */
public data class OrganisationPolicy(
    val weight: Double = 1.0,
    val tokensPerSecond: Double? = null,
    val concurrent: Int? = null
) {
    init {
        require(weight > 0 && weight.isFinite()) { "a weight is positive, not $weight" }
        require(tokensPerSecond == null || tokensPerSecond > 0) { "a token limit is positive" }
        require(concurrent == null || concurrent > 0) { "a concurrency limit is positive" }
    }
}

/**
 * Settings of one queue. The floors add up to at most 1.
 *
 * [maxLength] counts requests, [maxQueuedTokens] their estimated work. An organisation that is
 * missing from [weights] has weight 1.
 */
public data class QueueSettings(
    val ranks: List<RankPolicy>,
    val maxLength: Int = 10_000,
    val maxQueuedTokens: Long = 10_000_000,
    val weights: Map<OrganisationName, Double> = emptyMap()
) {
    init {
        require(ranks.isNotEmpty()) { "a queue needs at least one rank" }
        require(ranks.distinctBy { it.name }.size == ranks.size) { "rank names are unique" }
        require(ranks.sumOf { it.floorShare } <= 1 + FLOOR_TOLERANCE) { "the floors exceed 1" }
        require(maxLength > 0 && maxQueuedTokens > 0) { "the bounds of a queue are positive" }
    }

    internal fun weightOf(organisation: OrganisationName): Double = weights[organisation] ?: 1.0

    private companion object {
        /** Allows for rounding in the sum of decimal shares. */
        const val FLOOR_TOLERANCE = 1e-9
    }
}
