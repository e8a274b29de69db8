package io.greengageport.entry

import io.greengageport.common.RunnerId
import io.greengageport.ports.RouteHop
import io.greengageport.routing.RoutingDecision
import io.greengageport.routing.SuspectState
import io.greengageport.routing.SuspectVerdict

/**
 * Determines which stages of a failed attempt have failed by probing each of them, and reports them
 * to the outlier detector, to the suspect requests and to the other instances.
 *
 * If no stage answers, and no other runner does either, this instance has lost its own network
 * path. That says nothing about runners or requests, so nothing is recorded.
 *
 * ```
 * excluded += FailureDiagnosis(deps, context).diagnose(decision, end)
 * ```
 */
internal class FailureDiagnosis(
    private val deps: ModelDependencies,
    private val context: RequestContext
) {
    private val backends = deps.backends
    private val suspects = deps.backends.suspects

    /** Returns the runners that the next attempt has to avoid. */
    suspend fun diagnose(decision: RoutingDecision, end: StreamEnd): Set<RunnerId> {
        val failedAtMillis = deps.clock.monotonicMillis()
        val firstStage = decision.stages.first()
        if (end is StreamEnd.Refused) {
            if (end.leaving) backends.markLeaving(firstStage.id, firstStage.runner.address)
            suspects.recordEnd(context.id)
            return setOf(firstStage.id)
        }
        // A request that reached no runner cannot have crashed one.
        if (end is StreamEnd.Unreachable) suspects.recordEnd(context.id)
        val hops = decision.stages.map { RouteHop(it.id, it.runner.address, 0, 1) }
        val isBroken = end is StreamEnd.Broken
        val results = if (isBroken) deps.probe.probeBroken(hops) else deps.probe.probe(hops)
        val stages = decision.stages.map { it.id }.toSet()
        val hasAnswer = results.values.any { it is ProbeResult.Answered }
        if (!hasAnswer && !deps.path.hasPath(failed = stages, failedAtMillis)) {
            suspects.recordEnd(context.id)
            return stages
        }
        val refused = results.filterValues { it == ProbeResult.Refused }.keys.map { it.runner }
        if (refused.size > 1) suspects.recordMachineFailure(refused)
        val unreachable = results.filter { (hop, result) -> recordProbe(hop, result) }
            .keys.map { it.runner }
        suspects.recordEnd(context.id)
        // If all stages are alive, the failure is between them, so the first one is excluded.
        return unreachable.ifEmpty { listOf(firstStage.id) }.toSet()
    }

    /** Records the result of a probe; returns whether the runner is unreachable. */
    private suspend fun recordProbe(hop: RouteHop, result: ProbeResult): Boolean = when (result) {
        ProbeResult.Refused -> {
            recordUnreachable(hop)
            suspects.recordRefusedConnection(hop.runner).forEach { publish(it) }
            true
        }

        ProbeResult.Silent -> {
            // A process that is stopping may still accept connections.
            recordUnreachable(hop)
            true
        }

        is ProbeResult.Answered -> {
            result.report?.let { report ->
                suspects.recordBootId(hop.runner, report.bootId, report.reportedAtMillis)
                    .forEach { publish(it) }
                if (report.leaving) backends.markLeaving(hop.runner, hop.address)
            }
            false
        }
    }

    private fun recordUnreachable(hop: RouteHop) {
        if (backends.markUnreachable(hop)) suspects.recordLostConnection(hop.runner)
        backends.ejectSilent(hop.runner, context.service.name)
    }

    /**
     * Publishes a suspect request. If it is blocked, returns only when each live instance has
     * confirmed the block or timed out, so that its caller is answered after that.
     */
    private suspend fun publish(state: SuspectState) {
        backends.publish(state)
        val isBlock = state.verdict(deps.clock.wallMillis()) == SuspectVerdict.BLOCKED
        if (isBlock) deps.suspects.announceBlock(state)
    }
}
