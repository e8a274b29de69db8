package io.greengageport.routing

import io.greengageport.common.DataCentre
import io.greengageport.common.LayerRange
import io.greengageport.common.RunnerId

/** An upper bound of a service's throughput; [bottleneck] holds the layers that limit it. */
public data class ThroughputBound(
    val tokensPerSecond: Double,
    val bottleneck: List<LayerRange> = emptyList(),
    val limitedByLinks: Boolean = false
) {
    /** The share of the bound that [measured] tokens/s are; 0 if nothing can run. */
    public fun share(measured: Double): Double =
        if (tokensPerSecond > 0) measured / tokensPerSecond else 0.0
}

/**
 * The throughput that the live runners of a service could reach, as a maximum flow.
 *
 * Runners divide their work among the segments that they hold: a flow from runners (rate times
 * layers) to segments (throughput times layers) that saturates all segments. The largest such
 * throughput is found by Newton steps over minimum cuts. With link capacities the result is also
 * bounded by a flow of tokens through (boundary, data centre) nodes, in which a runner may use its
 * whole rate in each segment; both are upper bounds, and exact for ranges that don't overlap. The
 * bounds of several versions of a model add up.
 *
 * ```
 * FleetBound.of(fleet.service(service), rate = { it.tokensPerSecond }).share(measured)
 * ```
 */
public object FleetBound {
    /** The bound in tokens/s; [linkTokensPerSecond] states link capacities between centres. */
    public fun of(
        fleet: ServiceFleet,
        excluded: Set<RunnerId> = emptySet(),
        rate: (Runner) -> Double = { it.tokensPerSecond },
        linkTokensPerSecond: ((DataCentre, DataCentre) -> Double)? = null
    ): ThroughputBound {
        val parts = fleet.versions.map { ofVersion(it, excluded, rate, linkTokensPerSecond) }
        if (parts.size == 1) return parts.single()
        return ThroughputBound(parts.sumOf { it.tokensPerSecond }, parts.flatMap { it.bottleneck })
    }

    private fun ofVersion(
        fleet: ServiceFleet,
        excluded: Set<RunnerId>,
        rate: (Runner) -> Double,
        linkTokensPerSecond: ((DataCentre, DataCentre) -> Double)?
    ): ThroughputBound {
        val live = fleet.runners.map { it.id !in excluded && !it.leaving }
        val rates = DoubleArray(fleet.runners.size) {
            if (live[it]) rate(fleet.runners[it]) else 0.0
        }
        if (fleet.isPlain) return ThroughputBound(rates.sum())
        val work = byWork(fleet, rates)
        val links = linkTokensPerSecond?.let { byLinks(fleet, rates, it) }
            ?: Double.POSITIVE_INFINITY
        return if (links < work.tokensPerSecond * (1 - TOLERANCE)) {
            ThroughputBound(links, limitedByLinks = true)
        } else {
            work
        }
    }

    private fun byWork(fleet: ServiceFleet, rates: DoubleArray): ThroughputBound {
        val layerRates = DoubleArray(rates.size) {
            rates[it] * (fleet.runners[it].layers?.size ?: 0)
        }
        var cut = fleet.holders.indices.toList()
        var bound = reach(fleet, layerRates, cut)
        repeat(fleet.holders.size) {
            if (bound <= 0.0) return ThroughputBound(0.0, join(fleet, cut))
            val deficient = deficient(fleet, layerRates, bound)
            val lower = if (deficient.isEmpty()) bound else reach(fleet, layerRates, deficient)
            if (lower >= bound * (1 - TOLERANCE)) return ThroughputBound(bound, join(fleet, cut))
            cut = deficient
            bound = lower
        }
        return ThroughputBound(bound, join(fleet, cut))
    }

    /** Throughput that the holders of [segments] reach if they do nothing else. */
    private fun reach(fleet: ServiceFleet, layerRates: DoubleArray, segments: List<Int>): Double {
        val holders = segments.flatMapTo(HashSet()) { fleet.holders[it].asList() }
        return holders.sumOf { layerRates[it] } / segments.sumOf { fleet.segment(it).size }
    }

    /** The segments of a minimum cut that [tokensPerSecond] leaves short. */
    private fun deficient(
        fleet: ServiceFleet,
        layerRates: DoubleArray,
        tokensPerSecond: Double
    ): List<Int> {
        val segments = fleet.holders.size
        val source = segments + layerRates.size
        val flow = MaxFlow(source + 2)
        var demand = 0.0
        for (s in 0 until segments) {
            val needed = tokensPerSecond * fleet.segment(s).size
            demand += needed
            flow.addEdge(source, s, needed)
            for (r in fleet.holders[s]) {
                flow.addEdge(s, segments + r, Double.POSITIVE_INFINITY)
            }
        }
        for (r in layerRates.indices) flow.addEdge(segments + r, source + 1, layerRates[r])
        if (flow.run(source, source + 1) >= demand * (1 - TOLERANCE)) return emptyList()
        val side = flow.sourceSide(source)
        return (0 until segments).filter { side[it] }
    }

    private fun byLinks(
        fleet: ServiceFleet,
        rates: DoubleArray,
        capacity: (DataCentre, DataCentre) -> Double
    ): Double {
        val centres = fleet.dataCentres.size
        val segments = fleet.holders.size
        val source = (2 * segments) * centres
        val flow = MaxFlow(source + 2)
        for (c in 0 until centres) {
            flow.addEdge(source, c, Double.POSITIVE_INFINITY)
            val last = (2 * segments - 1) * centres + c
            flow.addEdge(last, source + 1, Double.POSITIVE_INFINITY)
        }
        for (s in 0 until segments) {
            val layers = fleet.segment(s).size
            for (r in fleet.holders[s]) {
                val from = 2 * s * centres + fleet.dataCentreOf[r]
                val whole = rates[r] * (fleet.runners[r].layers?.size ?: 0) / layers
                flow.addEdge(from, from + centres, whole)
            }
            if (s > 0) addLinks(flow, fleet, s, capacity)
        }
        return flow.run(source, source + 1)
    }

    private fun addLinks(
        flow: MaxFlow,
        fleet: ServiceFleet,
        segment: Int,
        capacity: (DataCentre, DataCentre) -> Double
    ) {
        val centres = fleet.dataCentres
        for (i in centres.indices) {
            for (j in centres.indices) {
                val from = (2 * segment - 1) * centres.size + i
                val to = 2 * segment * centres.size + j
                // Stages of one data centre are on one switch, which is not a bottleneck.
                val limit =
                    if (i == j) Double.POSITIVE_INFINITY else capacity(centres[i], centres[j])
                flow.addEdge(from, to, limit)
            }
        }
    }

    private fun join(fleet: ServiceFleet, segments: List<Int>): List<LayerRange> =
        segments.fold(emptyList()) { ranges, s ->
            val segment = fleet.segment(s)
            val last = ranges.lastOrNull()
            if (last != null && last.until == segment.from) {
                ranges.dropLast(1) + LayerRange(last.from, segment.until)
            } else {
                ranges + segment
            }
        }

    private const val TOLERANCE = 1e-9
}
