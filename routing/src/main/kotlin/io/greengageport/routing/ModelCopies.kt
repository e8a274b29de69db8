package io.greengageport.routing

import io.greengageport.common.LayerRange
import io.greengageport.common.RunnerId

/**
 * Which runners of one model keep a further version loaded, and how many copies of each layer the
 * others make up for the default version.
 *
 * A further version needs one whole chain. Its runners are reserved: all others that serve the
 * model hold the default version or are going to. If [keepsFurther] is false nothing is reserved,
 * as the default version lacks copies.
 */
internal class ModelCopies(
    private val model: ModelDemand,
    desired: Map<RunnerId, Assignment>,
    keepsFurther: Boolean
) {
    private val serving =
        desired.filter { (_, a) -> a.service == model.service && a.role == RunnerRole.SERVING }

    /** The layers that no runner holds in a further version. */
    val gaps: Map<String, List<LayerRange>>

    /** Runners that keep further versions loaded. */
    val reserved: Set<RunnerId>

    private val counts = IntArray(model.layers)

    init {
        val chains = if (keepsFurther) model.furtherVersions.associateWith(::chain) else emptyMap()
        reserved = chains.values.flatMap { it.first }.toSet()
        gaps = chains.mapValues { it.value.second }
        for ((id, a) in serving) if (id !in reserved) for (l in layersOf(a)) counts[l]++
    }

    /** Runners that hold [layer] for the default version. */
    fun count(layer: Int): Int = counts[layer]

    /** Whether all layers of [held] have more than [copies] copies. */
    fun areMoreThan(copies: Int, held: Assignment): Boolean =
        layersOf(held).all { counts[it] > copies }

    /** Whether a further copy of [layers] exceeds no maximum. */
    fun mayGrow(layers: LayerRange): Boolean =
        (layers.from until minOf(layers.until, model.layers)).all { counts[it] < model.maxCopies }

    /** The same without the copies that [held] makes up. */
    fun remove(held: Assignment): Unit = layersOf(held).forEach { counts[it]-- }

    private fun layersOf(a: Assignment) = a.layers.from until minOf(a.layers.until, model.layers)

    /** Of the holders of [version] the fewest that cover its layers, and the gaps. */
    private fun chain(version: String): Pair<List<RunnerId>, List<LayerRange>> {
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
