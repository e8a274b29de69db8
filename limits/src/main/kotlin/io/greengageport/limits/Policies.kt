package io.greengageport.limits

import io.greengageport.common.OrganisationName
import io.greengageport.common.RankName

/**
 * Settings of one rank of requests, as configured by the operators.
 *
 * ```
 * val urgent = RankPolicy(RankName("urgent"), priority = 0, firstTokenTargetMillis = 340)
 * val lowest = RankPolicy(RankName("lowest"), priority = 2, floorShare = 0.1)
 * val settings = QueueSettings(listOf(urgent, lowest))
 * ```
 */
public data class RankPolicy(
    val name: RankName,
    /** Scheduling priority; smaller numbers are served first. */
    val priority: Int,
    /** Minimum share of the capacity, from 0 to 1, while the rank has queued requests. */
    val floorShare: Double = 0.0,
    /** Target for the 95th percentile of the time from dispatch to the first token. */
    val firstTokenTargetMillis: Long = 340,
    /** Share of the slots, above 0 and up to 1, for this and the more urgent ranks together. */
    val maxSlotShare: Double = 1.0
) {
    init {
        require(floorShare in 0.0..1.0) {
            "the floor share of '$name' must be from 0 to 1, but is $floorShare"
        }
        require(maxSlotShare > 0 && maxSlotShare <= 1) {
            "the maximum slot share of '$name' must be above 0 and at most 1, but is $maxSlotShare"
        }
        require(firstTokenTargetMillis > 0) { "the first-token target of '$name' must be positive" }
    }
}

/** Fair-queueing weight and fleet-wide limits of an organisation; null means unlimited. */
public data class OrganisationPolicy(
    val weight: Double = 1.0,
    val tokensPerSecond: Double? = null,
    val maxConcurrentRequests: Int? = null
) {
    init {
        require(weight > 0 && weight.isFinite()) {
            "the weight must be positive and finite, but is $weight"
        }
        require(tokensPerSecond == null || tokensPerSecond > 0) {
            "the token limit must be positive, but is $tokensPerSecond"
        }
        require(maxConcurrentRequests == null || maxConcurrentRequests > 0) {
            "the concurrency limit must be positive, but is $maxConcurrentRequests"
        }
    }
}

/**
 * Settings of one queue. The floor shares of [ranks] add up to at most 1.
 *
 * [maxLength] bounds the number of queued requests, [maxQueuedTokens] their estimated work.
 * Organisations that are not in [weights] have weight 1.
 */
public data class QueueSettings(
    val ranks: List<RankPolicy>,
    val maxLength: Int = 10_000,
    val maxQueuedTokens: Long = 10_000_000,
    val weights: Map<OrganisationName, Double> = emptyMap()
) {
    init {
        require(ranks.isNotEmpty()) { "a queue must have at least one rank" }
        require(ranks.distinctBy { it.name }.size == ranks.size) { "rank names must be unique" }
        require(ranks.sumOf { it.floorShare } <= 1 + FLOOR_TOLERANCE) {
            "the floor shares add up to more than 1"
        }
        require(maxLength > 0 && maxQueuedTokens > 0) { "the bounds of a queue must be positive" }
    }

    internal fun weightOf(organisation: OrganisationName): Double = weights[organisation] ?: 1.0

    private companion object {
        /** Tolerance for rounding errors in the sum of decimal shares. */
        const val FLOOR_TOLERANCE = 1e-9
    }
}
