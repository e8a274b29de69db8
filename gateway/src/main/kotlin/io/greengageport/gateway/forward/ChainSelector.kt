package io.greengageport.gateway.forward

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import io.greengageport.common.DataCentre
import io.greengageport.common.RunnerId
import io.greengageport.common.ServiceName
import io.greengageport.gateway.logging.DecisionLog
import io.greengageport.gateway.port.ChainStage
import io.greengageport.gateway.state.BackendDirectory
import io.greengageport.gateway.state.InFlightTable
import io.greengageport.routing.BatchingCosts
import io.greengageport.routing.EngineProfile
import io.greengageport.routing.Fleet
import io.greengageport.routing.LinkEstimator
import io.greengageport.routing.RoutingDecision
import io.greengageport.routing.RoutingFailure
import io.greengageport.routing.RoutingRequest
import io.greengageport.routing.Runner
import io.greengageport.routing.ShortestChain
import java.util.IdentityHashMap
import kotlin.random.Random

/** Chooses the chain of engines of a model that answers soonest. */
internal class ChainSelector(
    private val directory: BackendDirectory,
    private val fleet: Fleet,
    private val inFlight: InFlightTable,
    private val links: LinkEstimator,
    private val ejected: () -> Set<RunnerId>,
    private val slowness: (RunnerId) -> Double,
    private val own: DataCentre,
    private val log: DecisionLog
) : ServerSelector {
    /** By identity: profiles are compared for each request, and each configuration has its own. */
    private val planners = IdentityHashMap<EngineProfile, Planner>()

    override fun select(context: RequestContext, excluded: Set<RunnerId>): Selection? {
        val profile = checkNotNull(context.service.engine) { "a chain needs a model" }
        val (planner, costs) = planner(profile)
        // Ejected engines are used only where no chain does without them.
        val out = excluded + ejected()
        val others = otherFirstStages(context.service.name, out, costs)
        val sampled = plan(planner, context, out + others)
        val healthy = if (sampled.isErr) plan(planner, context, out) else sampled
        val choice = if (healthy.isErr) plan(planner, context, excluded) else healthy
        return choice.fold({ selection(context, it, costs) }) { failure ->
            log.record("route", "no_chain", "request" to context.id, "why" to failure)
            null
        }
    }

    /**
     * All first stages but two, drawn at random by their free slots and with a preference for the
     * own data centre. What peers have in flight is known up to two seconds late, and instances
     * that all chose the best of all copies would fill it up together.
     */
    private fun otherFirstStages(
        service: ServiceName,
        excluded: Set<RunnerId>,
        costs: BatchingCosts
    ): Set<RunnerId> {
        val first = fleet.service(service).runners
            .filter { it.layers?.from == 0 && it.id !in excluded }
        if (first.size <= FIRST_STAGES_TRIED) return emptySet()
        val weights = first.associateWithTo(HashMap()) { weight(it, costs) }
        repeat(FIRST_STAGES_TRIED) { weights -= draw(weights) }
        return weights.keys.mapTo(HashSet()) { it.id }
    }

    private fun weight(runner: Runner, costs: BatchingCosts): Double {
        val free = maxOf(MIN_FREE, 1 - costs.slotUse(runner))
        return free * free * if (runner.dataCentre == own) 1.0 else REMOTE_WEIGHT
    }

    private fun draw(weights: Map<Runner, Double>): Runner {
        var left = Random.nextDouble() * weights.values.sum()
        for ((runner, weight) in weights) {
            left -= weight
            if (left < 0) return runner
        }
        return weights.keys.last()
    }

    private fun plan(
        planner: ShortestChain,
        context: RequestContext,
        excluded: Set<RunnerId>
    ): Result<RoutingDecision, RoutingFailure> = planner.plan(
        fleet.service(context.service.name),
        RoutingRequest(
            id = context.id,
            service = context.service.name,
            dataCentre = own,
            promptTokens = context.promptTokens,
            outputTokens = context.answerTokens,
            excluded = excluded
        )
    )

    private fun selection(
        context: RequestContext,
        decision: RoutingDecision,
        costs: BatchingCosts
    ): Selection? {
        log.record(
            "route",
            "chosen",
            "request" to context.id,
            "expected_ms" to decision.expectedMillis.toLong(),
            "memory_use" to (
                decision.stages.maxOf {
                    costs.memoryUse(it.runner)
                } * PERCENT
                ).toInt(),
            "chain" to decision.stages.joinToString(">") { "${it.id}${it.layers}" }
        )
        val servers = decision.stages.map { directory.find(it.runner.id) ?: return null }
        val stages = decision.stages.mapIndexed { i, s ->
            ChainStage(servers[i].address, checkNotNull(s.layers) { "a stage runs layers" })
        }
        return Selection(servers[0], servers.map { it.id }, stages)
    }

    private fun planner(profile: EngineProfile): Planner {
        if (planners.size > KEPT_PROFILES) planners.clear()
        return planners.getOrPut(profile) {
            val costs = BatchingCosts(profile, links, inFlight::total, slowness)
            Planner(ShortestChain(costs, Random.Default), costs)
        }
    }

    private data class Planner(val chains: ShortestChain, val costs: BatchingCosts)

    private companion object {
        /** Models in use, and those of configurations that were replaced meanwhile. */
        const val KEPT_PROFILES = 16
        const val PERCENT = 100

        /** Of two random choices the better one is nearly as good as the best of all. */
        const val FIRST_STAGES_TRIED = 2
        const val REMOTE_WEIGHT = 0.4
        const val MIN_FREE = 0.05
    }
}
