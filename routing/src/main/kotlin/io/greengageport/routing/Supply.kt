package io.greengageport.routing

import io.greengageport.common.DataCentre
import io.greengageport.common.LayerRange

/**
 * Tracks the supply of one model per layer while placement adds and removes holders.
 *
 * [holders] counts the runners that serve a layer now or will after a pending order. [serving]
 * counts only those that serve now, per version, and is used to protect the last holder of a layer:
 * a chain uses one version only, so a holder of another version is no replacement.
 */
internal class Supply(
    val model: ModelDemand,
    private val rules: PlacementRules,
    private val centres: List<DataCentre>
) {
    private val rates = DoubleArray(model.layers)
    private val holders = IntArray(model.layers)
    private val serving = HashMap<String, IntArray>()
    private val holdersByCentre = Array(centres.size) { IntArray(model.layers) }

    /** Adds [runner] as a holder of [layers], or removes it if [sign] is -1. */
    fun add(runner: PlaceableRunner, layers: LayerRange, sign: Int = 1) {
        val rate = runner.tokensPerSecond(layers) * sign
        val centre = centres.indexOf(runner.dataCentre)
        for (l in layers.from until minOf(layers.until, model.layers)) {
            rates[l] += rate
            holders[l] += sign
            holdersByCentre[centre][l] += sign
        }
    }

    /** Counts a runner that serves [held] now; [sign] is -1 if it stops. */
    fun addServing(held: Assignment, sign: Int = 1) {
        val counts = serving.getOrPut(held.version) { IntArray(model.layers) }
        for (l in held.layers.from until minOf(held.layers.until, model.layers)) counts[l] += sign
    }

    /** Whether each layer of [held] has another serving holder of the same version. */
    fun canLose(held: Assignment): Boolean {
        val counts = serving[held.version] ?: return true
        return (held.layers.from until minOf(held.layers.until, model.layers))
            .all { counts[it] > 1 }
    }

    /**
     * Whether each of [layers] is still held in at least two data centres, or in as many as now, if
     * [runner] gives them up.
     */
    fun keepsTwoCentres(runner: PlaceableRunner, layers: LayerRange): Boolean {
        val centre = centres.indexOf(runner.dataCentre)
        return (layers.from until minOf(layers.until, model.layers)).all { l ->
            holdersByCentre[centre][l] > 1 || holdersByCentre.count { it[l] > 0 } > 2
        }
    }

    fun isHeld(layer: Int): Boolean = holders[layer] > 0

    fun isHeldIn(layer: Int, centre: DataCentre): Boolean =
        holdersByCentre[centres.indexOf(centre)][layer] > 0

    /** Returns the only data centre that holds [layer]; null if none or several do. */
    fun onlyCentre(layer: Int): DataCentre? =
        centres.indices.singleOrNull { holdersByCentre[it][layer] > 0 }?.let { centres[it] }

    /** The first range of layers with the least supply; null if demand is met with headroom. */
    fun scarcest(): LayerRange? {
        val least = rates.indices.minBy { rates[it] }
        if (rates[least] >= targetSupply()) return null
        val limit = rates[least] + targetSupply() * SAME_SUPPLY_SHARE
        var until = least + 1
        while (until < model.layers && rates[until] <= limit) until++
        return LayerRange(least, until)
    }

    /** Mean share of the target supply that layers lack, from 0 (demand is met) to 1. */
    fun shortfall(): Double = shortfallIn(0, model.layers) { 0.0 }

    /** Decrease of the shortfall if [runner] takes [layers]. */
    fun gain(runner: PlaceableRunner, layers: LayerRange): Double {
        val rate = runner.tokensPerSecond(layers)
        return shortfallIn(layers.from, layers.until) { 0.0 } -
            shortfallIn(layers.from, layers.until) { rate }
    }

    /** Increase of the shortfall if [runner] gives up [layers]. */
    fun loss(runner: PlaceableRunner, layers: LayerRange): Double {
        val until = minOf(layers.until, model.layers)
        val rate = runner.tokensPerSecond(layers)
        return shortfallIn(layers.from, until) { -rate } - shortfallIn(layers.from, until) { 0.0 }
    }

    private inline fun shortfallIn(from: Int, until: Int, change: () -> Double): Double {
        val target = targetSupply()
        if (target <= 0) return 0.0
        var sum = 0.0
        for (l in from until until) sum += maxOf(0.0, 1 - (rates[l] + change()) / target)
        return sum / model.layers
    }

    private fun targetSupply() = model.tokensPerSecond * rules.headroom

    private companion object {
        /** Share of the target supply within which layers count as equally scarce. */
        const val SAME_SUPPLY_SHARE = 0.05
    }
}
