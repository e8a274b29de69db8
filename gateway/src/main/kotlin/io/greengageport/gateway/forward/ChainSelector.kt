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

/** Selects the chain of engines of a model with the shortest expected response time. */
internal class ChainSelector(
    private val directory: BackendDirectory,
    private val fleet: Fleet,
    private val inFlight: InFlightTable,
    private val links: LinkEstimator,
    private val ejectedServers: () -> Set<RunnerId>,
    private val slowness: (RunnerId) -> Double,
    private val ownDataCentre: DataCentre,
    private val log: DecisionLog
) : ServerSelector {
    /**
     * Keyed by identity, because a lookup happens for each request and a comparison of profiles by
     * value costs more. Each configuration has its own profile objects.
     */
    private val planners = IdentityHashMap<EngineProfile, PlannerEntry>()

    override fun select(context: RequestContext, excluded: Set<RunnerId>): Selection? {
        val profile = checkNotNull(context.service.engine) { "the service has no engine profile" }
        if (fleet.service(context.service.name).isPlain) {
            // A newer configuration than that of the request has made the service a plain one. Its
            // servers have no accelerators any more, without which no cost can be computed.
            log.record("route", "no_chain", "request" to context.id, "why" to "no layers")
            return null
        }
        val (planner, costs) = plannerFor(profile)
        // Ejected engines are used only if no chain exists without them.
        val unavailable = excluded + ejectedServers()
        val unsampled = unsampledFirstStages(context.service.name, unavailable, costs)
        val sampled = plan(planner, context, unavailable + unsampled)
        val healthy = if (sampled.isErr) plan(planner, context, unavailable) else sampled
        val choice = if (healthy.isErr) plan(planner, context, excluded) else healthy
        return choice.fold({ toSelection(context, it, costs) }) { failure ->
            log.record("route", "no_chain", "request" to context.id, "why" to failure)
            null
        }
    }

    /**
     * Returns all first stages except two, which are sampled at random with weights by their free
     * slots and a preference for the own data centre. The load from peers is known up to two
     * seconds late, so instances that all selected the best copy would overload it together.
     */
    private fun unsampledFirstStages(
        service: ServiceName,
        excluded: Set<RunnerId>,
        costs: BatchingCosts
    ): Set<RunnerId> {
        val firstStages = fleet.service(service).runners
            .filter { it.layers?.from == 0 && it.id !in excluded }
        if (firstStages.size <= SAMPLED_FIRST_STAGES) return emptySet()
        val weights = firstStages.associateWithTo(HashMap()) { weightOf(it, costs) }
        repeat(SAMPLED_FIRST_STAGES) { weights -= sample(weights) }
        return weights.keys.mapTo(HashSet()) { it.id }
    }

    private fun weightOf(runner: Runner, costs: BatchingCosts): Double {
        val freeShare = maxOf(MIN_FREE_SHARE, 1 - costs.usedSlotShare(runner))
        return freeShare * freeShare *
            if (runner.dataCentre == ownDataCentre) 1.0 else REMOTE_WEIGHT
    }

    private fun sample(weights: Map<Runner, Double>): Runner {
        var remaining = Random.nextDouble() * weights.values.sum()
        for ((runner, weight) in weights) {
            remaining -= weight
            if (remaining < 0) return runner
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
            dataCentre = ownDataCentre,
            promptTokens = context.promptTokens,
            outputTokens = context.expectedAnswerTokens,
            excluded = excluded
        )
    )

    /**
     * Logs [decision] and returns it as a selection, or null if the directory no longer has one of
     * its engines.
     */
    private fun toSelection(
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
                    costs.usedMemoryShare(it.runner)
                } * PERCENT
                ).toInt(),
            "chain" to decision.stages.joinToString(">") { "${it.id}${it.layers}" }
        )
        val servers = decision.stages.map { directory.find(it.runner.id) ?: return null }
        val stages = decision.stages.mapIndexed { i, s ->
            ChainStage(servers[i].address, checkNotNull(s.layers) { "a chain stage has no layers" })
        }
        return Selection(servers[0], servers.map { it.id }, stages)
    }

    private fun plannerFor(profile: EngineProfile): PlannerEntry {
        if (planners.size > MAX_CACHED_PLANNERS) planners.clear()
        return planners.getOrPut(profile) {
            val costs = BatchingCosts(profile, links, inFlight::fleetLoad, slowness)
            PlannerEntry(ShortestChain(costs, Random.Default), costs)
        }
    }

    private data class PlannerEntry(val planner: ShortestChain, val costs: BatchingCosts)

    private companion object {
        /** Room for the models in use and those of replaced configurations. */
        const val MAX_CACHED_PLANNERS = 16
        const val PERCENT = 100

        /** The better of two random choices is nearly as good as the best of all. */
        const val SAMPLED_FIRST_STAGES = 2

        /** Factor on the weight of a first stage in another data centre. */
        const val REMOTE_WEIGHT = 0.4

        /** Free share assumed for a full engine, so that its weight stays positive. */
        const val MIN_FREE_SHARE = 0.05
    }
}
