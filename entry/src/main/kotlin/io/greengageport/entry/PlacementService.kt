package io.greengageport.entry

import io.greengageport.common.Clock
import io.greengageport.common.LayerRange
import io.greengageport.common.RunnerId
import io.greengageport.common.ServiceName
import io.greengageport.ledger.Lease
import io.greengageport.ledger.LeaseManager
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
 * Reconciles the placement of models on runners with the settings by sending orders to engines.
 *
 * Only the instance that holds the placement lease does so, and each order carries the lease's
 * fencing token. Orders are idempotent, since they name the state that the engine has to reach; a
 * repeated or late order is harmless.
 */
internal class PlacementService(
    private val clock: Clock,
    log: LogService,
    config: InstanceConfig,
    private val backends: BackendFleet,
    private val settingsView: () -> SettingsView,
    private val client: HttpClient,
    random: Random
) {
    /** An order that was sent; [sentAtMillis] is in milliseconds of the monotonic clock. */
    private class SentOrder(val desired: Assignment, val sentAtMillis: Long)

    private val leases = LeaseManager(log, config.instance, clock, random)
    private val planner = PlacementPlanner(clock)
    private val sentOrders = ConcurrentHashMap<RunnerId, SentOrder>()
    private val assignedAtMillis = ConcurrentHashMap<RunnerId, Long>()
    private var leaseJob: Job? = null
    private var lastObstacles: List<PlacementObstacle> = emptyList()

    /** Whether this instance holds the placement lease. */
    @Volatile
    var isHolder: Boolean = false
        private set

    /** Acquires the lease whenever it is free and reconciles while holding it, until cancelled. */
    suspend fun run(): Unit = coroutineScope {
        launch { leases.run() }
        leaseJob = launch {
            while (isActive) {
                // If engines of any service ignore fencing tokens, a new holder has to wait until
                // orders of the previous one can no longer arrive.
                val isFencingChecked =
                    modelServices().all { it.settings.model?.checksFencing == true }
                leases.withLease(LEASE, engineChecksTokens = isFencingChecked) { reconcile(it) }
                isHolder = false
            }
        }
    }

    /** Releases the lease, so that another instance can take over at once. */
    suspend fun release() {
        leaseJob?.cancel()
        leaseJob?.join()
    }

    private suspend fun reconcile(lease: Lease): Unit = coroutineScope {
        isHolder = true
        sentOrders.clear()
        while (lease.isValid()) {
            sendDueOrders(this, lease)
            delay(RECONCILE_PERIOD_MILLIS)
        }
    }

    /**
     * Sends the orders of a new plan that are due, within the services' limits on concurrent moves.
     * An order that had no effect yet is sent again after [ORDER_REPEAT_MILLIS].
     */
    private fun sendDueOrders(scope: CoroutineScope, lease: Lease) {
        val models = modelServices().map(::modelDemand)
        if (models.isEmpty()) return
        val services = models.map { it.service }.toSet()
        val runners = backends.listedRunners().filter { it.service in services }
            .filterNot { backends.isLeaving(it.id) }
            .mapNotNull(::placeableRunner)
        val plan = planner.plan(models, runners)
        for (o in plan.orders) {
            val sent = sentOrders[o.runner]
            if (sent == null && movesOf(o.desired.service) >= maxMoves(o.desired.service)) continue
            // Holds back new work, so that the order interrupts no answer.
            backends.hold(o.runner, HOLD_MILLIS)
            if (sent?.desired == o.desired && !isRepeatDue(sent)) continue
            Logger.info(o.logLine())
            sentOrders[o.runner] = SentOrder(o.desired, clock.monotonicMillis())
            scope.launch { send(o, lease) }
        }
        if (plan.obstacles != lastObstacles) {
            plan.obstacles.forEach { Logger.info("placement: obstacle $it") }
            lastObstacles = plan.obstacles
        }
    }

    /** The number of runners of [service] with unfinished orders. */
    private fun movesOf(service: ServiceName) = sentOrders.values.count {
        it.desired.service == service
    }

    private fun maxMoves(service: ServiceName): Int =
        settingsView().service(service)?.settings?.model?.placement?.maxConcurrentMoves ?: 0

    private suspend fun send(o: EngineOrder, lease: Lease) {
        val address = backends.fleet.runner(o.runner)?.address ?: return
        val order = WireOrder(
            service = o.desired.service,
            version = o.desired.version,
            layers = o.desired.layers,
            adapters = o.desired.adapters.sorted(),
            role = o.desired.role.name.lowercase()
        )
        // A holder that was paused until its lease expired must not send its earlier orders.
        if (!lease.isValid()) return
        try {
            val r = client.post("http://$address/v1/orders") {
                timeout { requestTimeoutMillis = ORDER_TIMEOUT_MILLIS }
                setBody(OrderRequest(order, lease.token).toJson())
            }
            Logger.info("placement: runner=${o.runner} answered status=${r.status.value}")
        } catch (e: IOException) {
            Logger.warn("placement: runner=${o.runner} did not answer an order: $e")
        }
    }

    private fun isRepeatDue(order: SentOrder) =
        clock.monotonicMillis() - order.sentAtMillis > ORDER_REPEAT_MILLIS

    private fun modelServices(): List<Service> = settingsView().services.filter {
        it.settings.model != null
    }

    private fun modelDemand(s: Service): ModelDemand {
        val model = requireNotNull(s.settings.model) { "the service is not a model service" }
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

    private fun placeableRunner(l: ListedRunner): PlaceableRunner? {
        val report = backends.report(l.id) ?: return null
        val layers: LayerRange = report.layers ?: l.layers ?: return null
        val role = if (report.isStandby) RunnerRole.STANDBY else RunnerRole.SERVING
        val current = Assignment(l.service, layers, report.version, role)
        val sent = sentOrders[l.id]
        if (sent?.desired?.hasSameLoad(current) == true) {
            sentOrders.remove(l.id)
            backends.hold(l.id, millis = 0)
            assignedAtMillis[l.id] = clock.monotonicMillis()
        }
        return PlaceableRunner(
            id = l.id,
            dataCentre = l.dataCentre,
            accelerator = l.accelerator,
            memoryBytes = layers.size * BYTES_PER_LAYER,
            layerTokensPerSecond = report.tokensPerSecond * layers.size,
            current = current,
            pending = sentOrders[l.id]?.desired,
            assignedAtMillis = assignedAtMillis[l.id]
        )
    }

    private fun Assignment.hasSameLoad(other: Assignment) =
        layers == other.layers && version == other.version && role == other.role

    private companion object {
        const val LEASE = "placement"
        const val RECONCILE_PERIOD_MILLIS = 2_000L
        const val ORDER_TIMEOUT_MILLIS = 5_000L

        /** Renewed at each reconciliation; ends by itself if the lease holder stops. */
        const val HOLD_MILLIS = 6_000L
        const val ORDER_REPEAT_MILLIS = 10_000L

        /**
         * Nominal size. The memory of a runner is computed from its current layers with the same
         * size, so the actual size does not matter.
         */
        const val BYTES_PER_LAYER = 1L shl 30

        /** The rate of one stream at the target of 57 ms between tokens. */
        const val TOKENS_PER_SECOND_OF_A_STREAM = 17.5
    }
}
