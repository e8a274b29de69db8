package io.greengageport.routing

import io.greengageport.common.DataCentre
import io.greengageport.common.LayerRange
import io.greengageport.common.RunnerId

/** An engine that can hold layers; [layers] are those that it holds or was last ordered to hold. */
public data class PlaceableEngine(
    val id: RunnerId,
    val dataCentre: DataCentre,
    val accelerator: Accelerator,
    val layers: LayerRange? = null
)

/** An order to an engine to hold exactly [layers]. */
public data class LayerAssignment(
    val id: RunnerId,
    val layers: LayerRange,
    val reason: AssignmentReason
)

/** The reason for assigning layers to an engine. */
public enum class AssignmentReason {
    /** The engine becomes part of a new copy of the model. */
    NEW_COPY,

    /** The engine exceeds the spares to keep, and adds a replica where capacity is least. */
    FILL,

    /** The engine is a spare and takes the layers of a lost engine. */
    REPLACE,

    /** The engine takes layers of a lost engine in addition to its own, as no spare is left. */
    EXTEND,

    /** The engine is a spare and adds capacity where smaller engines replaced a lost one. */
    RELIEVE,

    /** Its copy is redivided, because no neighbour of a gap has the capacity to fill it. */
    REDIVIDE
}

/**
 * Assigns layers to engines such that each data centre holds complete copies of the model.
 *
 * Activations of a prompt are sent from stage to stage, and transfers between data centres share
 * one link. Each data centre therefore gets its own copies, built from all of its engines. The
 * weights of a copy are loaded once, so fewer copies leave more memory for requests. Within a copy,
 * layers are divided such that all accelerators have the same capacity for tokens. A data centre
 * with more than [maxStages] engines per copy gets more copies; data centres that cannot hold a
 * copy with a capacity of [minTokens] share one.
 *
 * Some engines of each data centre are kept as spares without layers. When a serving engine is
 * lost, a spare loads its layers within one or two seconds; the lost engine becomes a spare when it
 * returns. If no spare is left, the layers go to the neighbouring stages as far as these have
 * capacity. An engine that drops layers accepts no new requests until all requests that pass
 * through it have ended, so a copy is redivided only if the neighbours of a gap are full: the copy
 * is unusable by itself then, and chains that cross to another data centre for the missing layers
 * saturate the link.
 *
 * A spare may be much smaller than the engine that it replaces. Its copy then has memory for few
 * requests, and would refuse others for as long as the replaced engine, once it has returned, stays
 * a spare. So if the capacity of a data centre is below [MIN_SHARED_CAPACITY_SHARE] of what its
 * engines can share, a spare adds a replica of the layers that limit it.
 *
 * Planning is a pure function of its input, so an instance that takes over continues with the same
 * plan.
 */
