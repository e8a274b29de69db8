package io.greengageport.common

import kotlinx.serialization.Serializable

/**
 * A half-open range of model layers: [from] inclusive, [until] exclusive.
 *
 * ```
 * LayerRange(0, 12).size // 12
 * ```
 */
@Serializable
public data class LayerRange(val from: Int, val until: Int) {
    init {
        require(from >= 0) { "a layer range starts at 0 or later, not at $from" }
        require(until > from) { "a layer range is not empty: $from until $until" }
    }

    /** Number of layers in the range. */
    public val size: Int get() = until - from

    /** Whether every layer of [other] lies in this range. */
    public operator fun contains(other: LayerRange): Boolean =
        from <= other.from && other.until <= until

    override fun toString(): String = "[$from,$until)"

    public companion object {
        /** Whether [ranges], in this order, run each of `0 until layers` exactly once. */
        public fun coversExactly(ranges: List<LayerRange>, layers: Int): Boolean {
            var next = 0
            for (r in ranges) {
                if (r.from != next) return false
                next = r.until
            }
            return next == layers
        }
    }
}
