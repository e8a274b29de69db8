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

    /** It is one more empty engine than are kept, and relieves the layers with the least room. */
    FILL,

    /** It was kept empty and takes the layers of a lost engine. */
    REPLACE,

    /** It takes layers of a lost engine beside its own, as no empty engine is left for them. */
    EXTEND,

    /** It takes its part of a broken copy that no neighbour of the gap has room to complete. */
    REDIVIDE
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
 * Some engines of each data centre stay empty. When one that serves is lost, an empty one loads its
 * layers within a second or two, and the lost one is kept empty when it comes back. Layers for
 * which no empty engine is left go to their neighbours, as far as these have room. An engine that
 * gives up layers takes no new requests until all that pass through it have ended, so a copy is
 * divided anew only where its neighbours are full: it is of no use by itself then, and chains that
 * cross to another data centre for the missing layers fill the pipe.
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
            for (group in heldByCentre()) for (copy in copies(group)) repair(copy)
            buildCopies()
            for (group in heldByCentre()) fillSurplus(group)
            return assignments
        }

        private fun heldByCentre(): Collection<List<CardHolder>> =
            held.groupBy { it.dataCentre }.toSortedMap(compareBy { it.value }).values

        private fun buildCopies() {
            val byCentre = empty.groupBy { it.dataCentre }.toSortedMap(compareBy { it.value })
            val rest = ArrayList<CardHolder>()
            for ((centre, group) in byCentre) {
                val hasCopies = held.any { it.dataCentre == centre }
                val members = group - kept(group).toSet()
                val copies = copiesOf(members)
                if (copies == 0 && !hasCopies) rest += group
                for (part in deal(members, copies)) buildCopy(part)
            }
            // Data centre by data centre, as each change within a chain is a transfer.
            if (roomOf(rest) >= minTokens && rest.size <= MAX_CHAIN) buildCopy(rest)
        }

        /** The engines of [group] to keep empty: of the largest kind of which there are several. */
        private fun kept(group: List<CardHolder>): List<CardHolder> {
            val count = keptOf(group.size)
            if (count == 0) return emptyList()
            return group.groupBy { it.card }.filterValues { it.size >= COMMON_KIND }
                .maxByOrNull { it.key.memoryMegabytes }?.value?.takeLast(count).orEmpty()
        }

        private fun keptOf(engines: Int): Int =
            if (engines < MIN_FOR_KEPT) 0 else maxOf(1, engines / ENGINES_PER_KEPT)

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
            for ((m, layers) in division(members)) {
                assign(m, layers, AssignmentReason.NEW_COPY)
                empty.remove(m)
            }
        }

        /** Divides all layers among [members] in their order, with the same room on each card. */
        private fun division(members: List<CardHolder>): List<Pair<CardHolder, LayerRange>> {
            val room = roomOf(members)
            val widths = members.map { profile.layersWithRoom(it.card, room) }.toIntArray()
            // Rounding leaves some layers too many; they come off the cards with the least room.
            while (widths.sum() > profile.layers) {
                val i = widths.indices.filter { widths[it] > 1 }
                    .minBy { profile.tokenRoom(members[it].card, widths[it]) }
                widths[i]--
            }
            var from = 0
            return members.indices.filter { widths[it] > 0 }.map { i ->
                val range = LayerRange(from, from + widths[i])
                from = range.until
                members[i] to range
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

        /** Gives layers to empty engines of a data centre beyond those that are kept. */
        private fun fillSurplus(group: List<CardHolder>) {
            val centre = group.first().dataCentre
            val own = empty.filter { it.dataCentre == centre }
            val surplus = own.size - keptOf(group.size + own.size)
            // The smallest are used, since the larger ones can replace any engine.
            for (h in own.sortedBy { it.card.memoryMegabytes }.take(maxOf(0, surplus))) fill(h)
        }

        /** Gives [holder] the range of layers that has the least room. */
        private fun fill(holder: CardHolder) {
            val width = profile.layersWithRoom(holder.card, FILL_ROOM_FACTOR * minTokens)
                .coerceAtLeast(1)
            val room = DoubleArray(profile.layers)
            for (h in held.filter { it.dataCentre == holder.dataCentre }) {
                val layers = h.layers ?: continue
                val tokens = profile.tokenRoom(h.card, layers.size)
                for (l in layers.from until minOf(layers.until, profile.layers)) room[l] += tokens
            }
            val start = (0..profile.layers - width).maxBy { s ->
                (s until s + width).sumOf { 1 / (room[it] + minTokens * MIN_SHARE) }
            }
            assign(holder, LayerRange(start, start + width), AssignmentReason.FILL)
            empty.remove(holder)
        }

        /** Finds engines for the layers that [copy] lacks. */
        private fun repair(copy: List<CardHolder>) {
            var members = copy
            while (true) {
                val covered = covered(members)
                val gap = covered.indexOfFirst { !it }
                if (gap < 0) return
                val end = (gap until profile.layers).firstOrNull { covered[it] } ?: profile.layers
                val next = replace(members.first(), gap, end) ?: extend(members, gap, end)
                    ?: return redivide(members)
                members = members.filter { it.id != next.id } + next
            }
        }

        /** Divides all layers among [members] in the order in which they hold layers now. */
        private fun redivide(members: List<CardHolder>) {
            val sorted = members.sortedWith(compareBy({ it.layers?.from ?: 0 }, { it.id }))
            if (roomOf(sorted) < minTokens * MIN_SHARE) return
            for ((m, layers) in division(sorted)) {
                if (m.layers != layers) assign(m, layers, AssignmentReason.REDIVIDE)
            }
        }

        /** Lets an empty engine take the layers from [gap] to [end], or as many as it can. */
        private fun replace(member: CardHolder, gap: Int, end: Int): CardHolder? {
            val candidates = empty.filter { it.dataCentre == member.dataCentre }
            val wanted = end - gap
            fun most(h: CardHolder) = profile.layersWithRoom(h.card, minTokens * MIN_SHARE)
            val best = candidates.filter { most(it) >= wanted }
                .minByOrNull { it.card.memoryMegabytes }
                ?: candidates.maxByOrNull(::most) ?: return null
            val width = minOf(wanted, most(best))
            if (width <= 0) return null
            empty.remove(best)
            val layers = LayerRange(gap, gap + width)
            assign(best, layers, AssignmentReason.REPLACE)
            return best.copy(layers = layers)
        }

        private fun extend(members: List<CardHolder>, gap: Int, end: Int): CardHolder? {
            val (h, layers) = members.mapNotNull { extension(it, gap, end) }
                .maxByOrNull { (h, layers) -> profile.tokenRoom(h.card, layers.size) }
                ?: return null
            assign(h, layers, AssignmentReason.EXTEND)
            return h.copy(layers = layers)
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

        /** Splits the engines of a data centre into copies, whole or with gaps. */
        private fun copies(group: List<CardHolder>): List<List<CardHolder>> {
            val copies = ArrayList<MutableList<CardHolder>>()
            val sorted = group.sortedWith(compareBy({ it.layers?.from ?: 0 }, { it.id }))
            for (h in sorted) {
                val from = h.layers?.from ?: continue
                val copy = copies.filter { end(it) <= from }.maxByOrNull(::end)
                if (copy == null) copies += mutableListOf(h) else copy += h
            }
            // What relieves parts of a copy fills gaps of it as well.
            val whole = copies.filter { coveredBy(it) >= profile.layers * COPY_SHARE }
            val rest = (copies - whole.toSet()).flatten()
            return whole.map { copy ->
                val covered = covered(copy)
                copy + rest.filter { h -> closes(h, covered) }
            }
        }

        private fun end(copy: List<CardHolder>): Int = copy.last().layers?.until ?: 0

        private fun covered(copy: List<CardHolder>): BooleanArray {
            val covered = BooleanArray(profile.layers)
            for (h in copy) {
                h.layers?.let { r ->
                    for (l in r.from until minOf(r.until, profile.layers)) covered[l] = true
                }
            }
            return covered
        }

        private fun coveredBy(copy: List<CardHolder>): Int = covered(copy).count { it }

        private fun closes(h: CardHolder, covered: BooleanArray): Boolean {
            val r = h.layers ?: return false
            return (r.from until minOf(r.until, profile.layers)).any { !covered[it] }
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
        /**
         * More stages leave more memory, but each adds a hop to every token and can fail, and the
         * first stage of a copy takes a limited number of requests.
         */
        public const val DEFAULT_MAX_STAGES: Int = 12

        /** A chain of more stages is refused by engines. */
        private const val MAX_CHAIN = 32

        /** Tokens; more room than any card has. */
        private const val MAX_ROOM = 1e8
        private const val BISECTIONS = 40

        /** Room of an engine that comes back, as a multiple of the least room. */
        private const val FILL_ROOM_FACTOR = 2.0

        /** A stage with less than this part of the least room holds up its whole copy. */
        private const val MIN_SHARE = 0.3

        /** A data centre that holds this part of a copy is worth completing. */
        private const val COPY_SHARE = 0.65

        /** Layers that one neighbour takes alone. */
        private const val SMALL_GAP = 3

        /** Smaller groups of engines can't spare one. */
        private const val MIN_FOR_KEPT = 6

        /** One engine in so many is kept empty. */
        private const val ENGINES_PER_KEPT = 12

        /** Engines of which there are so many count as a kind that is likely to fail. */
        private const val COMMON_KIND = 3
    }
}
