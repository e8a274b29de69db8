package io.greengageport.routing

import io.greengageport.common.DataCentre
import io.greengageport.common.LayerRange

/** Expected times of stages and of the hops between them, which [ShortestChain] minimises. */
public interface ChainCosts {
    /** Estimates of hop times. */
    public val links: LinkEstimator

    /** The cost of computing [request] on [runner], for any part of its layers. */
    public fun runnerCost(runner: Runner, request: RoutingRequest): RunnerCost

    /** Total hop time in ms for all of [request] if a single hop takes [hopMillis]. */
    public fun linkMillis(hopMillis: Double, request: RoutingRequest): Double

    /** Total time in ms of the hops for [request] from a stage in [from] to a stage in [to]. */
    public fun stageHopMillis(from: DataCentre, to: DataCentre, request: RoutingRequest): Double =
        linkMillis(links.hopMillis(from, to), request)

    /** Expected number of leading prompt blocks that [runner] has cached. */
    public fun cachedBlocks(runner: Runner, request: RoutingRequest): Double

    /** Returns the stages of [chain] with their expected times. */
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
        val deviationMillis = links.deviationsInto(to.id)[from.id]
        if (deviationMillis != null) return linkMillis(deviationMillis, request)
        return stageHopMillis(from.dataCentre, to.dataCentre, request)
    }
}
