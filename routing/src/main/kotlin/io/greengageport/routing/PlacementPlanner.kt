package io.greengageport.routing

import io.greengageport.common.Clock
import io.greengageport.common.LayerRange
import io.greengageport.common.RunnerId

/**
 * Decides which runner holds which layers of which model, by few and damped moves.
 *
 * Needs are met in this order: layers without a holder, layers held in one data centre only,
 * supply below demand with headroom, wrong versions, wrong adapters. Each order has to be worth it:
 * the shortfall that it removes exceeds the one it causes by the hysteresis. The last serving
 * holder of a layer is never moved. Orders of equal input are equal, so the next holder of the
 * placement lease sends the same ones.
 *
 * ```
 * val plan = PlacementPlanner(clock).plan(models, runners)
 * plan.orders.forEach { send(it, fencing) }
 * ```
 */
public class PlacementPlanner(
    private val clock: Clock,
    private val rules: PlacementRules = PlacementRules()
) {
    /** The desired assignment and the orders to give now; orders under way are repeated. */
    public fun plan(models: List<ModelDemand>, runners: List<PlaceableRunner>): PlacementPlan =
        PlacementRun(models, runners, rules, clock.monotonicMillis()).run()
}

private class PlacementRun(
    private val models: List<ModelDemand>,
    runners: List<PlaceableRunner>,
    private val rules: PlacementRules,
    private val nowMillis: Long
) {
    private val runners = runners.sortedBy { it.id }
    private val centres = this.runners.map { it.dataCentre }.distinct()
    private val supplies = models.associate { it.service to Supply(it, rules, centres) }
    private val desired = LinkedHashMap<RunnerId, Assignment>()
    private val orders = ArrayList<EngineOrder>()
    private val obstacles = LinkedHashSet<PlacementObstacle>()
    private val moved = HashSet<RunnerId>()
    private var loadingBytes = 0L

    fun run(): PlacementPlan {
        runners.forEach(::takeIn)
        // Repair comes first for all models, before any model gets more than one holder.
        for (supply in supplies.values) repair(supply)
        for (supply in supplies.values) spread(supply)
        balance()
        renew()
        return PlacementPlan(desired, orders, obstacles.toList())
    }

    private fun takeIn(runner: PlaceableRunner) {
        val settled = runner.settled ?: return
        desired[runner.id] = settled
        supplyOf(settled)?.add(runner, settled.layers)
        val pending = runner.pending
        if (pending == null) {
            supplyOf(settled)?.addServing(settled)
        } else {
            moved += runner.id
            val bytes = loadBytes(runner, pending)
            loadingBytes += bytes
            orders += EngineOrder(runner.id, pending, PlacementReason.Pending, bytes)
        }
    }

    private fun supplyOf(assignment: Assignment): Supply? =
        if (assignment.role == RunnerRole.SERVING) supplies[assignment.service] else null

    private fun repair(supply: Supply) {
        val model = supply.model
        var layer = 0
        while (layer < model.layers) {
            if (supply.isHeld(layer)) {
                layer++
                continue
            }
            var until = layer + 1
            while (until < model.layers && !supply.isHeld(until)) until++
            val gap = LayerRange(layer, until)
            val candidate = candidates(supply) { from(gap, it, model) }.firstOrNull()
            if (candidate == null) {
                obstacles += PlacementObstacle.NoCapacity(model.service, gap)
                layer = until
            } else if (!order(candidate, PlacementReason.UncoveredLayers(gap))) {
                return
            } else {
                layer = candidate.layers.until
            }
        }
    }

    /** Gives layers of one data centre a holder in another, if that costs no shortfall. */
    private fun spread(supply: Supply) {
        if (centres.size < 2) return
        val model = supply.model
        var layer = 0
        while (layer < model.layers) {
            val only = supply.onlyCentre(layer)
            if (only == null) {
                layer++
                continue
            }
            var until = layer + 1
            while (until < model.layers && supply.onlyCentre(until) == only) until++
            val gap = LayerRange(layer, until)
            val candidate = candidates(supply) { from(gap, it, model) }
                .firstOrNull { it.runner.dataCentre != only && it.loss <= 0.0 }
            if (candidate == null) {
                obstacles += PlacementObstacle.NoCapacity(model.service, gap)
                layer = until
            } else if (!order(candidate, PlacementReason.OneDataCentre(gap, only))) {
                return
            } else {
                layer = candidate.layers.until
            }
        }
    }

    /** Moves runners to the model with the largest shortfall while that is worth it. */
    private fun balance() {
        val open = supplies.values.filter { it.shortfall() > 0 }.toMutableList()
        while (open.isNotEmpty()) {
            val supply = open.maxBy { it.shortfall() }
            val scarce = supply.scarcest()
            val best = scarce?.let { gap ->
                candidates(supply) { range(gap, it, supply.model) }
                    .filter { isWorthwhile(it, supply) }
                    .maxByOrNull { supply.gain(it.runner, it.layers) - it.loss }
            }
            if (best == null) {
                if (scarce != null) {
                    obstacles += PlacementObstacle.NoCapacity(supply.model.service, scarce)
                }
                open -= supply
            } else {
                val gain = supply.gain(best.runner, best.layers)
                if (!order(best, PlacementReason.Shortfall(best.layers, gain))) return
            }
        }
    }

    private fun isWorthwhile(candidate: Candidate, supply: Supply): Boolean {
        val gain = supply.gain(candidate.runner, candidate.layers)
        val enough = gain - candidate.loss >= rules.minGain &&
            gain > candidate.loss * (1 + rules.hysteresis)
        return enough && (candidate.isIdle || hasSettled(candidate.runner))
    }

    private fun hasSettled(runner: PlaceableRunner): Boolean {
        val since = runner.assignedAtMillis ?: return true
        return nowMillis - since >= rules.minResidenceMillis
    }

    /** Replaces wrong versions and adapters, one runner after the other. */
    private fun renew() {
        for (runner in runners) {
            if (runner.id in moved) continue
            val held = runner.settled ?: continue
            val model = supplies[held.service]?.model ?: continue
            val reason = when {
                held.version != model.version -> PlacementReason.WrongVersion(held.version)
                held.adapters != model.adapters -> PlacementReason.WrongAdapters(held.adapters)
                else -> continue
            }
            val wanted = held.copy(version = model.version, adapters = model.adapters)
            if (held.version != model.version && !canRenew(runner, held, wanted)) {
                obstacles += PlacementObstacle.LastHolder(runner.id)
                continue
            }
            val candidate = Candidate(runner, model, held.layers, 0.0, false, held.role)
            if (!order(candidate, reason)) return
        }
    }

    /** The old version stays complete until the new one is. */
    private fun canRenew(runner: PlaceableRunner, held: Assignment, wanted: Assignment): Boolean {
        val others = runners.filter { it.id != runner.id && it.pending == null }
            .mapNotNull { desired[it.id].takeIf { _ -> it.id !in moved } }
            .filter { it.service == held.service && it.role == RunnerRole.SERVING }
        fun covered(layers: Iterable<Int>, version: String) = layers.all { l ->
            others.any { it.version == version && l in it.layers.from until it.layers.until }
        }
        val all = 0 until checkNotNull(supplies[held.service]).model.layers
        val own = held.layers.from until held.layers.until
        return covered(own, held.version) || covered(all, wanted.version)
    }

    /** Runners that could take a range, the one whose move costs least first. */
    private fun candidates(
        supply: Supply,
        range: (PlaceableRunner) -> LayerRange?
    ): List<Candidate> = runners.mapNotNull { runner ->
        if (runner.id in moved) return@mapNotNull null
        val layers = range(runner) ?: return@mapNotNull null
        val held = desired[runner.id]
        val donor = held?.let(::supplyOf)
            ?: return@mapNotNull Candidate(runner, supply.model, layers, 0.0, isIdle = true)
        if (donor === supply && held.layers == layers) return@mapNotNull null
        if (!donor.canLose(held)) return@mapNotNull null
        if (!donor.keepsCentres(runner, held.layers)) return@mapNotNull null
        Candidate(runner, supply.model, layers, donor.loss(runner, held.layers), isIdle = false)
    }.sortedWith(
        compareByDescending<Candidate> { it.isIdle }.thenBy { it.loss }
            .thenByDescending { it.runner.tokensPerSecond(it.layers) }
    )

    /** As much of [gap] from its start as fits into the runner's memory. */
    private fun from(gap: LayerRange, runner: PlaceableRunner, model: ModelDemand): LayerRange? {
        val fits = (runner.memoryBytes / model.bytesPerLayer).coerceAtMost(gap.size.toLong())
        return if (fits <= 0) null else LayerRange(gap.from, gap.from + fits.toInt())
    }

    /** A range that is in use and starts in the scarce layers, for chains without sub-ranges. */
    private fun range(gap: LayerRange, runner: PlaceableRunner, model: ModelDemand): LayerRange? {
        val fits = runner.memoryBytes / model.bytesPerLayer
        val used = rangesInUse.getValue(model.service)
            .filter { gap.from in it.from until it.until && it.size <= fits }
        return used.maxByOrNull { it.size } ?: from(gap, runner, model)
    }

    private val rangesInUse by lazy {
        models.associate { model ->
            model.service to desired.values.filter { it.service == model.service }
                .map { it.layers }.filter { it.until <= model.layers }.distinct()
        }
    }

    /** Gives the order unless a limit is reached; returns whether it was given. */
    private fun order(candidate: Candidate, reason: PlacementReason): Boolean {
        val runner = candidate.runner
        val model = candidate.model
        val wanted = Assignment(
            model.service,
            candidate.layers,
            model.version,
            candidate.role,
            model.adapters
        )
        val bytes = loadBytes(runner, wanted)
        if (!withinLimits(bytes)) return false
        desired[runner.id]?.let { held ->
            supplyOf(held)?.add(runner, held.layers, sign = -1)
            supplyOf(held)?.addServing(held, sign = -1)
        }
        supplyOf(wanted)?.add(runner, wanted.layers)
        desired[runner.id] = wanted
        moved += runner.id
        loadingBytes += bytes
        orders += EngineOrder(runner.id, wanted, reason, bytes)
        return true
    }

    private fun withinLimits(bytes: Long): Boolean {
        if (moved.size >= rules.maxConcurrentMoves) {
            obstacles += PlacementObstacle.MovesExhausted(moved.size)
            return false
        }
        val seconds = rules.maxLoadMillis / MILLIS_PER_SECOND
        // One load is always allowed, or a model larger than the limit would never be loaded.
        if (loadingBytes > 0 && loadingBytes + bytes > rules.weightBytesPerSecond * seconds) {
            obstacles += PlacementObstacle.WeightStoreBusy(loadingBytes)
            return false
        }
        return true
    }

    /** Bytes to load from the weight store: none for layers that the runner holds already. */
    private fun loadBytes(runner: PlaceableRunner, wanted: Assignment): Long {
        val bytesPerLayer = supplies[wanted.service]?.model?.bytesPerLayer ?: return 0
        val held = runner.current?.takeIf {
            it.service == wanted.service && it.version == wanted.version
        }
        val kept = held?.layers?.let {
            minOf(it.until, wanted.layers.until) - maxOf(it.from, wanted.layers.from)
        } ?: 0
        return (wanted.layers.size - maxOf(0, kept)) * bytesPerLayer
    }

    /** A possible move: [runner] gives up what it holds, at a [loss] there, for [layers]. */
    private class Candidate(
        val runner: PlaceableRunner,
        val model: ModelDemand,
        val layers: LayerRange,
        val loss: Double,
        val isIdle: Boolean,
        val role: RunnerRole = RunnerRole.SERVING
    )
}
