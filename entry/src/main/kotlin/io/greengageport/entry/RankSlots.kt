package io.greengageport.entry

import io.greengageport.settings.RankSettings

/**
 * Computes the slots of a service from the time between tokens that its ranks allow.
 *
 * By Little's law, `bound * gap` concurrent streams saturate a fleet that computes `bound` tokens
 * per second, if the tokens of a stream may be `gap` apart. Slots for the gap of the most urgent
 * rank alone leave engines idle whenever the streams are unevenly distributed. A less urgent rank
 * allows a longer gap, so its requests may fill more slots; engines serve urgent streams first.
 */
internal class RankSlots(private val ranks: List<RankSettings>) {
    private val mostUrgentGapMillis =
        (ranks.minByOrNull { it.priority }?.betweenTokensMillis ?: DEFAULT_GAP_MILLIS).toDouble()

    /** The time between tokens, in milliseconds, from which the number of slots is computed. */
    val largestGapMillis: Double = ranks.maxOfOrNull(::gapMillis) ?: mostUrgentGapMillis

    /** The share of the slots that [rank] and the more urgent ranks may fill together. */
    fun shareOf(rank: RankSettings): Double = gapMillis(rank) / largestGapMillis

    private fun gapMillis(rank: RankSettings) = rank.betweenTokensMillis.toDouble()
        .coerceIn(MIN_GAP_FACTOR * mostUrgentGapMillis, MAX_GAP_FACTOR * mostUrgentGapMillis)

    private companion object {
        const val DEFAULT_GAP_MILLIS = 57

        /** Engines serve urgent streams first, so a quarter more of them costs little latency. */
        const val MIN_GAP_FACTOR = 1.25

        /** With more streams, the lowest ranks would wait at the engines, not in the queue. */
        const val MAX_GAP_FACTOR = 3.0
    }
}
