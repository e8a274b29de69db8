package io.greengageport.routing

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.greengageport.common.LayerRange

/**
 * Selects the chain of runners for one attempt of a request, or the runner of a plain service.
 *
 * ```
 * val planner: ChainPlanner = ShortestChain(costs, Random.Default)
 * planner.plan(fleet.service(request.service), request)
 * ```
 */
public interface ChainPlanner {
    /** The name of the planner in [RoutingDecision.planner] and in the decision log. */
    public val name: String

    /** Returns a chain that covers each layer of the service exactly once and in order. */
    public fun plan(
        fleet: ServiceFleet,
        request: RoutingRequest
    ): Result<RoutingDecision, RoutingFailure>
}

/** Functions shared by the planners. */
internal object Chains {
    /** Returns, by position in [ServiceFleet.runners], which runners the request can use. */
    fun eligible(fleet: ServiceFleet, request: RoutingRequest): BooleanArray =
        BooleanArray(fleet.runners.size) { request.allows(fleet.runners[it]) }

    /**
     * Plans a chain for each version that the request may use, and returns the one with the least
     * expected time. [RoutingRequest.fallbackVersions] are tried only if no other version has a
     * chain. If none has, returns the failure of the version tried first.
     */
    fun planPerVersion(
        fleet: ServiceFleet,
        request: RoutingRequest,
        plan: (ServiceFleet) -> Result<RoutingDecision, RoutingFailure>
    ): Result<RoutingDecision, RoutingFailure> {
        if (fleet.isPlain || fleet.runners.isEmpty()) return plan(fleet)
        val wanted = request.version
        if (wanted != null) {
            val versionFleet = fleet.versions.firstOrNull { it.version == wanted }
            return versionFleet?.let(plan) ?: Err(RoutingFailure.NoVersion(fleet.service, wanted))
        }
        val (fallback, regular) =
            fleet.versions.partition { it.version in request.fallbackVersions }
        var failure: Result<RoutingDecision, RoutingFailure>? = null
        for (versions in listOf(regular, fallback)) {
            val results = versions.map(plan)
            val best = results.filter { it.isOk }.minByOrNull { it.value.expectedMillis }
            if (best != null) return best
            failure = failure ?: results.firstOrNull()
        }
        return checkNotNull(failure) { "a fleet with runners must have a version" }
    }

    /** Returns the reason why no chain or plain runner is available, or null if one is. */
    fun findFailure(fleet: ServiceFleet, eligible: BooleanArray): RoutingFailure? = when {
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
        return RoutingFailure.UncoveredLayers(gap, hasExcludedHolders = held)
    }

    /**
     * Merges the stages of a runner that occurs twice, and the stages between them, into one stage.
     * Runners hold contiguous ranges, so the runner holds the layers in between too. No engine then
     * has to run a request twice.
     */
    fun mergeRepeats(chain: List<Pair<Runner, LayerRange?>>): List<Pair<Runner, LayerRange?>> {
        val result = ArrayList<Pair<Runner, LayerRange?>>(chain.size)
        for ((runner, layers) in chain) {
            val firstVisit = result.indexOfFirst { it.first.id == runner.id }
            if (firstVisit < 0) {
                result += runner to layers
            } else {
                val from = checkNotNull(result[firstVisit].second).from
                while (result.size > firstVisit) result.removeAt(result.lastIndex)
                result += runner to LayerRange(from, checkNotNull(layers).until)
            }
        }
        return result
    }

    /** Returns the decision for [chain] with its expected times. */
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
