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
        require(from >= 0) { "a layer range must start at 0 or later, but starts at $from" }
        require(until > from) { "a layer range must not be empty: $from until $until" }
    }

    /** Number of layers in the range. */
    public val size: Int get() = until - from

    /** Whether every layer of [other] lies in this range. */
    public operator fun contains(other: LayerRange): Boolean =
        from <= other.from && other.until <= until

    override fun toString(): String = "[$from,$until)"

    public companion object {
        /** Whether [ranges], in this order, cover `0 until layers` without gap or overlap. */
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
