package io.greengageport.routing

import io.greengageport.common.ServiceName

/**
 * Computes how many requests of a model fit into the memory and the slots of its engines at a time.
 *
 * Chains stay within a data centre if possible, so the capacity of each data centre is computed
 * separately, as that of the layer with the least capacity. Data centres without a complete copy
 * are combined, because chains that cross data centres use their engines together.
 */
public class ModelCapacity(private val fleet: Fleet) {
    /** Number of concurrent requests of typical length; 0 if some layer has no engine. */
    public fun requests(service: ServiceName, profile: EngineProfile): Double {
        val runners = fleet.service(service).runners
        val tokensPerRequest =
            (profile.typicalPromptTokens + profile.typicalAnswerTokens).coerceAtLeast(1)
        fun requestCapacity(group: List<Runner>) = minOf(
            minLayerCapacity(group, profile) / tokensPerRequest,
            firstStageCount(group) * profile.slots.toDouble()
        )
        val (complete, incomplete) = runners.groupBy { it.dataCentre }.values
            .partition { minLayerCapacity(it, profile) > 0 }
        return complete.sumOf(::requestCapacity) + requestCapacity(incomplete.flatten())
    }

    /** Number of runners that can receive requests, which are those with the first layer. */
    private fun firstStageCount(runners: List<Runner>): Int = runners.count { it.layers?.from == 0 }

    /** Capacity of [runners] in tokens, for the layer with the least capacity. */
    private fun minLayerCapacity(runners: List<Runner>, profile: EngineProfile): Double {
        val capacity = DoubleArray(profile.layers)
        for (r in runners) {
            val layers = r.layers ?: continue
            val accelerator = r.accelerator ?: continue
            val tokens = profile.tokenCapacity(accelerator, layers.size)
            for (l in layers.from until minOf(layers.until, profile.layers)) capacity[l] += tokens
        }
        return capacity.min()
    }
}
