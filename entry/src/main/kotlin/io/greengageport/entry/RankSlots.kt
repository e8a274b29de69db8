package io.greengageport.entry

import io.greengageport.settings.RankSettings

/**
 * Sizes the slots of a service by the time between tokens that its ranks allow.
 *
 * By Little's law, `bound * gap` streams keep the fleet busy while tokens arrive with that gap.
 * Sized for the gap of the most urgent rank alone, the slots leave engines idle whenever the
 * streams are not spread evenly. A lower rank allows a longer gap, so its requests may fill more
 * slots; engines serve the more urgent streams first.
 */
internal class RankSlots(private val ranks: List<RankSettings>) {
    private val urgentGap =
        (ranks.minByOrNull { it.priority }?.betweenTokensMillis ?: DEFAULT_GAP_MILLIS).toDouble()

    /** The gap by which all slots are sized. */
    val largestGapMillis: Double = ranks.maxOfOrNull(::gapMillis) ?: urgentGap

    /** The part of the slots that [rank] may fill together with the more urgent ones. */
    fun shareOf(rank: RankSettings): Double = gapMillis(rank) / largestGapMillis

    private fun gapMillis(rank: RankSettings) = rank.betweenTokensMillis.toDouble()
        .coerceIn(URGENT_EXTRA * urgentGap, MOST_EXTRA * urgentGap)

    private companion object {
        const val DEFAULT_GAP_MILLIS = 57

        /** Urgent streams are the first at each engine, so that a few more do little harm. */
        const val URGENT_EXTRA = 1.25

        /** With more streams the lowest ranks wait at the engines instead of in the queue. */
        const val MOST_EXTRA = 3.0
    }
}
