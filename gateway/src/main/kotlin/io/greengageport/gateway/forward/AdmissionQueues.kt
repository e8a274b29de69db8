package io.greengageport.gateway.forward

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.greengageport.common.Clock
import io.greengageport.common.InstanceId
import io.greengageport.common.RankName
import io.greengageport.common.RequestError
import io.greengageport.common.RequestId
import io.greengageport.common.ServiceName
import io.greengageport.gateway.logging.DecisionLog
import io.greengageport.gateway.model.Configuration
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
 * Admits requests to models within the memory of the engines, the most urgent first.
 *
 * An engine that accepts a request beyond its memory evicts another one in the middle of its
 * response. Requests therefore queue here by rank, fairly between organisations, and are refused at
 * once if their caller would disconnect before their turn. Plain services are not queued: their
 * servers refuse requests when they are full, and a refusal costs little.
 */
internal class AdmissionQueues(
    private val self: InstanceId,
    private val capacity: ModelCapacity,
    private val inFlight: InFlightTable,
    private val instances: () -> Int,
    private val log: DecisionLog,
    private val clock: Clock
) {
    /** The queue of one service; [engine] is null if no configuration in force queues for it. */
    private class ServiceQueue(val controller: AdmissionController, var engine: EngineProfile?)

    private val queues = HashMap<ServiceName, ServiceQueue>()
    private val fleetShare = FleetShare(equalShareWeight = EQUAL_SHARE_WEIGHT)

    /** Number of requests that were passed to a queue. */
    private var admissions = 0L

    /**
     * Applies the ranks and models of a new configuration. If a service was removed or has become a
     * plain service, its waiting requests are refused at once: its engines admit no more requests,
     * and a retry is routed by the new configuration.
     */
    fun onConfiguration(configuration: Configuration) {
        val priorities = configuration.routes.routes.mapTo(sortedSetOf()) { it.priority }
        configuration.organisationsByKey?.values?.mapNotNullTo(priorities) { it.priority }
        val settings = QueueSettings(rankPolicies(priorities.toList()))
        for ((name, queue) in queues) {
            if (configuration.services[name]?.engine != null) continue
            queue.engine = null
            queue.controller.refuseQueued()
        }
        for (s in configuration.services.values) {
            val engine = s.engine ?: continue
            val queue = queues.getOrPut(s.name) { ServiceQueue(newController(settings), engine) }
            queue.engine = engine
            queue.controller.updateSettings(settings)
        }
        updateCapacities()
    }

    /**
     * Waits until [context] is admitted. Returns its permit, null if the service is not queued, or
     * the reason for a refusal. [firstEventMillis] is the usual upper bound of the time from the
     * start of an attempt to its first event.
     */
    suspend fun admit(
        context: RequestContext,
        firstEventMillis: Long
    ): Result<Permit?, RequestError> {
        val queue = queues[context.service.name]?.takeIf { it.engine != null } ?: return Ok(null)
        // The deadline can be earlier than the end of the silence that the caller tolerates.
        val maxWaitMillis = minOf(
            (context.toleratedSilenceMillis * QUEUE_WAIT_SHARE).toLong(),
            context.deadlineAtMillis - context.arrivedAtMillis
        ) - firstEventMillis
        return queue.controller.admit(
            QueuedRequest(
                id = queueId(context.id),
                rank = rankName(context.priority),
                organisation = context.organisationName,
                estimatedTokens = context.expectedTokens.toLong().coerceAtLeast(1),
                deadlineMillis = context.arrivedAtMillis + maxOf(maxWaitMillis, MIN_WAIT_MILLIS)
            )
        )
    }

    /**
     * Returns an id under which a queue knows one admission. The id of a request does not suffice:
     * callers choose it, and may use one twice at a time.
     */
    private fun queueId(request: RequestId) =
        RequestId("${request.value}$ADMISSION_SEPARATOR${admissions++}")

    /** Returns the number of admitted requests by service, for reports to peers. */
    fun admitted(): Map<ServiceName, Int> = queues.mapValues { it.value.controller.state.inFlight }

    /** Updates the capacities from the state of the fleet until cancelled. */
    suspend fun run() {
        while (true) {
            delay(UPDATE_INTERVAL_MILLIS)
            updateCapacities()
        }
    }

    private fun updateCapacities() {
        // A queue without a profile is kept until its last request has ended, so that the service,
        // if a later configuration adds it again, counts the requests that its engines still run.
        queues.values.removeIf { it.engine == null && it.controller.state.inFlight == 0 }
        for ((service, queue) in queues) {
            val engine = queue.engine ?: continue
            queue.controller.updateCapacity(capacityOf(service, queue.controller, engine))
            queue.controller.tick()
        }
    }

    private fun capacityOf(
        service: ServiceName,
        controller: AdmissionController,
        engine: EngineProfile
    ): Capacity {
        val total = capacity.requests(service, engine) * USABLE_MEMORY_SHARE
        val own = controller.state.inFlight.toDouble()
        val peerRequests = inFlight.requestsOfPeers(service)
        // Without reports from the peers, each is assumed to have admitted as many requests as
        // this instance.
        val used = if (peerRequests == null) own * instances() else own + peerRequests
        return fleetShare.capacity(FleetLoad(total, used), OwnLoad(own), instances())
    }

    private fun newController(settings: QueueSettings) = AdmissionController(
        clock = clock,
        queue = FairQueue(settings),
        limits = OrganisationLimits({ null }, UsageReporter(self, { null })),
        capacity = Capacity(slots = 0),
        observer = ::logDecision
    )

    private fun logDecision(decision: AdmissionDecision) {
        if (decision.outcome == AdmissionOutcome.ADMITTED && decision.waitedMillis == 0L) return
        log.record(
            "admission",
            decision.outcome.name.lowercase(),
            "request" to decision.request.id.value.substringBeforeLast(ADMISSION_SEPARATOR),
            "rank" to decision.request.rank,
            "organisation" to decision.request.organisation,
            "waited_ms" to decision.waitedMillis,
            "retry_after_ms" to decision.retryAfterMillis
        )
    }

    private fun rankPolicies(priorities: List<Int>): List<RankPolicy> {
        val nonEmpty = priorities.ifEmpty { listOf(0) }
        return nonEmpty.mapIndexed { i, p ->
            RankPolicy(
                name = rankName(p),
                priority = p,
                floorShare = if (i == 0) 0.0 else LOWER_RANKS_FLOOR_SHARE / (nonEmpty.size - 1),
                maxSlotShare = (1 - RESERVED_SLOT_SHARE_PER_RANK * i).coerceAtLeast(MIN_SLOT_SHARE)
            )
        }
    }

    private fun rankName(priority: Int) = RankName(priority.toString())

    private companion object {
        const val ADMISSION_SEPARATOR = '#'
        const val UPDATE_INTERVAL_MILLIS = 200L

        /** Low weight of the equal share, because callers are spread unevenly over instances. */
        const val EQUAL_SHARE_WEIGHT = 0.1

        /** Share of the memory to fill; the lengths of responses are not known in advance. */
        const val USABLE_MEMORY_SHARE = 0.85

        /**
         * Share of the silence that a caller tolerates for which a request may queue; the rest is
         * left for its response.
         */
        const val QUEUE_WAIT_SHARE = 0.8
        const val MIN_WAIT_MILLIS = 50L

        /**
         * Share of the capacity that the lower ranks together keep while more urgent requests fill
         * the queue.
         */
        const val LOWER_RANKS_FLOOR_SHARE = 0.1

        /** Share of the slots that each rank leaves to more urgent ranks. */
        const val RESERVED_SLOT_SHARE_PER_RANK = 0.08
        const val MIN_SLOT_SHARE = 0.5
    }
}
