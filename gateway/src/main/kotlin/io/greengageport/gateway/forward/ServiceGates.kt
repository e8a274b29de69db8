package io.greengageport.gateway.forward

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.greengageport.common.Clock
import io.greengageport.common.InstanceId
import io.greengageport.common.RankName
import io.greengageport.common.RequestError
import io.greengageport.common.ServiceName
import io.greengageport.gateway.logging.DecisionLog
import io.greengageport.gateway.model.Configuration
import io.greengageport.gateway.model.Service
import io.greengageport.gateway.state.InFlightTable
import io.greengageport.limits.AdmissionController
import io.greengageport.limits.AdmissionDecision
import io.greengageport.limits.AdmissionOutcome
import io.greengageport.limits.Capacity
import io.greengageport.limits.FairQueue
import io.greengageport.limits.FleetLoad
import io.greengageport.limits.FleetShare
import io.greengageport.limits.OrganisationLimits
import io.greengageport.limits.OwnLoad
import io.greengageport.limits.Permit
import io.greengageport.limits.QueueSettings
import io.greengageport.limits.QueuedRequest
import io.greengageport.limits.RankPolicy
import io.greengageport.limits.UsageReporter
import io.greengageport.routing.EngineProfile
import io.greengageport.routing.ModelCapacity
import kotlinx.coroutines.delay

/**
 * Admits requests to models as far as the engines' memory goes, the most urgent first.
 *
 * A request that an engine takes beyond its memory pushes out another in the middle of its answer.
 * So requests wait here, by rank and fairly between organisations, and are refused at once when
 * their caller would have left before their turn. Plain services need no gate: their servers state
 * when they are full, and that costs little.
 */
internal class ServiceGates(
    private val self: InstanceId,
    private val capacity: ModelCapacity,
    private val inFlight: InFlightTable,
    private val instances: () -> Int,
    private val log: DecisionLog,
    private val clock: Clock
) {
    private class Gate(val controller: AdmissionController, var service: Service)

    private val gates = HashMap<ServiceName, Gate>()
    private val share = FleetShare(pull = EQUAL_PULL)

    /** Takes in the ranks and models of a new configuration. */
    fun onConfiguration(configuration: Configuration) {
        val priorities = configuration.routes.routes.mapTo(sortedSetOf()) { it.priority }
        configuration.organisationOfKey?.values?.mapNotNullTo(priorities) { it.priority }
        val settings = QueueSettings(ranks(priorities.toList()))
        for (s in configuration.services.values) {
            if (s.engine == null) continue
            val known = gates[s.name]
            if (known == null) {
                gates[s.name] = Gate(controller(settings), s)
            } else {
                known.service = s
                known.controller.updateSettings(settings)
            }
        }
        gates.keys.retainAll(configuration.services.keys)
        update()
    }

    /**
     * Waits for a place for [context]; null if its service needs none. [firstEventMillis] is the
     * usual time from the start of an attempt to its first event.
     */
    suspend fun admit(
        context: RequestContext,
        firstEventMillis: Long
    ): Result<Permit?, RequestError> {
        val gate = gates[context.service.name] ?: return Ok(null)
        val patience = (context.patienceMillis * PATIENCE_SHARE).toLong() - firstEventMillis
        return gate.controller.admit(
            QueuedRequest(
                id = context.id,
                rank = rank(context.priority),
                organisation = context.organisationName,
                estimatedTokens = context.tokens.toLong().coerceAtLeast(1),
                deadlineMillis = context.arrivedAtMillis + maxOf(patience, MIN_WAIT_MILLIS)
            )
        )
    }

    /** Admitted requests by service, to tell the peers. */
    fun admitted(): Map<ServiceName, Int> = gates.mapValues { it.value.controller.state.inFlight }

    /** Keeps capacities in step with the fleet until cancelled. */
    suspend fun run() {
        while (true) {
            delay(UPDATE_MILLIS)
            update()
        }
    }

    private fun update() {
        for (gate in gates.values) {
            val engine = gate.service.engine ?: continue
            gate.controller.updateCapacity(capacityOf(gate, engine))
            gate.controller.tick()
        }
    }

    private fun capacityOf(gate: Gate, engine: EngineProfile): Capacity {
        val total = capacity.requests(gate.service.name, engine) * USABLE_MEMORY
        val own = gate.controller.state.inFlight.toDouble()
        val peers = inFlight.requestsOfPeers(gate.service.name)
        val used = if (peers == null) own * instances() else own + peers
        return share.capacity(FleetLoad(total, used), OwnLoad(own), instances())
    }

    private fun controller(settings: QueueSettings) = AdmissionController(
        clock = clock,
        queue = FairQueue(settings),
        limits = OrganisationLimits({ null }, UsageReporter(self, { null })),
        capacity = Capacity(slots = 0),
        observer = ::record
    )

    private fun record(decision: AdmissionDecision) {
        if (decision.outcome == AdmissionOutcome.ADMITTED && decision.waitedMillis == 0L) return
        log.record(
            "admission",
            decision.outcome.name.lowercase(),
            "request" to decision.request.id,
            "rank" to decision.request.rank,
            "organisation" to decision.request.organisation,
            "waited_ms" to decision.waitedMillis,
            "retry_after_ms" to decision.retryAfterMillis
        )
    }

    private fun ranks(priorities: List<Int>): List<RankPolicy> {
        val all = priorities.ifEmpty { listOf(0) }
        return all.mapIndexed { i, p ->
            RankPolicy(
                name = rank(p),
                priority = p,
                floorShare = if (i == 0) 0.0 else LOWER_RANKS_FLOOR / (all.size - 1),
                slotShare = (1 - SLOTS_KEPT_PER_RANK * i).coerceAtLeast(MIN_SLOT_SHARE)
            )
        }
    }

    private fun rank(priority: Int) = RankName(priority.toString())

    private companion object {
        const val UPDATE_MILLIS = 200L

        /** The equal share pulls weakly: callers are spread unevenly over the instances. */
        const val EQUAL_PULL = 0.1

        /** Part of the memory that is given out; lengths of answers are not known beforehand. */
        const val USABLE_MEMORY = 0.85

        /** Part of a caller's patience that a request may wait; the rest is for its answer. */
        const val PATIENCE_SHARE = 0.8
        const val MIN_WAIT_MILLIS = 50L

        /** What the lower ranks keep together while more urgent ones fill the queue. */
        const val LOWER_RANKS_FLOOR = 0.1

        /** Each rank leaves this part of the slots to more urgent ones. */
        const val SLOTS_KEPT_PER_RANK = 0.08
        const val MIN_SLOT_SHARE = 0.5
    }
}
