package io.greengageport.routing

import io.greengageport.common.DataCentre
import io.greengageport.common.LayerRange
import io.greengageport.common.RunnerId

/** An upper bound on the throughput of a service; [bottleneck] holds the layers that limit it. */
public data class ThroughputBound(
    val tokensPerSecond: Double,
    val bottleneck: List<LayerRange> = emptyList(),
    val isLimitedByLinks: Boolean = false
) {
    /** Returns [measured] tokens/s as a share of the bound; 0 if the bound is 0. */
    public fun shareOf(measured: Double): Double =
        if (tokensPerSecond > 0) measured / tokensPerSecond else 0.0
}

/**
 * Computes the maximum throughput of the live runners of a service as a maximum flow.
 *
 * Runners divide their work among the segments that they hold. A throughput is feasible if a flow
 * from runners (rate times layers) to segments (throughput times layers) saturates all segments.
 * The largest feasible throughput is found by Newton steps over minimum cuts. With link capacities,
 * the result is also bounded by a flow of tokens through (boundary, data centre) nodes, in which a
 * runner can use its whole rate in each segment. Both are upper bounds, and exact for ranges that
 * do not overlap. The bound of a model is the sum of the bounds of its versions.
 *
 * ```
 * FleetBound.of(fleet.service(service), rate = { it.tokensPerSecond }).shareOf(measured)
 * ```
 */
public object FleetBound {
    /**
     * Returns the bound for [fleet] without the [excluded] and the leaving runners.
     *
     * @param rate the rate of a runner for its whole layer range, in tokens/s
     * @param linkTokensPerSecond the link capacity between two data centres; null if unlimited
     */
    public fun of(
        fleet: ServiceFleet,
        excluded: Set<RunnerId> = emptySet(),
        rate: (Runner) -> Double = { it.tokensPerSecond },
        linkTokensPerSecond: ((DataCentre, DataCentre) -> Double)? = null
    ): ThroughputBound {
        val bounds = fleet.versions.map { ofVersion(it, excluded, rate, linkTokensPerSecond) }
        if (bounds.size == 1) return bounds.single()
        return ThroughputBound(
            bounds.sumOf { it.tokensPerSecond },
            bounds.flatMap { it.bottleneck }
        )
    }

    private fun ofVersion(
        fleet: ServiceFleet,
        excluded: Set<RunnerId>,
        rate: (Runner) -> Double,
        linkTokensPerSecond: ((DataCentre, DataCentre) -> Double)?
    ): ThroughputBound {
        val live = fleet.runners.map { it.id !in excluded && !it.isLeaving }
        val rates = DoubleArray(fleet.runners.size) {
            if (live[it]) rate(fleet.runners[it]) else 0.0
        }
        if (fleet.isPlain) return ThroughputBound(rates.sum())
        val computeLimit = boundByCompute(fleet, rates)
        val linkLimit = linkTokensPerSecond?.let { boundByLinks(fleet, rates, it) }
            ?: Double.POSITIVE_INFINITY
        return if (linkLimit < computeLimit.tokensPerSecond * (1 - TOLERANCE)) {
            ThroughputBound(linkLimit, isLimitedByLinks = true)
        } else {
            computeLimit
        }
    }

    /** The bound by the rates of the runners; links are unlimited. */
    private fun boundByCompute(fleet: ServiceFleet, rates: DoubleArray): ThroughputBound {
        val layerRates = DoubleArray(rates.size) {
            rates[it] * (fleet.runners[it].layers?.size ?: 0)
        }
        var cut = fleet.holders.indices.toList()
        var bound = throughputOf(fleet, layerRates, cut)
        repeat(fleet.holders.size) {
            if (bound <= 0.0) return ThroughputBound(0.0, merge(fleet, cut))
            val deficient = deficientSegments(fleet, layerRates, bound)
            val lower =
                if (deficient.isEmpty()) bound else throughputOf(fleet, layerRates, deficient)
            if (lower >= bound * (1 - TOLERANCE)) return ThroughputBound(bound, merge(fleet, cut))
            cut = deficient
            bound = lower
        }
        return ThroughputBound(bound, merge(fleet, cut))
    }

    /** Throughput in tokens/s if all holders of [segments] work on these segments only. */
    private fun throughputOf(
        fleet: ServiceFleet,
        layerRates: DoubleArray,
        segments: List<Int>
    ): Double {
        val holders = segments.flatMapTo(HashSet()) { fleet.holders[it].asList() }
        return holders.sumOf { layerRates[it] } / segments.sumOf { fleet.segment(it).size }
    }

    /** The segments of a minimum cut that cannot sustain [tokensPerSecond]; empty if all can. */
    private fun deficientSegments(
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

    /** The bound by the links, in tokens/s; each runner has its whole rate in each segment. */
    private fun boundByLinks(
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
                val tokensPerSecond = rates[r] * (fleet.runners[r].layers?.size ?: 0) / layers
                flow.addEdge(from, from + centres, tokensPerSecond)
            }
            if (s > 0) addLinks(flow, fleet, s, capacity)
        }
        return flow.run(source, source + 1)
    }

    /** Adds the links between data centres into [segment]; [capacity] is in tokens/s. */
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
                // Stages within a data centre share a switch, which is not a bottleneck.
                val limit =
                    if (i == j) Double.POSITIVE_INFINITY else capacity(centres[i], centres[j])
                flow.addEdge(from, to, limit)
            }
        }
    }

    /** Returns [segments] as ranges, with adjacent segments merged. */
    private fun merge(fleet: ServiceFleet, segments: List<Int>): List<LayerRange> =
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
