package io.greengageport.routing

import io.greengageport.common.LayerRange
import io.greengageport.common.RunnerId

/**
 * Determines which runners of a model are reserved for further versions, and counts the copies of
 * each layer that the other runners provide for the default version.
 *
 * Each further version needs one complete chain, whose runners are reserved. All other runners that
 * serve the model hold the default version or will be switched to it. If [shouldReserve] is false,
 * nothing is reserved, because the default version lacks copies.
 */
internal class ModelCopies(
    private val model: ModelDemand,
    desired: Map<RunnerId, Assignment>,
    shouldReserve: Boolean
) {
    private val serving =
        desired.filter { (_, a) -> a.service == model.service && a.role == RunnerRole.SERVING }

    /** The layers that no runner holds, by further version. */
    val gaps: Map<String, List<LayerRange>>

    /** Runners reserved for further versions. */
    val reserved: Set<RunnerId>

    private val counts = IntArray(model.layers)

    init {
        val chains =
            if (shouldReserve) model.furtherVersions.associateWith(::findChain) else emptyMap()
        reserved = chains.values.flatMap { it.first }.toSet()
        gaps = chains.mapValues { it.value.second }
        for ((id, a) in serving) if (id !in reserved) for (l in layersOf(a)) counts[l]++
    }

    /** Number of runners that hold [layer] for the default version. */
    fun count(layer: Int): Int = counts[layer]

    /** Whether each layer of [held] has more than [copies] copies. */
    fun hasMoreThan(copies: Int, held: Assignment): Boolean =
        layersOf(held).all { counts[it] > copies }

    /** Whether one more copy of [layers] stays within the maximum number of copies. */
    fun canAddCopy(layers: LayerRange): Boolean =
        (layers.from until minOf(layers.until, model.layers)).all { counts[it] < model.maxCopies }

    /** Subtracts the copies that [held] provides. */
    fun remove(held: Assignment): Unit = layersOf(held).forEach { counts[it]-- }

    private fun layersOf(a: Assignment) = a.layers.from until minOf(a.layers.until, model.layers)

    /** Returns the fewest holders of [version] that cover its layers, and the gaps. */
    private fun findChain(version: String): Pair<List<RunnerId>, List<LayerRange>> {
        val holders = serving.filterValues { it.version == version }
        val chosen = ArrayList<RunnerId>()
        val gaps = ArrayList<LayerRange>()
        var layer = 0
        while (layer < model.layers) {
            val next = holders.entries.filter { layer in layersOf(it.value) }
                .maxByOrNull { it.value.layers.until }
            if (next != null) {
                chosen += next.key
                layer = next.value.layers.until
            } else {
                val until = holders.values.map { it.layers.from }.filter { it > layer }
                    .minOrNull() ?: model.layers
                gaps += LayerRange(layer, minOf(until, model.layers))
                layer = until
            }
        }
        return chosen to gaps
    }
}
