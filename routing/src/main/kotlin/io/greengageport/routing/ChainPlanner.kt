package io.greengageport.routing

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.greengageport.common.LayerRange

/**
 * Chooses the chain of runners for one attempt of a request, or the runner of a plain service.
 *
 * ```
 * val planner: ChainPlanner = ShortestChain(costs, Random.Default)
 * planner.plan(fleet.service(request.service), request)
 * ```
 */
public interface ChainPlanner {
    /** The name of the planner in decisions. */
    public val name: String

    /** The chain covers each layer of the service exactly once, in order. */
    public fun plan(
        fleet: ServiceFleet,
        request: RoutingRequest
    ): Result<RoutingDecision, RoutingFailure>
}

/** Parts that planners share. */
internal object Chains {
    fun eligible(fleet: ServiceFleet, request: RoutingRequest): BooleanArray =
        BooleanArray(fleet.runners.size) { request.allows(fleet.runners[it]) }

    /** Plans with each version that the request may use and takes the least expected time. */
    fun perVersion(
        fleet: ServiceFleet,
        request: RoutingRequest,
        plan: (ServiceFleet) -> Result<RoutingDecision, RoutingFailure>
    ): Result<RoutingDecision, RoutingFailure> {
        if (fleet.isPlain || fleet.runners.isEmpty()) return plan(fleet)
        val wanted = request.version
        if (wanted != null) {
            val part = fleet.versions.firstOrNull { it.version == wanted }
            return part?.let(plan) ?: Err(RoutingFailure.NoVersion(fleet.service, wanted))
        }
        val (last, usual) = fleet.versions.partition { it.version in request.lastVersions }
        var failure: Result<RoutingDecision, RoutingFailure>? = null
        for (versions in listOf(usual, last)) {
            val results = versions.map(plan)
            val best = results.filter { it.isOk }.minByOrNull { it.value.expectedMillis }
            if (best != null) return best
            failure = failure ?: results.firstOrNull()
        }
        return checkNotNull(failure) { "a fleet with runners has a version" }
    }

    /** The failure that [eligible] implies, or null if some chain or plain runner exists. */
    fun failure(fleet: ServiceFleet, eligible: BooleanArray): RoutingFailure? = when {
        fleet.runners.isEmpty() -> RoutingFailure.NoRunners(fleet.service)

        fleet.isPlain ->
            if (eligible.none { it }) {
                RoutingFailure.AllExcluded(fleet.service, fleet.runners.size)
            } else {
                null
            }

        else -> firstGap(fleet, eligible)
    }

    private fun firstGap(fleet: ServiceFleet, eligible: BooleanArray): RoutingFailure? {
        val isGap = { s: Int -> fleet.holders[s].none { eligible[it] } }
        val first = fleet.holders.indices.firstOrNull(isGap) ?: return null
        var last = first
        while (last + 1 < fleet.holders.size && isGap(last + 1)) last++
        val gap = LayerRange(fleet.boundaries[first], fleet.boundaries[last + 1])
        val held = (first..last).any { fleet.holders[it].isNotEmpty() }
        return RoutingFailure.UncoveredLayers(gap, excluded = held)
    }

    /**
     * Replaces stages between two visits of a runner by that runner. It holds the layers between
     * them too, and no engine has to run a request twice.
     */
    fun withoutRepeats(chain: List<Pair<Runner, LayerRange?>>): List<Pair<Runner, LayerRange?>> {
        val result = ArrayList<Pair<Runner, LayerRange?>>(chain.size)
        for ((runner, layers) in chain) {
            val seen = result.indexOfFirst { it.first.id == runner.id }
            if (seen < 0) {
                result += runner to layers
            } else {
                val from = checkNotNull(result[seen].second).from
                while (result.size > seen) result.removeAt(result.lastIndex)
                result += runner to LayerRange(from, checkNotNull(layers).until)
            }
        }
        return result
    }

    fun decide(
        planner: ChainPlanner,
        costs: ChainCosts,
        request: RoutingRequest,
        chain: List<Pair<Runner, LayerRange?>>,
        candidates: Int
    ): Result<RoutingDecision, RoutingFailure> = Ok(
        RoutingDecision(
            request = request.id,
            attempt = request.attempt,
            service = request.service,
            planner = planner.name,
            stages = costs.explain(chain, request),
            candidates = candidates
        )
    )

    fun fail(failure: RoutingFailure): Result<RoutingDecision, RoutingFailure> = Err(failure)
}
