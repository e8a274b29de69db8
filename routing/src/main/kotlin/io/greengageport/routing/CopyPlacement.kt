package io.greengageport.routing

import io.greengageport.common.DataCentre
import io.greengageport.common.LayerRange
import io.greengageport.common.RunnerId

/** An engine that may hold layers; [layers] is what it holds or was last ordered to hold. */
public data class CardHolder(
    val id: RunnerId,
    val dataCentre: DataCentre,
    val card: Card,
    val layers: LayerRange? = null
)

/** An order to hold [layers] and nothing else. */
public data class LayerAssignment(
    val id: RunnerId,
    val layers: LayerRange,
    val reason: AssignmentReason
)

/** Why an engine is given layers. */
public enum class AssignmentReason {
    /** It becomes part of a new copy of the model. */
    NEW_COPY,

    /** It holds nothing and takes over the layers with the least room for requests. */
    FILL,

    /** It holds the neighbouring layers and takes those of a lost engine besides. */
    EXTEND
}

/**
 * Decides which engine holds which layers, copy by copy of the whole model.
 *
 * Prompts are sent from stage to stage, and transfers between data centres share one pipe. So each
 * data centre gets copies of its own, of all its engines: the weights of a copy are loaded once,
 * and the fewer copies there are, the more memory is left for requests. Within a copy each card
 * holds as many layers as leave it the same room for tokens as the others. A data centre with more
 * than [maxStages] engines a copy gets more copies; those that can't hold a copy with room for
 * [minTokens] share one with others.
 *
 * When an engine is lost, its neighbours in the copy take its layers besides their own; an engine
 * that comes back empty relieves the layers with the least room. Nothing else is moved, since each
 * load takes time and stops work.
 *
 * Pure; equal input gives equal output, so another instance that takes over goes on with the same
 * plan.
 */
