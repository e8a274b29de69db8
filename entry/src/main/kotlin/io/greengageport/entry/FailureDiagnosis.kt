package io.greengageport.entry

import io.greengageport.common.RunnerId
import io.greengageport.ports.RouteHop
import io.greengageport.routing.RoutingDecision
import io.greengageport.routing.SuspectState
import io.greengageport.routing.SuspectVerdict

/**
 * Finds out which stages of a failed attempt are to blame, by asking each of them, and tells the
 * outlier detector, the record of suspect requests and the other instances.
 *
 * ```
 * excluded += FailureDiagnosis(parts, context).of(decision, end)
 * ```
 */
internal class FailureDiagnosis(
    private val parts: ModelParts,
    private val context: RequestContext
) {
    private val backends = parts.backends
    private val suspects = parts.backends.suspects

    /** The runners that the next attempt has to avoid. */
    suspend fun of(d: RoutingDecision, end: StreamEnd): Set<RunnerId> {
        val head = d.stages.first()
        if (end is StreamEnd.Refused) {
            if (end.leaving) backends.markLeaving(head.id, head.runner.address)
            suspects.ended(context.id)
            return setOf(head.id)
        }
        // A request that reached no runner can't have crashed one.
        if (end is StreamEnd.Unreachable) suspects.ended(context.id)
        val hops = d.stages.map { RouteHop(it.id, it.runner.address, 0, 1) }
        val isBroken = end is StreamEnd.Broken
        val results = if (isBroken) parts.probe.probeBroken(hops) else parts.probe.probe(hops)
        val refused = results.filterValues { it == ProbeResult.Refused }.keys.map { it.runner }
        if (refused.size > 1) suspects.machinesFailed(refused)
        val lost = results.filter { (hop, result) -> isLost(hop, result) }.keys.map { it.runner }
        suspects.ended(context.id)
        // With all stages alive the fault lies between them, so the first one is replaced too.
        return lost.ifEmpty { listOf(head.id) }.toSet()
    }

    private suspend fun isLost(hop: RouteHop, result: ProbeResult): Boolean = when (result) {
        ProbeResult.Refused -> {
            noteLoss(hop)
            suspects.connectionRefused(hop.runner).forEach { publish(it) }
            true
        }

        ProbeResult.Silent -> {
            // A process that is just ending may still take connections.
            noteLoss(hop)
            true
        }

        is ProbeResult.Answered -> {
            result.report?.let { r ->
                suspects.bootId(hop.runner, r.bootId, r.reportedAtMillis).forEach { publish(it) }
                if (r.leaving) backends.markLeaving(hop.runner, hop.address)
            }
            false
        }
    }

    private fun noteLoss(hop: RouteHop) {
        if (backends.isNewLoss(hop)) suspects.connectionLost(hop.runner)
        backends.silent(hop.runner, context.service.name)
    }

    /** Publishes what is known of a suspect request, a block before its caller is answered. */
    private suspend fun publish(state: SuspectState) {
        backends.publish(state)
        val isBlock = state.verdict(parts.clock.wallMillis()) == SuspectVerdict.BLOCKED
        if (isBlock) parts.suspects.announceBlock(state)
    }
}