public class CopyPlacement(
    private val profile: EngineProfile,
    private val minTokens: Double,
    private val maxStages: Int = DEFAULT_MAX_STAGES
) {
    /** Returns the assignments to order now; empty if [engines] need no change. */
    public fun plan(engines: List<PlaceableEngine>): List<LayerAssignment> =
        PlanBuilder(engines.sortedBy { it.id }).plan()

    private inner class PlanBuilder(engines: List<PlaceableEngine>) {
        private val held = engines.filter { it.layers != null }.toMutableList()
        private val unassigned =
            engines.filter { it.layers == null && hasCapacity(it.accelerator, 1) }.toMutableList()
        private val assignments = ArrayList<LayerAssignment>()

        fun plan(): List<LayerAssignment> {
            for (group in heldByDataCentre()) for (copy in groupIntoCopies(group)) repair(copy)
            buildCopies()
            for (group in heldByDataCentre()) fillSurplus(group)
            for (group in heldByDataCentre()) relieve(group)
            return assignments
        }

        private fun heldByDataCentre(): Collection<List<PlaceableEngine>> =
            held.groupBy { it.dataCentre }.toSortedMap(compareBy { it.value }).values

        private fun buildCopies() {
            val byDataCentre =
                unassigned.groupBy { it.dataCentre }.toSortedMap(compareBy { it.value })
            val rest = ArrayList<PlaceableEngine>()
            for ((centre, group) in byDataCentre) {
                val hasCopies = held.any { it.dataCentre == centre }
                val members = group - selectSpares(group).toSet()
                val copies = copyCount(members)
                if (copies == 0 && !hasCopies) rest += group
                for (part in splitByMemory(members, copies)) buildCopy(part)
            }
            // Grouped by data centre, because each change of data centre in a chain is a transfer.
            if (sharedCapacity(rest) >= minTokens && rest.size <= MAX_CHAIN_STAGES) buildCopy(rest)
        }

        /**
         * The engines of [group] to keep as spares: those with the largest of the common
         * accelerators.
         */
        private fun selectSpares(group: List<PlaceableEngine>): List<PlaceableEngine> {
            val count = spareCount(group.size)
            if (count == 0) return emptyList()
            return group.groupBy { it.accelerator }
                .filterValues { it.size >= MIN_COMMON_ACCELERATORS }
                .maxByOrNull { it.key.memoryMegabytes }?.value?.takeLast(count).orEmpty()
        }

        private fun spareCount(engines: Int): Int =
            if (engines < MIN_ENGINES_FOR_SPARE) 0 else maxOf(1, engines / ENGINES_PER_SPARE)

        /** Number of copies that [group] can hold; 0 if it cannot hold one. */
        private fun copyCount(group: List<PlaceableEngine>): Int {
            val wanted = (group.size + maxStages - 1) / maxStages
            return (wanted downTo 1).firstOrNull { n ->
                splitByMemory(group, n)
                    .all { sharedCapacity(it) >= minTokens && it.size <= MAX_CHAIN_STAGES }
            } ?: 0
        }

        /** Splits [group] into [copies] parts with about the same total memory. */
        private fun splitByMemory(
            group: List<PlaceableEngine>,
            copies: Int
        ): List<List<PlaceableEngine>> {
            if (copies == 0) return emptyList()
            val parts = List(copies) { ArrayList<PlaceableEngine>() }
            val sorted = group.sortedWith(
                compareByDescending<PlaceableEngine> { it.accelerator.memoryMegabytes }
                    .thenBy { it.id }
            )
            for (e in sorted) parts.minBy { p -> p.sumOf { it.accelerator.memoryMegabytes } } += e
            return parts
        }

        private fun buildCopy(members: List<PlaceableEngine>) {
            for ((m, layers) in divideLayers(members)) {
                assign(m, layers, AssignmentReason.NEW_COPY)
                unassigned.remove(m)
            }
        }

        /**
         * Divides all layers among [members] in this order, with equal capacity on each
         * accelerator.
         */
        private fun divideLayers(
            members: List<PlaceableEngine>
        ): List<Pair<PlaceableEngine, LayerRange>> {
            val capacity = sharedCapacity(members)
            val widths = members.map { profile.maxLayers(it.accelerator, capacity) }.toIntArray()
            // Rounding can assign too many layers; remove them from the accelerators with least
            // capacity.
            while (widths.sum() > profile.layers) {
                val i = widths.indices.filter { widths[it] > 1 }
                    .minBy { profile.tokenCapacity(members[it].accelerator, widths[it]) }
                widths[i]--
            }
            var from = 0
            return members.indices.filter { widths[it] > 0 }.map { i ->
                val range = LayerRange(from, from + widths[i])
                from = range.until
                members[i] to range
            }
        }

        /** The largest capacity in tokens that each of [members] can have if they share a copy. */
        private fun sharedCapacity(members: List<PlaceableEngine>): Double {
            var low = 0.0
            var high = MAX_CAPACITY_TOKENS
            fun canHoldAll(tokens: Double) =
                members.sumOf { profile.maxLayers(it.accelerator, tokens) } >= profile.layers
            if (!canHoldAll(low)) return -1.0
            repeat(BISECTIONS) {
                val middle = (low + high) / 2
                if (canHoldAll(middle)) low = middle else high = middle
            }
            return low
        }

        /** Assigns layers to the unassigned engines of a data centre that exceed its spares. */
        private fun fillSurplus(group: List<PlaceableEngine>) {
            val centre = group.first().dataCentre
            val own = unassigned.filter { it.dataCentre == centre }
            val surplus = own.size - spareCount(group.size + own.size)
            // Use the smallest first, since a larger one can replace any engine.
            for (e in own.sortedBy { it.accelerator.memoryMegabytes }.take(maxOf(0, surplus))) {
                fill(e)
            }
        }

        /** Assigns the range of layers with the least capacity to [engine]. */
        private fun fill(engine: PlaceableEngine) {
            val width = profile.maxLayers(engine.accelerator, FILL_CAPACITY_FACTOR * minTokens)
                .coerceAtLeast(1)
            val totals = layerCapacities(engine.dataCentre)
            val start = (0..profile.layers - width).maxBy { s ->
                (s until s + width).sumOf { 1 / (totals[it] + minTokens * MIN_CAPACITY_SHARE) }
            }
            assign(engine, LayerRange(start, start + width), AssignmentReason.FILL)
            unassigned.remove(engine)
        }

        /** The capacity in tokens of each layer in [centre]. */
        private fun layerCapacities(centre: DataCentre): DoubleArray {
            val totals = DoubleArray(profile.layers)
            for (holder in held.filter { it.dataCentre == centre }) {
                val layers = holder.layers ?: continue
                val tokens = profile.tokenCapacity(holder.accelerator, layers.size)
                for (l in layers.from until minOf(layers.until, profile.layers)) totals[l] += tokens
            }
            return totals
        }

        /**
         * Assigns the layers that limit the capacity of a data centre to one of its spares, if that
         * increases the capacity enough.
         */
        private fun relieve(group: List<PlaceableEngine>) {
            val centre = group.first().dataCentre
            val spares = unassigned.filter { it.dataCentre == centre }
            val totals = layerCapacities(centre)
            val capacity = totals.min()
            val copies = groupIntoCopies(group).size
            if (spares.isEmpty() || capacity <= 0 || copies == 0) return
            val shareable = splitByMemory(group + spares, copies).sumOf(::sharedCapacity)
            if (capacity >= MIN_SHARED_CAPACITY_SHARE * shareable) return
            val best = spares.flatMap { reliefOptions(it, totals) }.maxByOrNull { it.capacity }
            if (best == null || best.capacity < MIN_RELIEF_FACTOR * capacity) return
            assign(best.engine, best.layers, AssignmentReason.RELIEVE)
            unassigned.remove(best.engine)
        }

        /** For each width, the layers that give the most capacity if [engine] holds them. */
        private fun reliefOptions(engine: PlaceableEngine, totals: DoubleArray): List<Relief> =
            (1..profile.maxLayers(engine.accelerator, 0.0)).map { width ->
                val tokens = profile.tokenCapacity(engine.accelerator, width)
                (0..profile.layers - width).map { start ->
                    val layers = LayerRange(start, start + width)
                    Relief(engine, layers, capacityWith(totals, layers, tokens))
                }.maxBy { it.capacity }
            }

        /** The capacity of the least of [totals] if [layers] have [tokens] more. */
        private fun capacityWith(totals: DoubleArray, layers: LayerRange, tokens: Double): Double =
            totals.indices.minOf {
                totals[it] + if (it >= layers.from && it < layers.until) tokens else 0.0
            }

        /** Assigns the layers that are missing from [copy]. */
        private fun repair(copy: List<PlaceableEngine>) {
            var members = copy
            while (true) {
                val covered = coverageOf(members)
                val gap = covered.indexOfFirst { !it }
                if (gap < 0) return
                val end = (gap until profile.layers).firstOrNull { covered[it] } ?: profile.layers
                val next = replace(members.first(), gap, end) ?: extend(members, gap, end)
                    ?: return redivide(members)
                members = members.filter { it.id != next.id } + next
            }
        }

        /** Divides all layers among [members], in the order of the layers that they hold now. */
        private fun redivide(members: List<PlaceableEngine>) {
            val sorted = members.sortedWith(compareBy({ it.layers?.from ?: 0 }, { it.id }))
            if (sharedCapacity(sorted) < minTokens * MIN_CAPACITY_SHARE) return
            for ((m, layers) in divideLayers(sorted)) {
                if (m.layers != layers) assign(m, layers, AssignmentReason.REDIVIDE)
            }
        }

        /** Assigns the layers from [gap] to [end], or as many as fit, to an unassigned engine. */
        private fun replace(member: PlaceableEngine, gap: Int, end: Int): PlaceableEngine? {
            val candidates = unassigned.filter { it.dataCentre == member.dataCentre }
            val wanted = end - gap
            fun maxLayersOf(engine: PlaceableEngine) =
                profile.maxLayers(engine.accelerator, minTokens * MIN_CAPACITY_SHARE)
            val best = candidates.filter { maxLayersOf(it) >= wanted }
                .minByOrNull { it.accelerator.memoryMegabytes }
                ?: candidates.maxByOrNull(::maxLayersOf) ?: return null
            val width = minOf(wanted, maxLayersOf(best))
            if (width <= 0) return null
            unassigned.remove(best)
            val layers = LayerRange(gap, gap + width)
            assign(best, layers, AssignmentReason.REPLACE)
            return best.copy(layers = layers)
        }

        private fun extend(members: List<PlaceableEngine>, gap: Int, end: Int): PlaceableEngine? {
            val (engine, layers) = members.mapNotNull { extensionOf(it, gap, end) }
                .maxByOrNull { (e, layers) -> profile.tokenCapacity(e.accelerator, layers.size) }
                ?: return null
            assign(engine, layers, AssignmentReason.EXTEND)
            return engine.copy(layers = layers)
        }

        /**
         * Returns [engine] with its range extended by half of the gap, by all of a small gap, or by
         * as much as it has capacity for; null if [engine] is not adjacent to the gap or is full.
         */
        private fun extensionOf(
            engine: PlaceableEngine,
            gap: Int,
            end: Int
        ): Pair<PlaceableEngine, LayerRange>? {
            val layers = engine.layers ?: return null
            val wanted = if (end - gap <= SMALL_GAP_LAYERS) end - gap else (end - gap + 1) / 2
            val free =
                profile.maxLayers(engine.accelerator, minTokens * MIN_CAPACITY_SHARE) - layers.size
            val part = minOf(wanted, free)
            return when {
                part <= 0 -> null
                layers.until == gap -> engine to LayerRange(layers.from, gap + part)
                layers.from == end -> engine to LayerRange(end - part, layers.until)
                else -> null
            }
        }

        /** Groups the engines of a data centre into copies, complete or with gaps. */
        private fun groupIntoCopies(group: List<PlaceableEngine>): List<List<PlaceableEngine>> {
            val copies = ArrayList<MutableList<PlaceableEngine>>()
            val sorted = group.sortedWith(compareBy({ it.layers?.from ?: 0 }, { it.id }))
            for (engine in sorted) {
                val from = engine.layers?.from ?: continue
                val copy = copies.filter { endOf(it) <= from }.maxByOrNull(::endOf)
                if (copy == null) copies += mutableListOf(engine) else copy += engine
            }
            // Engines that hold additional replicas of some layers can also fill gaps of a copy.
            val nearlyComplete =
                copies.filter { coveredLayers(it) >= profile.layers * MIN_COPY_SHARE }
            val rest = (copies - nearlyComplete.toSet()).flatten()
            return nearlyComplete.map { copy ->
                val covered = coverageOf(copy)
                copy + rest.filter { engine -> fillsGap(engine, covered) }
            }
        }

        private fun endOf(copy: List<PlaceableEngine>): Int = copy.last().layers?.until ?: 0

        private fun coverageOf(copy: List<PlaceableEngine>): BooleanArray {
            val covered = BooleanArray(profile.layers)
            for (engine in copy) {
                engine.layers?.let { r ->
                    for (l in r.from until minOf(r.until, profile.layers)) covered[l] = true
                }
            }
            return covered
        }

        private fun coveredLayers(copy: List<PlaceableEngine>): Int = coverageOf(copy).count { it }

        private fun fillsGap(engine: PlaceableEngine, covered: BooleanArray): Boolean {
            val r = engine.layers ?: return false
            return (r.from until minOf(r.until, profile.layers)).any { !covered[it] }
        }

        private fun hasCapacity(accelerator: Accelerator, layers: Int) =
            profile.tokenCapacity(accelerator, layers) >= minTokens * MIN_CAPACITY_SHARE

        private fun assign(engine: PlaceableEngine, layers: LayerRange, reason: AssignmentReason) {
            assignments.removeAll { it.id == engine.id }
            assignments += LayerAssignment(engine.id, layers, reason)
            held.removeAll { it.id == engine.id }
            held += engine.copy(layers = layers)
        }
    }

    /** The [capacity] in tokens of a data centre if [engine] holds [layers] as well. */
    private class Relief(val engine: PlaceableEngine, val layers: LayerRange, val capacity: Double)

    public companion object {
        /**
         * More stages leave more memory for requests, but each stage adds a hop to every token and
         * can fail, and the first stage of a copy accepts a limited number of requests.
         */
        public const val DEFAULT_MAX_STAGES: Int = 12

        /** Engines refuse chains with more stages. */
        private const val MAX_CHAIN_STAGES = 32

        /** More tokens than any accelerator has capacity for. */
        private const val MAX_CAPACITY_TOKENS = 1e8
        private const val BISECTIONS = 40

        /** Capacity of a surplus engine when it is assigned, as a multiple of the minimum. */
        private const val FILL_CAPACITY_FACTOR = 2.0

        /** A stage with less than this share of the minimum capacity limits its whole copy. */
        private const val MIN_CAPACITY_SHARE = 0.3

        /**
         * Share of the capacity that the engines of a data centre can share, below which a spare is
         * used to increase it.
         */
        private const val MIN_SHARED_CAPACITY_SHARE = 0.5

        /** A smaller increase is not worth the last spare. */
        private const val MIN_RELIEF_FACTOR = 1.5

        /** Minimum share of the layers that a group must hold to be completed to a copy. */
        private const val MIN_COPY_SHARE = 0.65

        /** Size of a gap up to which one neighbour takes it alone. */
        private const val SMALL_GAP_LAYERS = 3

        /** Smaller groups keep no spare. */
        private const val MIN_ENGINES_FOR_SPARE = 6

        /** One of this many engines is kept as a spare. */
        private const val ENGINES_PER_SPARE = 12

        /**
         * Number of engines from which on their accelerator counts as common. One of them is then
         * likely to be lost, so spares have a common accelerator.
         */
        private const val MIN_COMMON_ACCELERATORS = 3
    }
}
