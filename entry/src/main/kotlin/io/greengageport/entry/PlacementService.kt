package io.greengageport.entry

import io.greengageport.common.Clock
import io.greengageport.common.LayerRange
import io.greengageport.common.RunnerId
import io.greengageport.common.ServiceName
import io.greengageport.ledger.Lease
import io.greengageport.ledger.LeaseKeeper
import io.greengageport.ports.EngineOrder as WireOrder
import io.greengageport.ports.ListedRunner
import io.greengageport.ports.LogService
import io.greengageport.ports.OrderRequest
import io.greengageport.routing.Assignment
import io.greengageport.routing.EngineOrder
import io.greengageport.routing.ModelDemand
import io.greengageport.routing.PlaceableRunner
import io.greengageport.routing.PlacementObstacle
import io.greengageport.routing.PlacementPlanner
import io.greengageport.routing.RunnerRole
import io.greengageport.settings.Service
import io.greengageport.settings.SettingsView
import io.ktor.client.HttpClient
import io.ktor.client.plugins.timeout
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import kotlin.random.Random
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import org.tinylog.kotlin.Logger

/**
 * Compares what runners hold with what the settings ask for and gives orders to engines.
 *
 * One instance at a time does so, under a lease whose token goes with each order. Orders name the
 * state that the engine shall reach, so a repeated or late one does no harm.
 */
internal class PlacementService(
    private val clock: Clock,
    log: LogService,
    config: InstanceConfig,
    private val backends: BackendFleet,
    private val view: () -> SettingsView,
    private val client: HttpClient,
    random: Random
) {
    private class Pending(val wanted: Assignment, val sentAt: Long)

    private val leases = LeaseKeeper(log, config.instance, clock, random)
    private val planner = PlacementPlanner(clock)
    private val pending = ConcurrentHashMap<RunnerId, Pending>()
    private val assignedAt = ConcurrentHashMap<RunnerId, Long>()
    private var holding: Job? = null
    private var lastObstacles: List<PlacementObstacle> = emptyList()

    /** Whether this instance holds the placement lease. */
    @Volatile
    var isHolder: Boolean = false
        private set

    suspend fun run(): Unit = coroutineScope {
        launch { leases.run() }
        holding = launch {
            while (isActive) {
                // The wait for orders of the holder before is needed if any service's engines
                // ignore fencing tokens.
                val checked = modelServices().all { it.settings.model?.checksFencing == true }
                leases.withLease(LEASE, engineChecksTokens = checked) { reconcile(it) }
                isHolder = false
            }
        }
    }

    /** Gives the lease up, so that another instance can go on at once. */
    suspend fun release() {
        holding?.cancel()
        holding?.join()
    }

    private suspend fun reconcile(lease: Lease): Unit = coroutineScope {
        isHolder = true
        pending.clear()
        while (lease.isValid()) {
            step(this, lease)
            delay(PERIOD_MILLIS)
        }
    }

    private fun step(scope: CoroutineScope, lease: Lease) {
        val models = modelServices().map(::demand)
        if (models.isEmpty()) return
        val services = models.map { it.service }.toSet()
        val runners = backends.all().filter { it.service in services }
            .filterNot { backends.isLeaving(it.id) }
            .mapNotNull(::placeable)
        val plan = planner.plan(models, runners)
        for (o in plan.orders) {
            val sent = pending[o.runner]
            if (sent == null && movesOf(o.desired.service) >= maxMoves(o.desired.service)) continue
            // No new work reaches the runner meanwhile, so that the order cuts no answer.
            backends.hold(o.runner, HOLD_MILLIS)
            if (sent?.wanted == o.desired && !isDue(sent)) continue
            Logger.info(o.logLine())
            pending[o.runner] = Pending(o.desired, clock.monotonicMillis())
            scope.launch { send(o, lease) }
        }
        if (plan.obstacles != lastObstacles) {
            plan.obstacles.forEach { Logger.info("placement: obstacle $it") }
            lastObstacles = plan.obstacles
        }
    }

    private fun movesOf(service: ServiceName) = pending.values.count {
        it.wanted.service == service
    }

    private fun maxMoves(service: ServiceName): Int =
        view().service(service)?.settings?.model?.placement?.maxConcurrentMoves ?: 0

    private suspend fun send(o: EngineOrder, lease: Lease) {
        val address = backends.fleet.runner(o.runner)?.address ?: return
        val order = WireOrder(
            service = o.desired.service,
            version = o.desired.version,
            layers = o.desired.layers,
            adapters = o.desired.adapters.sorted(),
            role = o.desired.role.name.lowercase()
        )
        // A holder that was paused past its lease must not send what it had planned before.
        if (!lease.isValid()) return
        try {
            val r = client.post("http://$address/v1/orders") {
                timeout { requestTimeoutMillis = ORDER_TIMEOUT_MILLIS }
                setBody(OrderRequest(order, lease.token).toJson())
            }
            Logger.info("placement: runner=${o.runner} answered status=${r.status.value}")
        } catch (e: IOException) {
            Logger.warn("placement: runner=${o.runner} did not answer: $e")
        }
    }

    private fun isDue(p: Pending) = clock.monotonicMillis() - p.sentAt > REPEAT_MILLIS

    private fun modelServices(): List<Service> = view().services.filter {
        it.settings.model != null
    }

    private fun demand(s: Service): ModelDemand {
        val model = requireNotNull(s.settings.model) { "not a model service" }
        val running = backends.reports(s.name).sumOf { it.running }
        return ModelDemand(
            service = s.name,
            layers = model.layers,
            tokensPerSecond = running * TOKENS_PER_SECOND_OF_A_STREAM,
            bytesPerLayer = BYTES_PER_LAYER,
            version = model.version,
            adapters = model.adapters.toSet(),
            minCopies = model.placement.minCopies,
            maxCopies = model.placement.maxCopies,
            furtherVersions = model.versions - model.version
        )
    }

    private fun placeable(l: ListedRunner): PlaceableRunner? {
        val report = backends.report(l.id) ?: return null
        val layers: LayerRange = report.layers ?: l.layers ?: return null
        val role = if (report.isStandby) RunnerRole.STANDBY else RunnerRole.SERVING
        val current = Assignment(l.service, layers, report.version, role)
        val sent = pending[l.id]
        if (sent?.wanted?.sameLoad(current) == true) {
            pending.remove(l.id)
            backends.hold(l.id, millis = 0)
            assignedAt[l.id] = clock.monotonicMillis()
        }
        return PlaceableRunner(
            id = l.id,
            dataCentre = l.dataCentre,
            accelerator = l.accelerator,
            memoryBytes = layers.size * BYTES_PER_LAYER,
            layerTokensPerSecond = report.tokensPerSecond * layers.size,
            current = current,
            pending = pending[l.id]?.wanted,
            assignedAtMillis = assignedAt[l.id]
        )
    }

    private fun Assignment.sameLoad(other: Assignment) =
        layers == other.layers && version == other.version && role == other.role

    private companion object {
        const val LEASE = "placement"
        const val PERIOD_MILLIS = 2_000L
        const val ORDER_TIMEOUT_MILLIS = 5_000L
        const val HOLD_MILLIS = 6_000L
        const val REPEAT_MILLIS = 10_000L
        const val BYTES_PER_LAYER = 1L shl 30

        /** A stream at the target of 57 ms between tokens. */
        const val TOKENS_PER_SECOND_OF_A_STREAM = 17.5
    }
}
