package io.greengageport.common

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards against chains that skip layers, run them twice or run them in the wrong order. */
class LayerRangeTest {
    @Nested
    inner class CoversExactly {
        @Test
        fun `accepts contiguous ranges that cover all layers`() {
            val ranges = listOf(LayerRange(0, 4), LayerRange(4, 9), LayerRange(9, 12))
            expectThat(LayerRange.coversExactly(ranges, layers = 12)).isEqualTo(true)
        }

        @Test
        fun `rejects gaps, overlaps, wrong order and missing layers`() {
            val cases = listOf(
                listOf(LayerRange(0, 4), LayerRange(5, 12)),
                listOf(LayerRange(0, 5), LayerRange(4, 12)),
                listOf(LayerRange(4, 12), LayerRange(0, 4)),
                listOf(LayerRange(0, 4), LayerRange(4, 11)),
                emptyList()
            )
            expectThat(cases.map { LayerRange.coversExactly(it, layers = 12) })
                .isEqualTo(cases.map { false })
        }
    }
}
