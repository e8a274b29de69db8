package io.greengageport.entry

import com.github.michaelbull.result.Result
import io.greengageport.common.Clock
import io.greengageport.common.OrganisationName
import io.greengageport.common.RequestError
import io.greengageport.common.ServiceName
import io.greengageport.limits.AdmissionController
import io.greengageport.limits.AdmissionDecision
import io.greengageport.limits.Capacity
import io.greengageport.limits.CapacityFeed
import io.greengageport.limits.FairQueue
import io.greengageport.limits.FifoQueue
import io.greengageport.limits.FleetLoad
import io.greengageport.limits.OrganisationLimits
import io.greengageport.limits.Permit
import io.greengageport.limits.QueueSettings
import io.greengageport.limits.QueuedRequest
import io.greengageport.limits.RankPolicy
import io.greengageport.limits.WorkEstimator
import io.greengageport.routing.FleetBound
import io.greengageport.settings.OrganisationSettings
import io.greengageport.settings.Service
import io.greengageport.settings.SettingsPath
import io.greengageport.settings.SettingsView
import java.util.concurrent.ConcurrentHashMap
import kotlin.math.roundToLong
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.tinylog.kotlin.Logger

/** Admits the requests of one service within this instance's share of the fleet's capacity. */
internal class ServiceAdmission(
    clock: Clock,
    private val controller: AdmissionController,
    private val work: WorkEstimator = WorkEstimator()
) {
    private val capacityFeed = CapacityFeed(clock, controller)

    /** Moving average of the time between two tokens, in milliseconds; 0 while unknown. */
    @Volatile
    private var tokenGapMillis = 0.0

    /** The numbers of queued and running requests and the slots. */
    val state get() = controller.state

    /**
     * Waits until the request may run, and returns its permit or the error with which it is
     * refused. Its cost is [promptTokens] plus the expected length of the answer, which is at most
     * [maxTokens].
     */
    suspend fun admit(
        context: RequestContext,
        promptTokens: Int,
        maxTokens: Int
    ): Result<Permit, RequestError> {
        val tokens = work.estimate(
            context.organisation.name,
            context.service.name,
            promptTokens.toLong(),
            maxTokens.toLong()
        )
        val output = maxOf(0, tokens - promptTokens)
        val expectedServeMillis = (output * tokenGapMillis).roundToLong()
        return controller.admit(
            QueuedRequest(
                id = context.id,
                rank = context.rank.name,
                organisation = context.organisation.name,
                estimatedTokens = tokens,
                deadlineMillis = context.latestStartMillis(expectedServeMillis)
            )
        )
    }

    /** Records the length of a complete answer for later estimates. */
    fun recordAnswerLength(context: RequestContext, tokens: Int): Unit =
        work.record(context.organisation.name, context.service.name, tokens.toLong())

    /** Adds the mean time between tokens of a finished attempt to the moving average. */
    fun recordTokenGap(millis: Double) {
        val old = tokenGapMillis
        tokenGapMillis = if (old == 0.0) millis else old + TOKEN_GAP_SMOOTHING * (millis - old)
    }

    /** Samples the current load, to be compared later with load reports of the same time. */
    fun recordOwnLoad(): Unit = capacityFeed.recordOwnLoad()

    /** Sets the capacity from the load of the whole fleet, which was reported [ageMillis] ago. */
    fun updateCapacity(load: FleetLoad, ageMillis: Long, liveInstances: Int): Unit =
        capacityFeed.onReports(load, ageMillis, maxOf(1, liveInstances))

    /** Applies new queue settings. */
    fun updateSettings(settings: QueueSettings): Unit = controller.updateSettings(settings)

    /** Refuses new requests; queued and running ones continue. */
    fun stopAdmitting(): Unit = controller.stopAdmitting()

    /** Admits queued requests until cancelled. */
    suspend fun run(): Unit = controller.run()

    private companion object {
        const val TOKEN_GAP_SMOOTHING = 0.1
    }
}

