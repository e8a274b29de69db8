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

    /** It holds nothing, and these layers have the fewest holders. */
    FILL,

    /** Its layers have holders to spare, and other layers have hardly any. */
    MOVE
}

/**
 * Decides which engine holds which layers, copy by copy of the whole model.
 *
 * Prompts are sent from stage to stage, and transfers between data centres share one pipe. So a
 * copy is built within one data centre where its engines suffice, the fastest first, and otherwise
 * over as few as possible. Each card holds only as many layers as leave room for [tokenRoom] tokens
 * of requests. Engines left over double the layers with the fewest holders. An engine that holds
 * something keeps it, unless other layers have at least two holders fewer.
 *
 * Pure; equal input gives equal output, so another instance that takes over goes on with the same
 * plan.
 */
public class CopyPlacement(private val profile: EngineProfile, private val tokenRoom: Double) {
    /** The orders that [holders] need now, at most [maxMoves] of them for engines that serve. */
    public fun plan(holders: List<CardHolder>, maxMoves: Int = 1): List<LayerAssignment> =
        Run(holders.sortedBy { it.id }).plan(maxMoves)

    private fun width(card: Card): Int = profile.layersWithRoom(card, tokenRoom)

    private inner class Run(holders: List<CardHolder>) {
        private val held = holders.filter { it.layers != null }
        private val empty = holders.filter { it.layers == null && width(it.card) > 0 }
            .toMutableList()
        private val coverage = IntArray(profile.layers)
        private val assignments = ArrayList<LayerAssignment>()

        init {
            for (h in held) h.layers?.let { count(it, 1) }
        }

        fun plan(maxMoves: Int): List<LayerAssignment> {
            buildCopies()
            for (h in empty) assign(h, thinnest(width(h.card)), AssignmentReason.FILL)
            if (empty.isEmpty()) repeat(maxMoves) { move() }
            return assignments
        }

        private fun buildCopies() {
            while (true) {
                val byCentre = empty.groupBy { it.dataCentre }
                    .toSortedMap(compareBy { it.value })
                    .values.sortedByDescending { group -> group.sumOf { width(it.card) } }
                val single = byCentre.filter { group ->
                    group.sumOf { width(it.card) } >= profile.layers
                }.minByOrNull { group -> group.size }
                val members = single ?: byCentre.flatten()
                if (members.sumOf { width(it.card) } < profile.layers) return
                buildCopy(members, isOneCentre = single != null)
            }
        }

        /** Gives layers to [members] from the first layer to the last. */
        private fun buildCopy(members: List<CardHolder>, isOneCentre: Boolean) {
            // Across data centres the order of the groups matters: each change is a transfer.
            val ordered = if (isOneCentre) {
                members.sortedWith(compareBy({ it.card.stepFactor }, { it.id }))
            } else {
                members
            }
            var from = 0
            for (m in ordered) {
                if (from >= profile.layers) break
                val until = minOf(profile.layers, from + width(m.card))
                assign(m, LayerRange(from, until), AssignmentReason.NEW_COPY)
                empty.remove(m)
                from = until
            }
        }

        private fun assign(h: CardHolder, layers: LayerRange, reason: AssignmentReason) {
            count(layers, 1)
            assignments += LayerAssignment(h.id, layers, reason)
        }

        private fun count(layers: LayerRange, sign: Int) {
            for (l in layers.from until minOf(layers.until, profile.layers)) coverage[l] += sign
        }

        /** The range of [width] layers with the fewest holders; the first of equal ones. */
        private fun thinnest(width: Int): LayerRange {
            var sum = 0.0
            fun weight(l: Int) = 1.0 / (1 + coverage[l] * coverage[l])
            for (l in 0 until width) sum += weight(l)
            var best = sum
            var start = 0
            for (s in 1..profile.layers - width) {
                sum += weight(s + width - 1) - weight(s - 1)
                if (sum > best + TOLERANCE) {
                    best = sum
                    start = s
                }
            }
            return LayerRange(start, start + width)
        }

        /** Moves the engine whose layers have the most holders to those with the fewest. */
        private fun move() {
            val fewest = coverage.min()
            val moved = assignments.mapTo(HashSet()) { it.id }
            val spare = held.filter { it.id !in moved && width(it.card) > 0 }
                .map { it to (holdersOf(it) - 1) }
                .filter { it.second > fewest }
                .maxWithOrNull(compareBy({ it.second }, { it.first.card.stepFactor })) ?: return
            val engine = spare.first
            engine.layers?.let { count(it, -1) }
            val target = thinnest(width(engine.card))
            if ((target.from until target.until).none { coverage[it] == fewest }) {
                engine.layers?.let { count(it, 1) }
                return
            }
            assign(engine, target, AssignmentReason.MOVE)
        }

        /** Holders of that layer of [h] which has the fewest. */
        private fun holdersOf(h: CardHolder): Int {
            val layers = h.layers ?: return 0
            return (layers.from until minOf(layers.until, profile.layers)).minOf { coverage[it] }
        }
    }

    private companion object {
        /** Keeps rounding from deciding between equal ranges. */
        const val TOLERANCE = 1e-9
    }
}