public class CopyPlacement(
    private val profile: EngineProfile,
    private val minTokens: Double,
    private val maxStages: Int = DEFAULT_MAX_STAGES
) {
    /** The orders that [holders] need now. */
    public fun plan(holders: List<CardHolder>): List<LayerAssignment> =
        Run(holders.sortedBy { it.id }).plan()

    private inner class Run(holders: List<CardHolder>) {
        private val held = holders.filter { it.layers != null }.toMutableList()
        private val empty = holders.filter { it.layers == null && fits(it.card, 1) }.toMutableList()
        private val assignments = ArrayList<LayerAssignment>()

        fun plan(): List<LayerAssignment> {
            buildCopies()
            while (empty.isNotEmpty() && fill(empty.removeFirst())) Unit
            closeGaps()
            return assignments
        }

        private fun buildCopies() {
            val byCentre = empty.groupBy { it.dataCentre }.toSortedMap(compareBy { it.value })
            val rest = ArrayList<CardHolder>()
            for (group in byCentre.values) {
                val copies = copiesOf(group)
                if (copies == 0) rest += group
                for (members in deal(group, copies)) buildCopy(members)
            }
            // Data centre by data centre, as each change within a chain is a transfer.
            if (roomOf(rest) >= minTokens && rest.size <= MAX_CHAIN) buildCopy(rest)
        }

        /** Copies for which [group] has room, 0 if not even for one. */
        private fun copiesOf(group: List<CardHolder>): Int {
            val wanted = (group.size + maxStages - 1) / maxStages
            return (wanted downTo 1).firstOrNull { n ->
                deal(group, n).all { roomOf(it) >= minTokens && it.size <= MAX_CHAIN }
            } ?: 0
        }

        /** Divides [group] into [copies] parts of about the same memory. */
        private fun deal(group: List<CardHolder>, copies: Int): List<List<CardHolder>> {
            if (copies == 0) return emptyList()
            val parts = List(copies) { ArrayList<CardHolder>() }
            val sorted = group.sortedWith(
                compareByDescending<CardHolder> { it.card.memoryMegabytes }.thenBy { it.id }
            )
            for (h in sorted) parts.minBy { p -> p.sumOf { it.card.memoryMegabytes } } += h
            return parts
        }

        private fun buildCopy(members: List<CardHolder>) {
            val room = roomOf(members)
            val widths = members.map { profile.layersWithRoom(it.card, room) }.toIntArray()
            // Rounding leaves some layers too many; they come off the cards with the least room.
            while (widths.sum() > profile.layers) {
                val i = widths.indices.filter { widths[it] > 1 }
                    .minBy { profile.tokenRoom(members[it].card, widths[it]) }
                widths[i]--
            }
            var from = 0
            for ((i, m) in members.withIndex()) {
                if (widths[i] == 0) continue
                assign(m, LayerRange(from, from + widths[i]), AssignmentReason.NEW_COPY)
                empty.remove(m)
                from += widths[i]
            }
        }

        /** The most tokens for which each of [members] has room if they share one copy. */
        private fun roomOf(members: List<CardHolder>): Double {
            var low = 0.0
            var high = MAX_ROOM
            fun holdsAll(tokens: Double) =
                members.sumOf { profile.layersWithRoom(it.card, tokens) } >= profile.layers
            if (!holdsAll(low)) return -1.0
            repeat(BISECTIONS) {
                val middle = (low + high) / 2
                if (holdsAll(middle)) low = middle else high = middle
            }
            return low
        }

        /** Gives [holder] the range of layers that has the least room; false if none fits. */
        private fun fill(holder: CardHolder): Boolean {
            val width = profile.layersWithRoom(holder.card, FILL_ROOM_FACTOR * minTokens)
                .coerceAtLeast(1)
            val room = DoubleArray(profile.layers)
            for (h in held) {
                val layers = h.layers ?: continue
                val tokens = profile.tokenRoom(h.card, layers.size)
                // Engines of the same data centre count whole: a chain need not leave it.
                val weight = if (h.dataCentre == holder.dataCentre) 1.0 else REMOTE_WEIGHT
                for (l in layers.from until minOf(layers.until, profile.layers)) {
                    room[l] += tokens * weight
                }
            }
            val start = (0..profile.layers - width).maxBy { s ->
                (s until s + width).sumOf { 1 / (room[it] + minTokens * MIN_SHARE) }
            }
            assign(holder, LayerRange(start, start + width), AssignmentReason.FILL)
            return true
        }

        /** Extends the neighbours of layers that no engine of a data centre's copies holds. */
        private fun closeGaps() {
            for (group in held.groupBy { it.dataCentre }.toSortedMap(compareBy { it.value }).values) {
                if (group.sumOf { it.layers?.size ?: 0 } < profile.layers * COPY_SHARE) continue
                while (closeGap(group.map { h -> held.first { it.id == h.id } })) Unit
            }
        }

        private fun closeGap(group: List<CardHolder>): Boolean {
            val covered = BooleanArray(profile.layers)
            for (h in group) h.layers?.let { r ->
                for (l in r.from until minOf(r.until, profile.layers)) covered[l] = true
            }
            val gap = covered.indexOfFirst { !it }
            if (gap < 0) return false
            val end = (gap until profile.layers).firstOrNull { covered[it] } ?: profile.layers
            val best = group.mapNotNull { extension(it, gap, end) }
                .maxByOrNull { (h, layers) -> profile.tokenRoom(h.card, layers.size) }
                ?: return false
            assign(best.first, best.second, AssignmentReason.EXTEND)
            return true
        }

        /**
         * [h] with one half of the gap besides, all of it if it is small, or as much as it has room
         * for; null if it is no neighbour or full.
         */
        private fun extension(h: CardHolder, gap: Int, end: Int): Pair<CardHolder, LayerRange>? {
            val layers = h.layers ?: return null
            val wanted = if (end - gap <= SMALL_GAP) end - gap else (end - gap + 1) / 2
            val most = profile.layersWithRoom(h.card, minTokens * MIN_SHARE) - layers.size
            val part = minOf(wanted, most)
            return when {
                part <= 0 -> null
                layers.until == gap -> h to LayerRange(layers.from, gap + part)
                layers.from == end -> h to LayerRange(end - part, layers.until)
                else -> null
            }
        }

        private fun fits(card: Card, layers: Int) =
            profile.tokenRoom(card, layers) >= minTokens * MIN_SHARE

        private fun assign(h: CardHolder, layers: LayerRange, reason: AssignmentReason) {
            assignments.removeAll { it.id == h.id }
            assignments += LayerAssignment(h.id, layers, reason)
            held.removeAll { it.id == h.id }
            held += h.copy(layers = layers)
        }
    }

    public companion object {
        /** More stages leave more memory, but each adds a hop and can fail. */
        public const val DEFAULT_MAX_STAGES: Int = 20

        /** A chain of more stages is refused by engines. */
        private const val MAX_CHAIN = 32

        /** Tokens; more room than any card has. */
        private const val MAX_ROOM = 1e8
        private const val BISECTIONS = 40

        /** Room of an engine that comes back, as a multiple of the least room. */
        private const val FILL_ROOM_FACTOR = 2.0

        /** A stage with less than this part of the least room holds up its whole copy. */
        private const val MIN_SHARE = 0.3

        /** How much an engine of another data centre relieves those of this one. */
        private const val REMOTE_WEIGHT = 0.1

        /** A data centre that holds this part of a copy is worth completing. */
        private const val COPY_SHARE = 0.6

        /** Layers that one neighbour takes alone. */
        private const val SMALL_GAP = 3
    }
}
