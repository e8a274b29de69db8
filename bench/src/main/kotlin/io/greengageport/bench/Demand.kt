package io.greengageport.bench

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * What was answered in the seconds in which the callers asked for more than the bound.
 *
 * Only such seconds tell how much of the fleet the router can use: below the bound, the rate of
 * the answers is that of the requests.
 */
@Serializable
internal data class OverloadedPart(
    val seconds: Int,
    @SerialName("tokens_per_second") val tokensPerSecond: Double
)

/** Answer tokens per second that the groups of an experiment ask for, by their stated rates. */
internal class Demand(private val groups: List<CallerGroup>, private val seconds: Int) {
    /** Tokens per second that are asked for at the start of [second]. */
    fun tokensPerSecond(second: Int): Double = groups.filter { it.kind == CallKind.COMPLETION }
        .sumOf { Arrivals.rate(it, second.toDouble()) * it.tokens }

    /** Seconds with more demand than [bound], each period without its first [FILL_SECONDS]. */
    fun secondsAbove(bound: Double): List<Int> {
        val above = (0 until seconds).filter { bound > 0 && tokensPerSecond(it) > bound }.toSet()
        return above.filter { s -> (1..FILL_SECONDS).all { s - it in above } }
    }

    private companion object {
        /** Until then the fleet is still filling up. */
        const val FILL_SECONDS = 2
    }
}
