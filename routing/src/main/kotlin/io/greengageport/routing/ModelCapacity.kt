package io.greengageport.routing

import io.greengageport.common.ServiceName

/**
 * How many requests of a model fit into the memory and the slots of its engines at a time.
 *
 * Chains stay within a data centre while they can, so each data centre counts by itself: by the
 * layer for which its engines have least room together. The engines of data centres that hold no
 * whole copy count together, as chains that cross use them.
 */
public class ModelCapacity(private val fleet: Fleet) {
    /** Requests of usual length that fit at a time; 0 if some layer has no engine. */
    public fun requests(service: ServiceName, profile: EngineProfile): Double {
        val runners = fleet.service(service).runners
        val usual = (profile.usualPromptTokens + profile.usualAnswerTokens).coerceAtLeast(1)
        fun capacity(group: List<Runner>) =
            minOf(tokens(group, profile) / usual, firstStages(group) * profile.slots.toDouble())
        val (whole, broken) = runners.groupBy { it.dataCentre }.values
            .partition { tokens(it, profile) > 0 }
        return whole.sumOf(::capacity) + capacity(broken.flatten())
    }

    /** Runners that may receive requests: those that hold the first layer. */
    private fun firstStages(runners: List<Runner>): Int = runners.count { it.layers?.from == 0 }

    /** Tokens for which [runners] have room in the layer where it is least. */
    private fun tokens(runners: List<Runner>, profile: EngineProfile): Double {
        val room = DoubleArray(profile.layers)
        for (r in runners) {
            val layers = r.layers ?: continue
            val card = r.card ?: continue
            val tokens = profile.tokenRoom(card, layers.size)
            for (l in layers.from until minOf(layers.until, profile.layers)) room[l] += tokens
        }
        return room.min()
    }
}
