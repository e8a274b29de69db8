package io.greengageport.routing

import kotlin.math.min

/**
 * Computes a maximum flow by Dinic's algorithm, with real-valued capacities.
 *
 * Edges are stored in pairs: edge `i xor 1` is the residual reverse of edge `i`.
 */
internal class MaxFlow(private val nodes: Int) {
    private val heads = IntArray(nodes) { NONE }
    private var next = IntArray(INITIAL_EDGES)
    private var to = IntArray(INITIAL_EDGES)
    private var residual = DoubleArray(INITIAL_EDGES)
    private var edges = 0
    private var largest = 0.0

    fun addEdge(from: Int, target: Int, capacity: Double) {
        require(capacity >= 0) { "a capacity must not be negative, but is $capacity" }
        if (capacity.isFinite()) largest = maxOf(largest, capacity)
        append(from, target, capacity)
        append(target, from, 0.0)
    }

    /** Residuals up to this value count as 0, as rounding errors would prolong the search. */
    private val epsilon get() = largest * RELATIVE_EPSILON

    /** Returns the value of a maximum flow; infinite if a path has unlimited capacity. */
    fun run(source: Int, sink: Int): Double {
        var total = 0.0
        while (true) {
            val level = levels(source)
            if (level[sink] == NONE) return total
            val current = heads.copyOf()
            while (true) {
                val pushed = push(source, sink, Double.POSITIVE_INFINITY, level, current)
                if (pushed <= epsilon) break
                if (pushed.isInfinite()) return pushed
                total += pushed
            }
        }
    }

    /** Returns which nodes are on the source side of a minimum cut; call [run] first. */
    fun sourceSide(source: Int): BooleanArray =
        levels(source).let { level -> BooleanArray(nodes) { level[it] != NONE } }

    private fun append(from: Int, target: Int, capacity: Double) {
        if (edges == to.size) {
            next = next.copyOf(edges * 2)
            to = to.copyOf(edges * 2)
            residual = residual.copyOf(edges * 2)
        }
        to[edges] = target
        residual[edges] = capacity
        next[edges] = heads[from]
        heads[from] = edges++
    }

    private fun levels(source: Int): IntArray {
        val level = IntArray(nodes) { NONE }
        val queue = IntArray(nodes)
        var tail = 0
        level[source] = 0
        queue[tail++] = source
        var head = 0
        while (head < tail) {
            val node = queue[head++]
            var edge = heads[node]
            while (edge != NONE) {
                if (residual[edge] > epsilon && level[to[edge]] == NONE) {
                    level[to[edge]] = level[node] + 1
                    queue[tail++] = to[edge]
                }
                edge = next[edge]
            }
        }
        return level
    }

    private fun push(
        node: Int,
        sink: Int,
        limit: Double,
        level: IntArray,
        current: IntArray
    ): Double {
        if (node == sink) return limit
        while (current[node] != NONE) {
            val edge = current[node]
            if (residual[edge] > epsilon && level[to[edge]] == level[node] + 1) {
                val pushed = push(to[edge], sink, min(limit, residual[edge]), level, current)
                if (pushed > epsilon) {
                    residual[edge] -= pushed
                    residual[edge xor 1] += pushed
                    return pushed
                }
            }
            current[node] = next[edge]
        }
        return 0.0
    }

    private companion object {
        const val NONE = -1
        const val INITIAL_EDGES = 64
        const val RELATIVE_EPSILON = 1e-12
    }
}
