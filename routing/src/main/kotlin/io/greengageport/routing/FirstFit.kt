package io.greengageport.routing

import com.github.michaelbull.result.Result
import io.greengageport.common.LayerRange

/** Baseline that selects, at each boundary, the first runner by id that holds the next layer. */
public class FirstFit(private val costs: CostModel) : ChainPlanner {
    override val name: String get() = "first-fit"

    override fun plan(
        fleet: ServiceFleet,
        request: RoutingRequest
    ): Result<RoutingDecision, RoutingFailure> =
        GreedyChain.plan(this, costs, fleet, request) { candidates -> candidates.first() }
}

/**
 * Baseline that selects, at each boundary, the runner with the least queued work among those that
 * hold the next layer.
 */
public class LeastQueue(private val costs: CostModel) : ChainPlanner {
    override val name: String get() = "least-queue"

    override fun plan(
        fleet: ServiceFleet,
        request: RoutingRequest
    ): Result<RoutingDecision, RoutingFailure> =
        GreedyChain.plan(this, costs, fleet, request) { candidates ->
            candidates.minBy { costs.load(it).queuedTokens }
        }
}

/**
 * Builds a chain from the first layer to the last with a local choice at each boundary; each
 * selected runner computes its range to the end.
 */
internal object GreedyChain {
    fun plan(
        planner: ChainPlanner,
        costs: CostModel,
        fleet: ServiceFleet,
        request: RoutingRequest,
        choose: (List<Runner>) -> Runner
    ): Result<RoutingDecision, RoutingFailure> =
        Chains.planPerVersion(fleet, request) { planVersion(planner, costs, it, request, choose) }

    private fun planVersion(
        planner: ChainPlanner,
        costs: CostModel,
        fleet: ServiceFleet,
        request: RoutingRequest,
        choose: (List<Runner>) -> Runner
    ): Result<RoutingDecision, RoutingFailure> {
        val eligible = Chains.eligible(fleet, request)
        Chains.findFailure(fleet, eligible)?.let { return Chains.fail(it) }
        val live = fleet.runners.filterIndexed { i, _ -> eligible[i] }
        val chain = if (fleet.isPlain) {
            listOf(choose(live) to null)
        } else {
            buildChain(fleet.layers, live, choose)
        }
        return Chains.decide(planner, costs, request, chain, live.size)
    }

    private fun buildChain(layers: Int, live: List<Runner>, choose: (List<Runner>) -> Runner) =
        buildList {
            var next = 0
            while (next < layers) {
                val chosen = choose(
                    live.filter { r -> r.layers?.let { next in it.from until it.until } == true }
                )
                val until = minOf(checkNotNull(chosen.layers).until, layers)
                add(chosen to LayerRange(next, until))
                next = until
            }
        }
}
