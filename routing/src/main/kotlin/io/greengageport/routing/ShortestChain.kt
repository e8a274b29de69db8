package io.greengageport.routing

import com.github.michaelbull.result.Result
import io.greengageport.common.LayerRange
import kotlin.random.Random

/**
 * Finds the chain with the least expected time and congestion by dynamic programming.
 *
 * The state is the last stage and the layer boundary reached. A stage either continues to the next
 * boundary or passes to a runner that holds the next segment. Except for a few pairs of runners,
 * hop times depend on data centres only, so the best predecessor is looked up per data centre. The
 * cost is (segments x holders x data centres) instead of (segments x holders squared).
 *
 * A stage also delays the work queued behind it, in proportion to the layers that it computes. A
 * stage that computes its whole range is therefore charged [congestionWeight] times its wait in
 * addition. Without this charge a sub-range costs as much wait as the whole range, and fleets with
 * overlapping ranges reached only half of their throughput bound.
 *
 * Ties are broken by a random addition of up to [jitterMillis] to each wait. With a fixed order,
 * idle runners late in that order would get no work.
 *
 * In a group of more than [sampleAbove] interchangeable runners, only [samples] random ones and the
 * one with most of the prompt cached are candidates. Otherwise, instances that see the same delayed
 * reports would all send to the same runner until the next report.
 *
 * Thread-safe if [random] is.
 */
public class ShortestChain(
    private val costs: ChainCosts,
    private val random: Random,
    private val sampleAbove: Int = DEFAULT_SAMPLE_ABOVE,
    private val samples: Int = DEFAULT_SAMPLES,
    private val jitterMillis: Double = DEFAULT_JITTER_MILLIS,
    private val congestionWeight: Double = DEFAULT_CONGESTION_WEIGHT
) : ChainPlanner {
    override val name: String get() = "shortest-chain"

    init {
        require(samples in 1..sampleAbove) { "samples must be in 1..$sampleAbove, but is $samples" }
    }

    override fun plan(
        fleet: ServiceFleet,
        request: RoutingRequest
    ): Result<RoutingDecision, RoutingFailure> =
        Chains.planPerVersion(fleet, request) { planVersion(it, request) }

    private fun planVersion(
        fleet: ServiceFleet,
        request: RoutingRequest
    ): Result<RoutingDecision, RoutingFailure> {
        val eligible = Chains.eligible(fleet, request)
        Chains.findFailure(fleet, eligible)?.let { return Chains.fail(it) }
        for (group in fleet.groups) sample(group, eligible, fleet, request)
        val weight = if (fleet.isPlain) 0.0 else congestionWeight
        val search = ChainSearch(fleet, costs, request, eligible, weight) {
            random.nextDouble() * jitterMillis
        }
        val chain = if (fleet.isPlain) search.bestRunner() else search.bestChain()
        return Chains.decide(
            this,
            costs,
            request,
            Chains.mergeRepeats(chain),
            eligible.count { it }
        )
    }

    /** Makes all but a sample of the eligible runners of a large [group] ineligible. */
    private fun sample(
        group: IntArray,
        eligible: BooleanArray,
        fleet: ServiceFleet,
        request: RoutingRequest
    ) {
        if (group.size <= sampleAbove) return
        val live = group.filter { eligible[it] }.toIntArray()
        if (live.size <= sampleAbove) return
        val cached = live.maxBy { costs.cachedBlocks(fleet.runners[it], request) }
        val hasCached = costs.cachedBlocks(fleet.runners[cached], request) > 0
        for (i in 0 until samples) {
            val j = random.nextInt(i, live.size)
            live[i] = live[j].also { live[j] = live[i] }
        }
        for (i in samples until live.size) eligible[live[i]] = false
        if (hasCached) eligible[cached] = true
    }

    public companion object {
        public const val DEFAULT_SAMPLE_ABOVE: Int = 2
        public const val DEFAULT_SAMPLES: Int = 2
        public const val DEFAULT_CONGESTION_WEIGHT: Double = 4.0
        public const val DEFAULT_JITTER_MILLIS: Double = 0.01
    }
}

