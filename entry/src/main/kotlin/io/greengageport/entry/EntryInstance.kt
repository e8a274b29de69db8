package io.greengageport.entry

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.onSuccess
import io.greengageport.common.Clock
import io.greengageport.common.HostPort
import io.greengageport.common.OrganisationName
import io.greengageport.common.SystemClock
import io.greengageport.ledger.LedgerSettings
import io.greengageport.ledger.OrderLedger
import io.greengageport.limits.OrganisationLimits
import io.greengageport.limits.OrganisationPolicy
import io.greengageport.limits.UsageAggregator
import io.greengageport.limits.UsageExchange
import io.greengageport.limits.UsageReporter
import io.greengageport.membership.PeerNode
import io.greengageport.membership.PeerSettings
import io.greengageport.membership.StartError
import io.greengageport.ports.HttpLogService
import io.greengageport.ports.HttpPlatform
import io.greengageport.ports.ListedInstance
import io.greengageport.ports.ListedState
import io.greengageport.routing.ChainPlanner
import io.greengageport.routing.CostModel
import io.greengageport.routing.FirstFit
import io.greengageport.routing.Fleet
import io.greengageport.routing.LeastQueue
import io.greengageport.routing.LinkEstimator
import io.greengageport.routing.LoadEstimator
import io.greengageport.routing.MarkedReservations
import io.greengageport.routing.OutlierDetector
import io.greengageport.routing.PrefixIndex
import io.greengageport.routing.RetryBudget
import io.greengageport.routing.ShortestChain
import io.greengageport.routing.SuspectRequests
import io.greengageport.settings.SettingsPublisher
import io.greengageport.settings.SettingsStore
import io.greengageport.settings.SettingsStoreConfig
import io.ktor.network.selector.SelectorManager
import io.ktor.server.engine.EmbeddedServer
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import org.tinylog.kotlin.Logger

/** The addresses at which an instance listens, with the ports that were assigned. */
public data class BoundAddresses(val callers: HostPort, val admin: HostPort, val peers: HostPort)

/**
 * An entry instance, which routes requests of callers to backend servers.
 *
 * ```
 * val instance = EntryInstance(config)
 * instance.start()
 * instance.drain()
 * ```
 */
