package io.greengageport.routing

import io.greengageport.common.Clock
import io.greengageport.common.LayerRange
import io.greengageport.common.RunnerId

/**
 * Assigns the layers of models to runners with few moves, which are damped by hysteresis.
 *
 * Needs are met in this order: layers without a holder, layers with too few copies, layers held in
 * one data centre only, further versions, supply below demand with headroom, too many copies, wrong
 * versions, wrong adapters. A move for supply is made only if the shortfall that it removes exceeds
 * the one that it causes by the hysteresis. The last serving holder of a layer is never moved. A
 * runner that its model needs for the minimum number of copies is moved only if a layer has no
 * holder at all. Equal input gives equal orders, so the next holder of the placement lease sends
 * the same ones.
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
    /** Returns the desired assignment and the orders to send now, pending orders included. */
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
    private val copies = HashMap<Supply, ModelCopies>()

    /** Models whose default version needs the runners reserved for further versions. */
    private val withoutReserve = HashSet<Supply>()

    fun run(): PlacementPlan {
        runners.forEach(::addRunner)
        // Uncovered layers of all models come first, before any layer gets a second holder.
        for (supply in supplies.values) coverGaps(supply)
        for (supply in supplies.values) ensureMinCopies(supply)
        for (supply in supplies.values) spreadOverCentres(supply)
        for (supply in supplies.values) loadFurtherVersions(supply)
        balance()
        for (supply in supplies.values) retireSurplus(supply)
        updateVersions()
        return PlacementPlan(desired, orders, obstacles.toList())
    }

    private fun addRunner(runner: PlaceableRunner) {
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

    /** Assigns the layers that no runner holds. */
    private fun coverGaps(supply: Supply) {
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
            val candidate = candidates(supply) { fittingRange(gap, it, model) }.firstOrNull()
            if (candidate == null) {
                obstacles += PlacementObstacle.NoCapacity(model.service, gap)
                layer = until
            } else if (!tryOrder(candidate, PlacementReason.UncoveredLayers(gap))) {
                return
            } else {
                layer = candidate.layers.until
            }
        }
    }

    private fun copiesOf(supply: Supply) = copies.getOrPut(supply) {
        ModelCopies(supply.model, desired, shouldReserve = supply !in withoutReserve)
    }

    /** Whether the model of [runner] has enough copies without it. */
    private fun isSpare(runner: PlaceableRunner): Boolean {
        val held = desired[runner.id] ?: return true
        val supply = supplyOf(held) ?: return true
        val all = copiesOf(supply)
        return runner.id !in all.reserved && all.hasMoreThan(supply.model.minCopies, held)
    }

    /** Raises the default version to its minimum number of copies. */
    private fun ensureMinCopies(supply: Supply) {
        val model = supply.model
        var layer = 0
        while (layer < model.layers) {
            fun isShort(l: Int) = copiesOf(supply).count(l) < model.minCopies
            if (!isShort(layer)) {
                layer++
                continue
            }
            var until = layer + 1
            while (until < model.layers && isShort(until)) until++
            val gap = LayerRange(layer, until)
            val candidate = candidates(supply) { preferredRange(gap, it, model) }
                .firstOrNull { isSpare(it.runner) }
            if (candidate != null) {
                val reason = PlacementReason.TooFewCopies(gap, model.minCopies)
                if (!tryOrder(candidate, reason)) return
            } else if (copiesOf(supply).reserved.isNotEmpty()) {
                withoutReserve += supply
                copies -= supply
            } else {
                obstacles += PlacementObstacle.NoCapacity(model.service, gap)
                layer = until
            }
        }
    }

    /** Loads each further version for which the spare runners form a complete chain. */
    private fun loadFurtherVersions(supply: Supply) {
        val model = supply.model
        for (version in model.furtherVersions) {
            if (supply in withoutReserve) {
                val all = LayerRange(0, model.layers)
                obstacles += PlacementObstacle.NoCapacity(model.service, all)
                return
            }
            val gaps = copiesOf(supply).gaps.getValue(version)
            val chain = findChain(supply, gaps, version)
            if (chain == null) {
                obstacles += PlacementObstacle.NoCapacity(model.service, gaps.first())
                continue
            }
            for (c in chain) {
                // The previous order may have made this runner the last holder of its layers.
                val held = desired[c.runner.id]
                if (!c.isIdle && held != null && !supply.canLose(held)) return
                if (!tryOrder(c, PlacementReason.MissingVersion(version))) return
            }
        }
    }

    /** Spare runners that together fill all [gaps] of [version]; null if there are too few. */
    private fun findChain(
        supply: Supply,
        gaps: List<LayerRange>,
        version: String
    ): List<Candidate>? {
        val remaining = ModelCopies(supply.model, desired, shouldReserve = true)
        val chosen = LinkedHashMap<RunnerId, Candidate>()
        for (gap in gaps) {
            var layer = gap.from
            while (layer < gap.until) {
                val rest = LayerRange(layer, gap.until)
                val next = runners
                    .filter { it.id !in moved && it.id !in chosen && it.id !in remaining.reserved }
                    .mapNotNull { conversion(supply, it, rest, remaining, version) }
                    .minWithOrNull(
                        compareByDescending<Candidate> { it.isIdle }
                            .thenBy { desired[it.runner.id]?.version == supply.model.version }
                            .thenByDescending { it.layers.until }
                    ) ?: return null
                if (!next.isIdle) remaining.remove(desired.getValue(next.runner.id))
                chosen[next.runner.id] = next
                layer = next.layers.until
            }
        }
        return chosen.values.toList()
    }

    /** A move of [runner] to [version] that covers the start of [rest]; null if not spare. */
    private fun conversion(
        supply: Supply,
        runner: PlaceableRunner,
        rest: LayerRange,
        remaining: ModelCopies,
        version: String
    ): Candidate? {
        val model = supply.model
        val held = desired[runner.id]
        if (held == null || supplyOf(held) == null) {
            val layers = fittingRange(rest, runner, model) ?: return null
            return Candidate(runner, model, layers, 0.0, isIdle = true, version = version)
        }
        val covers = rest.from in held.layers.from until held.layers.until
        val canConvert =
            covers && supplyOf(held) === supply && remaining.hasMoreThan(model.minCopies, held) &&
                supply.canLose(held)
        if (!canConvert) return null
        return Candidate(runner, model, held.layers, 0.0, isIdle = false, version = version)
    }

    /** Sets runners above the maximum number of copies to standby; they keep their weights. */
    private fun retireSurplus(supply: Supply) {
        val model = supply.model
        while (true) {
            val surplus = runners.filter { it.id !in moved && it.id !in copiesOf(supply).reserved }
                .filter { r -> desired[r.id]?.let { isSurplus(supply, it) } == true }
                .minWithOrNull(
                    compareBy<PlaceableRunner> { desired[it.id]?.version == model.version }
                        .thenByDescending { keepsTwoCentres(it) }
                        .thenByDescending { it.id }
                ) ?: return
            val held = desired.getValue(surplus.id)
            val candidate = Candidate(
                surplus,
                model,
                held.layers,
                loss = 0.0,
                isIdle = false,
                role = RunnerRole.STANDBY,
                version = held.version
            )
            if (!tryOrder(candidate, PlacementReason.TooManyCopies(model.maxCopies))) return
        }
    }

    private fun keepsTwoCentres(runner: PlaceableRunner): Boolean {
        val held = desired[runner.id] ?: return true
        return supplyOf(held)?.keepsTwoCentres(runner, held.layers) ?: true
    }

    private fun isSurplus(supply: Supply, held: Assignment) = supplyOf(held) === supply &&
        copiesOf(supply).hasMoreThan(supply.model.maxCopies, held) && supply.canLose(held)

    /** Adds a holder in another data centre to layers held in one, if no supply is lost. */
    private fun spreadOverCentres(supply: Supply) {
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
            val candidate = candidates(supply) { fittingRange(gap, it, model) }
                .firstOrNull {
                    it.runner.dataCentre != only && it.loss <= 0.0 && isSpare(it.runner) &&
                        copiesOf(supply).canAddCopy(it.layers)
                }
            if (candidate == null) {
                obstacles += PlacementObstacle.NoCapacity(model.service, gap)
                layer = until
            } else if (!tryOrder(candidate, PlacementReason.OneDataCentre(gap, only))) {
                return
            } else {
                layer = candidate.layers.until
            }
        }
    }

    /** Moves runners to the model with the largest shortfall while the gain justifies it. */
    private fun balance() {
        val undersupplied = supplies.values.filter { it.shortfall() > 0 }.toMutableList()
        while (undersupplied.isNotEmpty()) {
            val supply = undersupplied.maxBy { it.shortfall() }
            val scarce = supply.scarcest()
            val best = scarce?.let { gap ->
                candidates(supply) { preferredRange(gap, it, supply.model) }
                    .filter { isSpare(it.runner) && copiesOf(supply).canAddCopy(it.layers) }
                    .filter { isWorthwhile(it, supply) }
                    .maxByOrNull { supply.gain(it.runner, it.layers) - it.loss }
            }
            if (best == null) {
                if (scarce != null) {
                    obstacles += PlacementObstacle.NoCapacity(supply.model.service, scarce)
                }
                undersupplied -= supply
            } else {
                val gain = supply.gain(best.runner, best.layers)
                if (!tryOrder(best, PlacementReason.Shortfall(best.layers, gain))) return
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

    /** Replaces outdated versions and adapters of runners, as far as the limits allow. */
    private fun updateVersions() {
        for (runner in runners) {
            if (runner.id in moved) continue
            val held = runner.settled ?: continue
            val supply = supplies[held.service] ?: continue
            val model = supply.model
            if (runner.id in copiesOf(supply).reserved) continue
            val reason = when {
                held.version != model.version -> PlacementReason.WrongVersion(held.version)
                held.adapters != model.adapters -> PlacementReason.WrongAdapters(held.adapters)
                else -> continue
            }
            val wanted = held.copy(version = model.version, adapters = model.adapters)
            if (held.version != model.version && !canUpdate(runner, held)) {
                obstacles += PlacementObstacle.LastHolder(runner.id)
                continue
            }
            val candidate = Candidate(runner, model, held.layers, 0.0, false, held.role)
            if (!tryOrder(candidate, reason)) return
        }
    }

    /**
     * Whether some version stays complete without [runner]. This can be a version other than the
     * held and the default one: a roll-out that is superseded by a newer one leaves single runners
     * of several versions.
     */
    private fun canUpdate(runner: PlaceableRunner, held: Assignment): Boolean {
        val others = runners.filter { it.id != runner.id && it.pending == null }
            .mapNotNull { desired[it.id].takeIf { _ -> it.id !in moved } }
            .filter { it.service == held.service && it.role == RunnerRole.SERVING }
        fun covered(layers: Iterable<Int>, version: String) = layers.all { l ->
            others.any { it.version == version && l in it.layers.from until it.layers.until }
        }
        val all = 0 until checkNotNull(supplies[held.service]).model.layers
        val own = held.layers.from until held.layers.until
        return covered(own, held.version) ||
            others.map { it.version }.distinct().any { covered(all, it) }
    }

    /** Possible moves to the layers that [range] selects for a runner, the cheapest first. */
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
        if (!donor.keepsTwoCentres(runner, held.layers)) return@mapNotNull null
        Candidate(runner, supply.model, layers, donor.loss(runner, held.layers), isIdle = false)
    }.sortedWith(
        compareByDescending<Candidate> { it.isIdle }.thenBy { it.loss }
            .thenByDescending { it.runner.tokensPerSecond(it.layers) }
            .thenByDescending { it.runner.current?.layers == it.layers }
    )

    /** The largest start of [gap] that fits into the memory of [runner]; null if none does. */
    private fun fittingRange(
        gap: LayerRange,
        runner: PlaceableRunner,
        model: ModelDemand
    ): LayerRange? {
        val fits = (runner.memoryBytes / model.bytesPerLayer).coerceAtMost(gap.size.toLong())
        return if (fits <= 0) null else LayerRange(gap.from, gap.from + fits.toInt())
    }

    /** The largest range in use that covers the start of [gap], to avoid sub-ranges in chains. */
    private fun preferredRange(
        gap: LayerRange,
        runner: PlaceableRunner,
        model: ModelDemand
    ): LayerRange? {
        val fits = runner.memoryBytes / model.bytesPerLayer
        val used = rangesInUse.getValue(model.service)
            .filter { gap.from in it.from until it.until && it.size <= fits }
        return used.maxByOrNull { it.size } ?: fittingRange(gap, runner, model)
    }

    private val rangesInUse by lazy {
        models.associate { model ->
            model.service to desired.values.filter { it.service == model.service }
                .map { it.layers }.filter { it.until <= model.layers }.distinct()
        }
    }

    /** Adds the order unless a limit is reached; returns whether it was added. */
    private fun tryOrder(candidate: Candidate, reason: PlacementReason): Boolean {
        val runner = candidate.runner
        val model = candidate.model
        val target = Assignment(
            model.service,
            candidate.layers,
            candidate.version,
            candidate.role,
            model.adapters
        )
        val bytes = loadBytes(runner, target)
        if (!isWithinLimits(bytes)) return false
        desired[runner.id]?.let { held ->
            supplyOf(held)?.add(runner, held.layers, sign = -1)
            supplyOf(held)?.addServing(held, sign = -1)
        }
        supplyOf(target)?.add(runner, target.layers)
        desired[runner.id] = target
        copies.clear()
        moved += runner.id
        loadingBytes += bytes
        orders += EngineOrder(runner.id, target, reason, bytes)
        return true
    }

    private fun isWithinLimits(bytes: Long): Boolean {
        if (moved.size >= rules.maxConcurrentMoves) {
            obstacles += PlacementObstacle.MovesExhausted(moved.size)
            return false
        }
        val seconds = rules.maxLoadMillis / MILLIS_PER_SECOND
        // One load is always allowed, as a layer range above the limit would otherwise never load.
        if (loadingBytes > 0 && loadingBytes + bytes > rules.weightBytesPerSecond * seconds) {
            obstacles += PlacementObstacle.WeightStoreBusy(loadingBytes)
            return false
        }
        return true
    }

    /** Bytes to load from the weight store; layers that the runner already holds are free. */
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

    /** A possible move of [runner] to [layers], which raises the shortfall elsewhere by [loss]. */
    private class Candidate(
        val runner: PlaceableRunner,
        val model: ModelDemand,
        val layers: LayerRange,
        val loss: Double,
        val isIdle: Boolean,
        val role: RunnerRole = RunnerRole.SERVING,
        val version: String = model.version
    )
}