/** A single run of the dynamic programme, with costs in ms; not reusable. */
internal class ChainSearch(
    private val fleet: ServiceFleet,
    private val costs: ChainCosts,
    private val request: RoutingRequest,
    private val eligible: BooleanArray,
    congestionWeight: Double,
    jitter: () -> Double
) {
    private val size = fleet.runners.size
    private val waits = DoubleArray(size)
    private val millisPerLayer = DoubleArray(size)
    private val centres = fleet.dataCentres.size
    private val hops = DoubleArray(centres * centres) {
        val (from, to) = fleet.dataCentres[it / centres] to fleet.dataCentres[it % centres]
        costs.stageHopMillis(from, to, request)
    }
    private val deviations = Array(size) {
        if (eligible[it]) costs.links.deviationsInto(fleet.runners[it].id) else emptyMap()
    }

    init {
        for (i in 0 until size) {
            if (!eligible[i]) continue
            val cost = costs.runnerCost(fleet.runners[i], request)
            waits[i] = cost.waitMillis + jitter()
            val layers = fleet.runners[i].layers?.size ?: 1
            millisPerLayer[i] = cost.millisPerLayer + congestionWeight * cost.waitMillis / layers
        }
    }

    /** Returns the runner of a plain service with the least expected time, as a single stage. */
    fun bestRunner(): List<Pair<Runner, LayerRange?>> {
        val best = fleet.runners.indices.filter { eligible[it] }.minBy { entryCost(it) }
        return listOf(fleet.runners[best] to null)
    }

    /**
     * Expected time before the first layer is computed, if the chain starts at runner [i]; the
     * total time for a plain service.
     */
    private fun entryCost(i: Int): Double {
        val hop = costs.links.hopMillis(request.dataCentre, fleet.runners[i].dataCentre)
        return waits[i] + costs.linkMillis(hop, request) +
            if (fleet.isPlain) millisPerLayer[i] else 0.0
    }

    /** Returns the chain with the least expected time; each segment must have a holder. */
    fun bestChain(): List<Pair<Runner, LayerRange?>> {
        val segments = fleet.holders.size
        val from = Array(segments) { IntArray(size) }
        var reached = DoubleArray(size) { Double.POSITIVE_INFINITY }
        for (segment in 0 until segments) {
            val next = DoubleArray(size) { Double.POSITIVE_INFINITY }
            val cheapest =
                if (segment == 0) null else CheapestStages(reached, fleet.holders[segment - 1])
            for (i in fleet.holders[segment]) {
                if (eligible[i]) extendTo(i, segment, cheapest, reached, next, from[segment])
            }
            reached = next
        }
        return buildChain(reached, from)
    }

    /**
     * Computes the cheapest way to compute [segment] on runner [i]: as a continuation of its stage,
     * or as a new stage after the cheapest predecessor. Writes the cost in ms to [next] and the
     * predecessor, or [i] for a continuation, to [from].
     */
    private fun extendTo(
        i: Int,
        segment: Int,
        cheapest: CheapestStages?,
        reached: DoubleArray,
        next: DoubleArray,
        from: IntArray
    ) {
        var best = reached[i]
        from[i] = i
        if (cheapest == null) {
            best = entryCost(i)
            from[i] = ENTRY
        } else {
            val previous = predecessor(i, segment, cheapest, reached)
            val handoverCost = reached[previous] + hopMillis(previous, i) + waits[i]
            if (handoverCost < best) {
                best = handoverCost
                from[i] = previous
            }
        }
        val layers = fleet.boundaries[segment + 1] - fleet.boundaries[segment]
        next[i] = best + millisPerLayer[i] * layers
    }

    /** The cheapest predecessor of runner [i] among the holders of the segment before [segment]. */
    private fun predecessor(
        i: Int,
        segment: Int,
        cheapest: CheapestStages,
        reached: DoubleArray
    ): Int = if (deviations[i].isEmpty()) {
        cheapest.best(i)
    } else {
        fleet.holders[segment - 1].filter { eligible[it] }.minBy { reached[it] + hopMillis(it, i) }
    }

    /** Total hop time in ms from runner [from] to runner [to]; see [ChainCosts.linkMillis]. */
    private fun hopMillis(from: Int, to: Int): Double {
        val deviating = deviations[to]
        if (deviating.isNotEmpty()) {
            deviating[fleet.runners[from].id]?.let { return costs.linkMillis(it, request) }
        }
        return hops[fleet.dataCentreOf[from] * centres + fleet.dataCentreOf[to]]
    }

    private fun buildChain(
        reached: DoubleArray,
        from: Array<IntArray>
    ): List<Pair<Runner, LayerRange?>> {
        val chain = ArrayDeque<Pair<Runner, LayerRange?>>()
        var current = reached.indices.minBy { reached[it] }
        var until = fleet.layers
        for (segment in from.indices.reversed()) {
            val previous = from[segment][current]
            if (previous == current) continue
            val start = fleet.boundaries[segment]
            chain.addFirst(fleet.runners[current] to LayerRange(start, until))
            until = start
            current = previous
        }
        return chain
    }

    /** The cheapest last stage at a boundary, per data centre. */
    private inner class CheapestStages(private val reached: DoubleArray, holders: IntArray) {
        private val last = IntArray(centres) { NONE }

        init {
            for (i in holders) {
                if (!eligible[i]) continue
                val centre = fleet.dataCentreOf[i]
                if (last[centre] == NONE || reached[i] < reached[last[centre]]) last[centre] = i
            }
        }

        fun best(to: Int): Int {
            var best = NONE
            var least = Double.POSITIVE_INFINITY
            for (stage in last) {
                if (stage == NONE) continue
                val total = reached[stage] + hopMillis(stage, to)
                if (total < least || best == NONE) {
                    least = total
                    best = stage
                }
            }
            return best
        }
    }

    private companion object {
        const val NONE = -1
        const val ENTRY = -2
    }
}
