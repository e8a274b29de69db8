package io.greengageport.routing

import io.greengageport.common.LayerRange
import io.greengageport.common.RunnerId
import kotlin.math.abs
import kotlin.random.Random
import net.jqwik.api.ForAll
import net.jqwik.api.Label
import net.jqwik.api.Property
import net.jqwik.api.constraints.LongRange
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan

class FleetBoundTest {
    /** Guards against a flow that is not maximal. */
    @Property(tries = 300, seed = "41")
    @Label("the maximum flow equals the minimum cut")
    fun maximumFlowEqualsMinimumCut(@ForAll @LongRange(min = 0, max = 1_000_000) seed: Long) {
        val random = Random(seed)
        val nodes = random.nextInt(2, 8)
        val edges = List(random.nextInt(1, 20)) {
            Triple(random.nextInt(nodes), random.nextInt(nodes), random.nextDouble(0.0, 9.0))
        }.filter { it.first != it.second }
        val flow = MaxFlow(nodes).apply { edges.forEach { addEdge(it.first, it.second, it.third) } }
        val least = (0 until (1 shl nodes))
            .filter { it and 1 == 1 && it shr (nodes - 1) == 0 }
            .minOf { side ->
                edges.filter { side shr it.first and 1 == 1 && side shr it.second and 1 == 0 }
                    .sumOf { it.third }
            }
        expectThat(abs(flow.run(0, nodes - 1) - least)).isLessThan(1e-6)
    }

    /** Guards against a bound that misses a limiting set of segments. */
    @Property(tries = 300, seed = "42")
    @Label("the bound equals the minimum over all sets of segments")
    fun boundEqualsMinimumOverSets(@ForAll @LongRange(min = 0, max = 1_000_000) seed: Long) {
        val random = Random(seed)
        val layers = random.nextInt(2, 12)
        val fleet = fleet(layers, randomRunners(random, layers, random.nextInt(2, 5)))
        val segments = fleet.holders.indices.toList()
        val least = (1 until (1 shl segments.size)).minOf { set ->
            val chosen = segments.filter { set shr it and 1 == 1 }
            val held = chosen.flatMap { fleet.holders[it].asList() }.toSet()
            held.map { fleet.runners[it] }.sumOf { it.tokensPerSecond * it.layers!!.size } /
                chosen.sumOf { fleet.segment(it).size }
        }
        val bound = FleetBound.of(fleet).tokensPerSecond
        expectThat(abs(bound - least)).isLessThan(least * 1e-6)
    }

    @Nested
    inner class Cases {
        private val runners = listOf(
            runner("a", LayerRange(0, 4), rate = 100.0, centre = centres[0]),
            runner("b", LayerRange(4, 8), rate = 60.0, centre = centres[0]),
            runner("c", LayerRange(4, 8), rate = 70.0, centre = centres[1])
        )
        private val fleet = fleet(8, runners)

        /**
         * Guards against a bound that includes runners that get no work, or names the wrong layers.
         */
        @Test
        fun `reports the bottleneck and ignores excluded runners`() {
            val bounds = listOf(
                FleetBound.of(fleet),
                FleetBound.of(fleet, excluded = setOf(RunnerId("c"))),
                FleetBound.of(fleet, excluded = setOf(RunnerId("a")))
            )
            expectThat(bounds).isEqualTo(
                listOf(
                    ThroughputBound(100.0, listOf(LayerRange(0, 4))),
                    ThroughputBound(60.0, listOf(LayerRange(4, 8))),
                    ThroughputBound(0.0, listOf(LayerRange(0, 4)))
                )
            )
        }

        /** Guards against a bound that no chain can reach because the links are saturated. */
        @Test
        fun `is limited by links`() {
            expectThat(FleetBound.of(fleet, linkTokensPerSecond = { _, _ -> 15.0 }))
                .isEqualTo(ThroughputBound(75.0, isLimitedByLinks = true))
        }

        /**
         * Guards against a bound for chains that mix versions, or for one runner of a plain service
         * only.
         */
        @Test
        fun `sums up the runners of a plain service and the versions of a model`() {
            val plain = fleet(0, runners.map { it.copy(layers = null) })
            val versions = fleet(
                8,
                runners + runners.map { it.copy(id = RunnerId("${it.id}2"), version = "v2") }
            )
            expectThat(listOf(plain, versions).map { FleetBound.of(it).tokensPerSecond })
                .isEqualTo(listOf(230.0, 200.0))
        }
    }
}