public class EntryInstance(
    private val config: InstanceConfig,
    private val clock: Clock = SystemClock,
    private val random: Random = Random.Default
) {
    private val scope = CoroutineScope(
        SupervisorJob() + Dispatchers.Default +
            CoroutineExceptionHandler { _, e -> Logger.error(e, "entry: a task failed") }
    )
    private val clients = HttpClients()
    private val selector = SelectorManager(Dispatchers.IO)
    private val decisions = DecisionLog(clock)
    private val log = HttpLogService(clients.platform, config.platform)
    private val platform = HttpPlatform(clients.platform, config.platform)
    private val node = PeerNode(peerSettings(config), config.peerSecret.encodeToByteArray(), clock)
    private val metrics = EntryMetrics(node::stats)
    private val store = SettingsStore(
        log,
        node,
        node,
        node,
        node,
        clock,
        SettingsStoreConfig(snapshotEvery = config.snapshots.everyRecords),
        random
    )
    private val publisher = SettingsPublisher(log, { store.state }, clock, random = random)
    private val ledger = OrderLedger(
        log,
        config.instance,
        node,
        node,
        clock,
        random,
        ::fleetSize,
        LedgerSettings(readWait = ORDERS_READ_WAIT)
    )
    private val suspects = SuspectRequests(clock)
    private val suspectExchange =
        SuspectExchange(node, node, node, suspects, MarkedReservations(clock))
    private val backends = BackendFleet(
        clock,
        node,
        Fleet(),
        LoadEstimator(),
        LinkEstimator(clock),
        PrefixIndex(),
        OutlierDetector(clock),
        suspects
    )
    private val reporter = UsageReporter(config.instance, ::organisationPolicy)
    private val limits = OrganisationLimits(::organisationPolicy, reporter)
    private val usage = UsageExchange(
        clock,
        node,
        node,
        node,
        limits,
        reporter,
        UsageAggregator(::organisationPolicy)
    )
    private val admissions =
        Admissions(clock, scope, backends, limits, config.policies, metrics, decisions)
    private val probe = RunnerProbe(clients.probe, config.times.connectTimeoutMillis)
    private val cacheEventPoller = CacheEventPoller(clients.probe, backends, config.dataCentre)
    private val placement = PlacementService(
        clock,
        log,
        config,
        backends,
        { store.view.value },
        clients.backend,
        random
    )
    private val retries = RetryBudget(
        clock,
        random,
        reserves = { retryReserves(store.view.value.ranks) },
        minimum = { MIN_RETRIES }
    )
    private val connections = ConnectionLimit(config.bounds.maxConnections)
    private val callerServer = createCallerServer()
    private val adminAddresses = ConcurrentHashMap<String, String>()
    private val servers = mutableListOf<EmbeddedServer<*, *>>()
    private val isDraining = AtomicBoolean()
    private val drained = CompletableDeferred<Unit>()

    @Volatile
    private var acceptsRequests = true

    @Volatile
    private var listedInstances = 1

    init {
        suspectExchange.start()
    }

    /**
     * Opens the ports, joins the cluster of instances and starts all background tasks. Returns the
     * bound addresses, or why the instance cannot join.
     */
    public suspend fun start(): Result<BoundAddresses, StartError> {
        val admin = AdminServer(
            AdminDependencies(
                view = { store.view.value },
                publisher = publisher,
                decisions = decisions,
                metrics = metrics,
                status = ::status,
                drain = { scope.launch { drain() } },
                adminKeyHash = config.adminKeyHash
            )
        )
        val (adminHttpServer, adminAddress) = startServer(config.listen.admin, config.bounds) {
            admin.routes(this)
        }
        val (callerHttpServer, callersAddress) = startServer(
            config.listen.callers,
            config.bounds,
            cancelOnClose = true,
            connections
        ) {
            callerServer.routes(this)
        }
        servers += listOf(callerHttpServer, adminHttpServer)
        // Joins last, so that peers never see an instance whose ports are already taken.
        val peers = node.start().getOrElse { return Err(it) }
        backends.start()
        node.subscribe(ADMIN_TOPIC) { key, _, payload ->
            adminAddresses[key] = payload.decodeToString()
        }
        launchTasks(HostPort.parse(peers))
        scope.launch { announceAdminAddress(adminAddress) }
        Logger.info("entry: instance=${config.instance} serves callers at $callersAddress")
        return Ok(
            BoundAddresses(
                callersAddress,
                adminAddress,
                HostPort.parse(checkNotNull(node.listenAddress))
            )
        )
    }

    /**
     * Stops gracefully. The instance is unready at once and refuses new requests after the notice
     * period. It leaves when all requests in flight are answered and their outcomes recorded, or at
     * the drain limit; outcomes still get at least 10 s to be recorded. If a drain is already
     * running, waits for its end.
     */
    public suspend fun drain() {
        if (!isDraining.compareAndSet(false, true)) {
            drained.await()
            return
        }
        Logger.info("entry: instance=${config.instance} drains")
        node.announceLeaving()
        delay(config.times.drainNoticeMillis)
        acceptsRequests = false
        admissions.stopAdmitting()
        val drainEndMillis = clock.monotonicMillis() + config.times.drainLimitMillis
        while (callerServer.requestsInFlight > 0 && clock.monotonicMillis() < drainEndMillis) {
            delay(DRAIN_POLL_MILLIS)
        }
        val pending = callerServer.requestsInFlight
        if (pending > 0) Logger.warn("entry: drain limit reached with $pending requests in flight")
        val flushLimit = maxOf(FLUSH_LIMIT, (drainEndMillis - clock.monotonicMillis()).milliseconds)
        if (!ledger.flush(flushLimit)) {
            Logger.warn("ledger: outcomes not recorded before the stop")
        }
        placement.release()
        node.leave()
        Logger.info("entry: instance=${config.instance} is drained")
        drained.complete(Unit)
    }

    /** Suspends until a drain is complete, regardless of who started it. */
    public suspend fun awaitDrained(): Unit = drained.await()

    /** Stops immediately, without waiting for requests in flight. */
    public fun close() {
        scope.cancel()
        node.stop()
        servers.forEach { it.stop(0, 0) }
        connections.close()
        clients.close()
        selector.close()
    }

    private fun createCallerServer(): CallerServer {
        val costs = CostModel(backends.loads, backends.links, backends.prefixes, clock)
        val planner: ChainPlanner = when (config.policies.planner) {
            PlannerPolicy.SHORTEST -> ShortestChain(costs, random)
            PlannerPolicy.LEAST_QUEUE -> LeastQueue(costs)
            PlannerPolicy.FIRST_FIT -> FirstFit(costs)
        }
        val modelHandler = ModelRequestHandler(
            ModelDependencies(
                clock = clock,
                dataCentre = config.dataCentre,
                members = node,
                backends = backends,
                suspects = suspectExchange,
                planner = planner,
                engines = EngineClient(clients.backend, clock, scope),
                probe = probe,
                retries = retries,
                retryPolicy = config.policies.retry,
                times = config.times,
                decisions = decisions,
                metrics = metrics
            )
        )
        val plainHandler = PlainRequestHandler(
            PlainDependencies(
                clock = clock,
                dataCentre = config.dataCentre,
                backends = backends,
                planner = planner,
                client = PlainClient(
                    clients.backend,
                    clients.singleUse,
                    selector,
                    config.times.connectTimeoutMillis
                ),
                ledger = ledger,
                background = scope,
                retries = retries,
                decisions = decisions,
                metrics = metrics
            )
        )
        return CallerServer(
            CallerDependencies(
                clock = clock,
                authenticator = RequestAuthenticator(clock) { store.view.value },
                view = { store.view.value },
                admissions = admissions,
                modelHandler = modelHandler,
                plainHandler = plainHandler,
                bounds = config.bounds,
                metrics = metrics,
                isReady = { acceptsRequests && store.isReady.value && backends.isListingKnown },
                connections = connections
            )
        )
    }

    private fun launchTasks(peers: HostPort) {
        scope.launch { store.run() }
        scope.launch { ledger.run() }
        scope.launch { usage.run() }
        scope.launch { placement.run() }
        scope.launch {
            store.view.collect { v ->
                admissions.updateSettings(v)
                updateCapacity()
                metrics.settingsVersion.set(v.version.toDouble())
                Logger.info("settings: version=${v.version} is in force")
            }
        }
        scope.launchPeriodic(config.times.listPollMillis) {
            platform.list().onSuccess { listing ->
                backends.onListing(listing)
                listedInstances = listing.instances.size

                updateCapacity()
                val others = listing.instances.filter { it.id != config.instance }
                node.addSeeds(others.map { it.peerAddress })
            }
        }
        scope.launchPeriodic(config.times.loadPollMillis) {
            platform.latest().onSuccess { backends.onLoads(it) }
            updateCapacity()
            backends.evaluateOutliers(store.view.value.services.map { it.name })
            probeEjected()
            updateGauges()
        }
        scope.launchPeriodic(SWEEP_MILLIS) { connections.sweep() }
        scope.launchPeriodic(CACHE_POLL_MILLIS) { cacheEventPoller.poll() }
        scope.launchPeriodic(REGISTER_MILLIS) {
            clients.register(config.platform, ownListEntry(peers))
        }
    }

    /**
     * Updates the capacity of the queues from the fleet. An instance that waited for the next load
     * reports after it first received its services or runners would refuse urgent requests for lack
     * of capacity.
     */
    private fun updateCapacity(): Unit =
        admissions.updateCapacity(store.view.value, node.live().count { !it.isLeaving })

    /** Probes ejected runners when due and reports the results to the outlier detector. */
    private fun probeEjected() {
        for (id in backends.outliers.runnersToProbe()) {
            val address = backends.fleet.runner(id)?.address ?: continue
            scope.launch {
                val answered = probe.probe(address) is ProbeResult.Answered
                backends.outliers.recordProbe(id, answered)?.let { Logger.info(it.logLine()) }
            }
        }
    }

    private fun updateGauges() {
        metrics.connections.set(connections.openCount.toDouble())
        metrics.members.set(node.live().size.toDouble())
        metrics.settingsCurrent.set(if (store.freshness().isCurrent) 1.0 else 0.0)
        val ejected = backends.outliers.ejectedRunners()
        for ((service, runners) in backends.listedRunners().groupBy { it.service }) {
            val states = runners.groupingBy { r -> runnerState(r.id, ejected) }.eachCount()
            for (s in RUNNER_STATES) {
                metrics.runners.labelValues(service.value, s).set((states[s] ?: 0).toDouble())
            }
        }
    }

    private suspend fun announceAdminAddress(address: HostPort) {
        while (true) {
            val bytes = address.toString().encodeToByteArray()
            node.publish(ADMIN_TOPIC, config.instance.value, clock.wallMillis(), bytes)
            delay(ANNOUNCE_MILLIS)
        }
    }

    private fun ownListEntry(peers: HostPort) = ListedInstance(
        id = config.instance,
        peerAddress = peers.toString(),
        dataCentre = config.dataCentre,
        state = if (isDraining.get()) ListedState.LEAVING else ListedState.LIVE
    )

    /**
     * The number of instances that may append to the log. Includes listed instances that this one
     * cannot reach; otherwise each instance would append at the full rate while the links between
     * them are down.
     */
    private fun fleetSize(): Int = maxOf(node.live().size, listedInstances)

    /** The limits and the weight of an organisation, or null if it is not in the settings. */
    private fun organisationPolicy(name: OrganisationName): OrganisationPolicy? =
        store.view.value.organisation(name)?.settings?.let {
            OrganisationPolicy(it.weight, it.tokensPerSecond?.toDouble(), it.concurrentRequests)
        }

    private fun runnerState(id: io.greengageport.common.RunnerId, ejected: Set<*>): String = when {
        backends.isHeld(id) -> "held"
        backends.isStandby(id) -> "standby"
        backends.fleet.runner(id)?.isLeaving == true -> "leaving"
        id in ejected -> "ejected"
        else -> "live"
    }

    private fun status(): InstanceStatus = InstanceStatusBuilder(
        config,
        store,
        node,
        backends,
        admissions,
        ledger
    ).build(
        draining = isDraining.get(),
        inFlight = callerServer.requestsInFlight,
        adminAddresses = adminAddresses,
        isPlacementHolder = placement.isHolder,
        stateOf = { runnerState(it, backends.outliers.ejectedRunners()) }
    )

    private companion object {
        const val ADMIN_TOPIC = "admin-address"
        const val ANNOUNCE_MILLIS = 600_000L
        const val CACHE_POLL_MILLIS = 1_000L
        const val REGISTER_MILLIS = 1_000L
        const val SWEEP_MILLIS = 1_000L
        const val DRAIN_POLL_MILLIS = 20L
        val FLUSH_LIMIT = 10.seconds

        /** Long, since each read costs CPU time; a new record ends a read early. */
        val ORDERS_READ_WAIT = 2.seconds
        val RUNNER_STATES = listOf("live", "held", "standby", "leaving", "ejected")

        /** Retries per 10 s that are allowed even if few requests arrive. */
        const val MIN_RETRIES = 10

        fun peerSettings(c: InstanceConfig): PeerSettings {
            val at = HostPort.parse(c.listen.peers)
            val advertised = HostPort.parseOrNull(c.listen.advertisedPeers)
            return PeerSettings(
                id = c.instance,
                dataCentre = c.dataCentre,
                listenHost = at.host,
                listenPort = at.port,
                advertisedHost = advertised?.host ?: at.host,
                advertisedPort = advertised?.port,
                seeds = c.seeds
            )
        }

        fun CoroutineScope.launchPeriodic(periodMillis: Long, action: suspend () -> Unit) = launch {
            while (isActive) {
                try {
                    action()
                } catch (e: CancellationException) {
                    throw e
                } catch (e: Exception) {
                    // One failed run must not end the task for the lifetime of the process.
                    Logger.error(e, "entry: a periodic task failed")
                }
                delay(periodMillis)
            }
        }
    }
}
