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

/** Admission of the requests of one service, with the capacity that this instance may use. */
internal class ServiceAdmission(
    clock: Clock,
    private val controller: AdmissionController,
    private val work: WorkEstimator = WorkEstimator()
) {
    private val feed = CapacityFeed(clock, controller)

    /** Smoothed time between two tokens, in milliseconds; 0 while unknown. */
    @Volatile
    private var tokenGapMillis = 0.0

    val state get() = controller.state

    /**
     * Waits until the request may run. Its work is the prompt and the expected answer, which is at
     * most [maxTokens].
     */
    suspend fun admit(
        c: RequestContext,
        promptTokens: Int,
        maxTokens: Int
    ): Result<Permit, RequestError> {
        val tokens = work.estimate(
            c.organisation.name,
            c.service.name,
            promptTokens.toLong(),
            maxTokens.toLong()
        )
        val output = maxOf(0, tokens - promptTokens)
        val serveMillis = (output * tokenGapMillis).roundToLong()
        return controller.admit(
            QueuedRequest(
                id = c.id,
                rank = c.rank.name,
                organisation = c.organisation.name,
                estimatedTokens = tokens,
                deadlineMillis = c.latestStart(serveMillis)
            )
        )
    }

    /** Takes in the length of a complete answer. */
    fun observeAnswer(c: RequestContext, tokens: Int): Unit =
        work.record(c.organisation.name, c.service.name, tokens.toLong())

    /** Takes in the mean gap of a finished answer. */
    fun observeGap(millis: Double) {
        val old = tokenGapMillis
        tokenGapMillis = if (old == 0.0) millis else old + GAP_WEIGHT * (millis - old)
    }

    /** Remembers the present load, to compare it with reports of this time later. */
    fun sample(): Unit = feed.sample()

    /** Sets the capacity from the load of the whole fleet, reported [ageMillis] ago. */
    fun updateCapacity(load: FleetLoad, ageMillis: Long, liveInstances: Int): Unit =
        feed.onReports(load, ageMillis, maxOf(1, liveInstances))

    fun updateSettings(settings: QueueSettings): Unit = controller.updateSettings(settings)

    fun stopAdmitting(): Unit = controller.stopAdmitting()

    suspend fun run(): Unit = controller.run()

    private companion object {
        const val GAP_WEIGHT = 0.1
    }
}

/** The admission of all services; follows the settings and the fleet. */
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

    /** Whether the fleet had no capacity at all for a service at the last reports. */
    private val without = ConcurrentHashMap<ServiceName, Boolean>()

    @Volatile
    private var isStopping = false

    /** The admission of [service]. */
    fun of(service: Service, view: SettingsView): ServiceAdmission =
        services.computeIfAbsent(service.name.value) { create(view) }

    /** Numbers of queued and running requests by service. */
    fun states() = services.mapValues { it.value.state }

    /** Applies new settings to all queues. */
    fun onSettings(view: SettingsView) {
        if (view.ranks.isNotEmpty()) {
            val q = queueSettings(view)
            services.values.forEach { it.updateSettings(q) }
        }
        for (s in view.services) backends.fleet.setLayers(s.name, s.settings.model?.layers ?: 0)
    }

    /** Sets the capacity of all services from the listed runners and their load reports. */
    fun updateCapacity(view: SettingsView, liveInstances: Int) {
        val gap = RankSlots(view.ranks.map { it.settings }).largestGapMillis
        for (s in view.services) {
            val a = of(s, view)
            a.sample()
            val reports = backends.reports(s.name)
            val newest = reports.maxOfOrNull { it.reportedAtMillis } ?: 0
            val age = maxOf(0, clock.wallMillis() - newest)
            val load = fleetLoad(s, reports.sumOf { it.running }, gap)
            logCapacity(s, load)
            a.updateCapacity(load, age, liveInstances)
        }
    }

    /** A service that nothing can run is refused as a whole, which operators have to see. */
    private fun logCapacity(s: Service, load: FleetLoad) {
        val isNone = load.slots <= 0
        if (without.put(s.name, isNone) == isNone) return
        val slots = "%.1f".format(load.slots)
        val ejected = backends.outliers.ejected().sorted()
        Logger.info("limits: service=${s.name} capacity slots=$slots ejected=$ejected")
    }

    /** Refuses new requests; queued and running ones go on. */
    fun stopAdmitting() {
        isStopping = true
        services.values.forEach { it.stopAdmitting() }
    }

    private fun fleetLoad(s: Service, running: Int, gapMillis: Double): FleetLoad {
        val fleet = backends.fleet.service(s.name)
        if (s.settings.plain != null) {
            val live = fleet.runners.count { !it.leaving }
            return FleetLoad(live * PLAIN_SLOTS_PER_RUNNER, running.toDouble())
        }
        val bound = FleetBound.of(fleet, backends.outliers.ejected())
        // By Little's law this many streams keep the fleet busy while tokens arrive on time.
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
            observer = ::observe
        )
        val a = ServiceAdmission(clock, controller, work)
        scope.launch { a.run() }
        if (isStopping) a.stopAdmitting()
        return a
    }

    private fun observe(d: AdmissionDecision) {
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

        /** Requests at a time before the first load reports arrive. */
        private const val INITIAL_SLOTS = 16

        /** The queue settings of a settings version. */
        fun queueSettings(view: SettingsView): QueueSettings {
            val slots = RankSlots(view.ranks.map { it.settings })
            val ranks = view.ranks.map {
                RankPolicy(
                    name = it.name,
                    priority = it.settings.priority,
                    floorShare = it.settings.floorShare,
                    firstTokenTargetMillis = it.settings.firstTokenMillis.toLong(),
                    slotShare = slots.shareOf(it.settings)
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
