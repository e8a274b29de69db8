package io.greengageport.routing

import io.greengageport.common.DataCentre
import io.greengageport.common.LayerRange

/**
 * Supply of one model per layer, kept up to date as placement adds and removes holders.
 *
 * [holders] counts runners that serve the layer now or will by a pending order; [serving] counts
 * only those that serve now, per version, which is what the last-holder rule protects: a chain uses
 * one version only, so a holder of another version is no replacement.
 */
internal class Supply(
    val model: ModelDemand,
    private val rules: PlacementRules,
    private val centres: List<DataCentre>
) {
    private val rates = DoubleArray(model.layers)
    private val holders = IntArray(model.layers)
    private val serving = HashMap<String, IntArray>()
    private val perCentre = Array(centres.size) { IntArray(model.layers) }

    fun add(runner: PlaceableRunner, layers: LayerRange, sign: Int = 1) {
        val rate = runner.tokensPerSecond(layers) * sign
        val centre = centres.indexOf(runner.dataCentre)
        for (l in layers.from until minOf(layers.until, model.layers)) {
            rates[l] += rate
            holders[l] += sign
            perCentre[centre][l] += sign
        }
    }

    fun addServing(held: Assignment, sign: Int = 1) {
        val counts = serving.getOrPut(held.version) { IntArray(model.layers) }
        for (l in held.layers.from until minOf(held.layers.until, model.layers)) counts[l] += sign
    }

    /** Whether all layers of [held] keep a serving holder of its version without it. */
    fun canLose(held: Assignment): Boolean {
        val counts = serving[held.version] ?: return true
        return (held.layers.from until minOf(held.layers.until, model.layers))
            .all { counts[it] > 1 }
    }

    /** Whether all [layers] stay in two data centres, where they are now, without [runner]. */
    fun keepsCentres(runner: PlaceableRunner, layers: LayerRange): Boolean {
        val centre = centres.indexOf(runner.dataCentre)
        return (layers.from until minOf(layers.until, model.layers)).all { l ->
            perCentre[centre][l] > 1 || perCentre.count { it[l] > 0 } > 2
        }
    }

    fun isHeld(layer: Int): Boolean = holders[layer] > 0

    fun isHeldIn(layer: Int, centre: DataCentre): Boolean =
        perCentre[centres.indexOf(centre)][layer] > 0

    /** The only data centre that holds [layer], or null if none or several do. */
    fun onlyCentre(layer: Int): DataCentre? =
        centres.indices.singleOrNull { perCentre[it][layer] > 0 }?.let { centres[it] }

    /** Layers whose supply is least, as one run of layers; null if demand is met with headroom. */
    fun scarcest(): LayerRange? {
        val least = rates.indices.minBy { rates[it] }
        if (rates[least] >= wanted()) return null
        val limit = rates[least] + wanted() * SAME_SUPPLY
        var until = least + 1
        while (until < model.layers && rates[until] <= limit) until++
        return LayerRange(least, until)
    }

    /** Mean share of the wanted supply that the layers lack: 0 (demand met) to 1. */
    fun shortfall(): Double = lack(0, model.layers) { 0.0 }

    /** How much the shortfall falls if [runner] takes [layers]. */
    fun gain(runner: PlaceableRunner, layers: LayerRange): Double {
        val rate = runner.tokensPerSecond(layers)
        return lack(layers.from, layers.until) { 0.0 } - lack(layers.from, layers.until) { rate }
    }

    /** How much the shortfall rises if [runner] gives up [layers]. */
    fun loss(runner: PlaceableRunner, layers: LayerRange): Double {
        val until = minOf(layers.until, model.layers)
        val rate = runner.tokensPerSecond(layers)
        return lack(layers.from, until) { -rate } - lack(layers.from, until) { 0.0 }
    }

    private inline fun lack(from: Int, until: Int, change: () -> Double): Double {
        val wanted = wanted()
        if (wanted <= 0) return 0.0
        var sum = 0.0
        for (l in from until until) sum += maxOf(0.0, 1 - (rates[l] + change()) / wanted)
        return sum / model.layers
    }

    private fun wanted() = model.tokensPerSecond * rules.headroom

    private companion object {
        /** Share of the wanted supply within which layers count as equally scarce. */
        const val SAME_SUPPLY = 0.05
    }
}
