package io.greengageport.bench

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Throughput in the seconds in which the demand of the callers exceeds the fleet's bound.
 *
 * Only these seconds show how much of the fleet the router can use. Below the bound, the rate of
 * answers equals the rate of requests.
 */
@Serializable
internal data class OverloadedThroughput(
    val seconds: Int,
    @SerialName("tokens_per_second") val tokensPerSecond: Double
)

/** Computes the answer tokens per second that caller groups request, from their set rates. */
internal class Demand(private val groups: List<CallerGroup>, private val seconds: Int) {
    /** Tokens per second that the groups request at the start of [second]. */
    fun tokensPerSecond(second: Int): Double = groups.filter { it.kind == CallKind.COMPLETION }
        .sumOf { Arrivals.rateAt(it, second.toDouble()) * it.tokens }

    /**
     * Returns the seconds in which the demand exceeds [bound], in tokens per second.
     *
     * The first [FILL_SECONDS] of each overloaded period are left out.
     */
    fun secondsAbove(bound: Double): List<Int> {
        val above = (0 until seconds).filter { bound > 0 && tokensPerSecond(it) > bound }.toSet()
        return above.filter { s -> (1..FILL_SECONDS).all { s - it in above } }
    }

    private companion object {
        /** Batches and queues of the fleet are still filling up in this time. */
        const val FILL_SECONDS = 2
    }
}