/** The admission of all services, updated from the settings and the state of the fleet. */
internal class Admissions(
    private val clock: Clock,
    private val scope: CoroutineScope,
    private val backends: BackendFleet,
    private val limits: OrganisationLimits,
    private val policies: PolicyConfig,
    private val metrics: EntryMetrics,
    private val decisions: DecisionLog
) {
    private val services = ConcurrentHashMap<String, ServiceAdmission>()
    private val work = WorkEstimator()

    /** Whether the fleet had no capacity for a service according to the last load reports. */
    private val hasNoCapacity = ConcurrentHashMap<ServiceName, Boolean>()

    @Volatile
    private var isStopping = false

    /** Returns the admission of [service]; creates it on first use. */
    fun of(service: Service, view: SettingsView): ServiceAdmission =
        services.computeIfAbsent(service.name.value) { create(view) }

    /** Queue state by service name. */
    fun states() = services.mapValues { it.value.state }

    /** Applies the settings of [view] to all queues and the fleet. */
    fun updateSettings(view: SettingsView) {
        if (view.ranks.isNotEmpty()) {
            val q = queueSettings(view)
            services.values.forEach { it.updateSettings(q) }
        }
        for (s in view.services) backends.fleet.setLayers(s.name, s.settings.model?.layers ?: 0)
    }

    /** Sets the capacity of all services from the listed runners and their load reports. */
    fun updateCapacity(view: SettingsView, liveInstances: Int) {
        val gapMillis = RankSlots(view.ranks.map { it.settings }).largestGapMillis
        for (s in view.services) {
            val admission = of(s, view)
            admission.recordOwnLoad()
            val reports = backends.reports(s.name)
            val newestMillis = reports.maxOfOrNull { it.reportedAtMillis } ?: 0
            val ageMillis = maxOf(0, clock.wallMillis() - newestMillis)
            val load = fleetLoad(s, reports.sumOf { it.running }, gapMillis)
            logCapacity(s, load)
            admission.updateCapacity(load, ageMillis, liveInstances)
        }
    }

    /** Logs when a service loses or regains capacity, so that operators see why it is refused. */
    private fun logCapacity(s: Service, load: FleetLoad) {
        val isWithoutCapacity = load.slots <= 0
        if (hasNoCapacity.put(s.name, isWithoutCapacity) == isWithoutCapacity) return
        val slots = "%.1f".format(load.slots)
        val ejected = backends.outliers.ejectedRunners().sorted()
        Logger.info("limits: service=${s.name} capacity slots=$slots ejected=$ejected")
    }

    /** Refuses new requests of all services; queued and running ones continue. */
    fun stopAdmitting() {
        isStopping = true
        services.values.forEach { it.stopAdmitting() }
    }

    private fun fleetLoad(s: Service, running: Int, gapMillis: Double): FleetLoad {
        val fleet = backends.fleet.service(s.name)
        if (s.settings.plain != null) {
            val live = fleet.runners.count { !it.isLeaving }
            return FleetLoad(live * PLAIN_SLOTS_PER_RUNNER, running.toDouble())
        }
        val bound = FleetBound.of(fleet, backends.outliers.ejectedRunners())
        // Little's law: the number of streams that saturate the fleet at the allowed token gap.
        val slots = bound.tokensPerSecond * gapMillis / MILLIS_PER_SECOND
        return FleetLoad(slots, running.toDouble())
    }

    private fun create(view: SettingsView): ServiceAdmission {
        val q = queueSettings(view)
        val controller = AdmissionController(
            clock = clock,
            queue = if (policies.queue == QueuePolicy.FIFO) FifoQueue(q) else FairQueue(q),
            limits = limits,
            capacity = Capacity(INITIAL_SLOTS),
            observer = ::recordDecision
        )
        val admission = ServiceAdmission(clock, controller, work)
        scope.launch { admission.run() }
        if (isStopping) admission.stopAdmitting()
        return admission
    }

    private fun recordDecision(d: AdmissionDecision) {
        val seconds = d.waitedMillis / MILLIS_PER_SECOND
        metrics.queueWait.labelValues(d.request.rank.value).observe(seconds)
        decisions.record(
            d.request.id,
            "limits",
            "outcome=${d.outcome.name.lowercase()} rank=${d.request.rank} " +
                "organisation=${d.request.organisation} waited_ms=${d.waitedMillis}" +
                (d.retryAfterMillis?.let { " retry_after_ms=$it" } ?: "")
        )
    }

    companion object {
        private const val MILLIS_PER_SECOND = 1_000.0
        private const val PLAIN_SLOTS_PER_RUNNER = 64.0

        /** Concurrent requests that are admitted before the first load reports arrive. */
        private const val INITIAL_SLOTS = 16

        /** Derives the queue settings from the settings of [view]. */
        fun queueSettings(view: SettingsView): QueueSettings {
            val slots = RankSlots(view.ranks.map { it.settings })
            val ranks = view.ranks.map {
                RankPolicy(
                    name = it.name,
                    priority = it.settings.priority,
                    floorShare = it.settings.floorShare,
                    firstTokenTargetMillis = it.settings.firstTokenMillis.toLong(),
                    maxSlotShare = slots.shareOf(it.settings)
                )
            }
            return QueueSettings(
                ranks = ranks,
                weights = view.documents(SettingsPath("organisations"))
                    .entries
                    .mapNotNull { (p, d) ->
                        val o = d as? OrganisationSettings
                        o?.let { OrganisationName(p.name) to it.weight }
                    }
                    .filter { it.second != 1.0 }
                    .toMap()
            )
        }
    }
}
