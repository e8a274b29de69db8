package io.greengageport.routing

import io.greengageport.common.DataCentre
import io.greengageport.common.LayerRange

/** Expected times of stages and of the hops between them, by which [ShortestChain] chooses. */
public interface ChainCosts {
    /** Measured hop times. */
    public val links: LinkEstimator

    /** The cost of running any part of [request] on [runner]. */
    public fun runnerCost(runner: Runner, request: RoutingRequest): RunnerCost

    /** Time that hops of [hopMillis] take for all of [request], in ms. */
    public fun linkMillis(hopMillis: Double, request: RoutingRequest): Double

    /** Time that the hops between stages in two data centres take for all of [request], in ms. */
    public fun stageHopMillis(from: DataCentre, to: DataCentre, request: RoutingRequest): Double =
        linkMillis(links.hopMillis(from, to), request)

    /** Blocks of the prompt that [runner] has cached. */
    public fun cachedBlocks(runner: Runner, request: RoutingRequest): Double

    /** The stages of [chain] with their expected times. */
    public fun explain(
        chain: List<Pair<Runner, LayerRange?>>,
        request: RoutingRequest
    ): List<PlannedStage> = chain.mapIndexed { i, (runner, layers) ->
        val cost = runnerCost(runner, request)
        val previous = chain.getOrNull(i - 1)?.first
        val size = layers?.size ?: 1
        PlannedStage(
            runner = runner,
            layers = layers,
            workTokens = cost.workPerLayer * size,
            waitMillis = cost.waitMillis,
            serviceMillis = cost.millisPerLayer * size,
            linkMillis = hopMillis(previous, runner, request),
            savedTokens = cost.savedTokens
        )
    }

    private fun hopMillis(from: Runner?, to: Runner, request: RoutingRequest): Double {
        if (from == null) {
            val hop = links.hopMillis(request.dataCentre, to.dataCentre)
            return linkMillis(hop, request)
        }
        val known = links.deviationsInto(to.id)[from.id]
        if (known != null) return linkMillis(known, request)
        return stageHopMillis(from.dataCentre, to.dataCentre, request)
    }
}
