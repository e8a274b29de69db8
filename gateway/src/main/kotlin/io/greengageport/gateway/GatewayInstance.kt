package io.greengageport.gateway

import io.greengageport.common.Clock
import io.greengageport.common.HostPort
import io.greengageport.common.RunnerId
import io.greengageport.common.SystemClock
import io.greengageport.gateway.forward.AdmissionQueues
import io.greengageport.gateway.forward.BackendExchange
import io.greengageport.gateway.forward.CallerConnection
import io.greengageport.gateway.forward.CallerRequestHandler
import io.greengageport.gateway.forward.CallerResponse
import io.greengageport.gateway.forward.ChainFailureNotifier
import io.greengageport.gateway.forward.ChainSelector
import io.greengageport.gateway.forward.ForwardingDependencies
import io.greengageport.gateway.forward.PlainSelector
import io.greengageport.gateway.forward.RequestForwarder
import io.greengageport.gateway.forward.RequestRouter
import io.greengageport.gateway.http.ConnectionCloser
import io.greengageport.gateway.http.ConnectionPool
import io.greengageport.gateway.http.EventLoop
import io.greengageport.gateway.http.HttpConnector
import io.greengageport.gateway.http.HttpListener
import io.greengageport.gateway.model.CallerLimits
import io.greengageport.gateway.peer.DataCentreSummary
import io.greengageport.gateway.peer.PeerExchange
import io.greengageport.gateway.peer.PeerReport
import io.greengageport.gateway.peer.PeerTraffic
import io.greengageport.gateway.peer.PeerView
import io.greengageport.gateway.peer.ReportReason
import io.greengageport.gateway.peer.ServerListRelay
import io.greengageport.gateway.peer.ServerLoad
import io.greengageport.gateway.peer.ServerNotices
import io.greengageport.gateway.placement.LayerPlacer
import io.greengageport.gateway.port.BackendProtocol
import io.greengageport.gateway.port.PlatformStore
import io.greengageport.gateway.state.BackendDirectory
import io.greengageport.gateway.state.ConfigurationHolder
import io.greengageport.gateway.state.CrashSuspects
import io.greengageport.gateway.state.DutyLease
import io.greengageport.gateway.state.FleetIndex
import io.greengageport.gateway.state.InFlightTable
import io.greengageport.gateway.state.ServerHealth
import io.greengageport.gateway.state.ServerPath
import io.greengageport.gateway.state.ServerPathMonitor
import io.greengageport.gateway.state.ServerPauses
import io.greengageport.gateway.state.StallDiagnosis
import io.greengageport.gateway.state.StoreFollower
import io.greengageport.gateway.tunnel.TunnelAdmission
import io.greengageport.gateway.tunnel.TunnelConnector
import io.greengageport.gateway.tunnel.TunnelListener
import io.greengageport.routing.LinkEstimator
import io.greengageport.routing.ModelCapacity
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpRequest
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

/**
 * An entry instance of the gateway: serves callers, follows the configuration and the list of
 * backend servers in the store, and places the layers of models while it holds that duty.
 *
 * It persists no state. All state is confined to the single thread of [loop].
 */
public class GatewayInstance(
    private val settings: GatewaySettings,
    private val loop: EventLoop,
    private val connector: HttpConnector,
    private val store: PlatformStore,
    private val protocol: BackendProtocol,
    private val clock: Clock = SystemClock,
    /** Replaces what this instance finds out about its path to servers; null except in tests. */
    serverPath: ServerPath? = null
) {
    private val log = loop.log
    private val metrics = GatewayMetrics()
    private val configuration = ConfigurationHolder(log)
    private val directory = BackendDirectory(clock, log)
    private val fleetIndex = FleetIndex(directory) { configuration.current }
    private val peers = PeerView(settings.id, settings.dataCentre, clock, log)
    private val dutyLease: DutyLease = DutyLease(
        group = store.duties,
        epoch = store.epoch,
        clock = clock,
        log = log,
        onMembers = peers::onMembers,
        isStoreUnreachableForAll = peers::isStoreUnreachableForAll,
        // A holder that extends its duty during an outage of the store has to learn at once that
        // the outage is over.
        onStoreRecovered = { sendReport(ReportReason.STORE_RECOVERED) }
    )
    private val inFlight =
        InFlightTable({ peers.liveInstanceCount }, peers::load, peers::requestsByService)
    private val pauses = ServerPauses(clock, log)
    private val pathMonitor = ServerPathMonitor(
        directory = directory,
        connector = connector,
        isPaused = pauses::isPaused,
        hasPeerWithPath = peers::hasPeerWithPath,
        log = log,
        clock = clock
    )
    private val path: ServerPath = serverPath ?: pathMonitor
    private val tunnelConnector =
        TunnelConnector(settings.id, loop, clock, path::isCutOff, peers::tunnelPeers)
    private val pool = ConnectionPool(connector, clock, tunnelConnector)
    private val serverNotices: ServerNotices =
        ServerNotices(directory, pauses, { peers.isRelay }, clock, log) {
            sendReport(ReportReason.SERVER_NOTICE)
        }
    private val health = ServerHealth(
        fleet = fleetIndex.fleet,
        directory = directory,
        connector = connector,
        healthPath = { configuration.current?.services?.get(it)?.healthPath ?: "/" },
        unreachableByPeers = peers::unreachableServers,
        isPaused = pauses::isPaused,
        log = log,
        clock = clock,
        path = path
    )
    private val suspects = CrashSuspects(clock, log, isRelay = { peers.isRelay })
    private val retryBudgets = ServiceRetryBudgets(settings, peers, clock)
    private val plainSelector =
        PlainSelector(directory, inFlight, health::ejectedServers, settings.dataCentre, clock)
    private val chainSelector = ChainSelector(
        directory = directory,
        fleet = fleetIndex.fleet,
        inFlight = inFlight,
        links = LinkEstimator(clock),
        ejectedServers = health::ejectedServers,
        slowness = { 1.0 },
        ownDataCentre = settings.dataCentre,
        log = log
    )
    private val chainFailureNotifier = ChainFailureNotifier()
    private val admissionQueues = AdmissionQueues(
        self = settings.id,
        capacity = ModelCapacity(fleetIndex.fleet),
        inFlight = inFlight,
        instances = { peers.liveInstanceCount },
        log = log,
        clock = clock
    )
    private val forwarder = RequestForwarder(
        ForwardingDependencies(
            exchange = BackendExchange(pool, protocol, clock, chainFailureNotifier),
            plainSelector = plainSelector,
            chainSelector = chainSelector,
            directory = directory,
            inFlight = inFlight,
            admissionQueues = admissionQueues,
            health = health,
            pauses = pauses,
            serverNotices = serverNotices,
            path = path,
            diagnosis =
                StallDiagnosis(directory, connector, protocol, pauses::isPaused, path, log, clock),
            suspects = suspects,
            retryBudget = retryBudgets::of,
            observer = MetricsObserver(metrics, clock),
            log = log,
            clock = clock,
            answersUntilMillis = { answersUntilMillis },
            isWithoutServers = { path.isCutOff && !tunnelConnector.hasPeer },
            launchInBackground = { work -> loop.scope.launch { work() } }
        )
    )
    private val router =
        RequestRouter(
            configuration = { configuration.current },
            protocol = protocol,
            forwarder = forwarder,
            log = log,
            clock = clock,
            canAcceptRequests = { clock.monotonicMillis() < acceptsUntilMillis },
            isReady = { storeFollower.isReady },
            isConfigurationOutdated = { storeFollower.isBehind }
        )
    private val tunnelListener: TunnelListener = TunnelListener(
        loop = loop,
        admission = TunnelAdmission(
            directory = directory,
            isPaused = pauses::isPaused,
            isCutOff = path::isCutOff,
            isRefusing = { clock.monotonicMillis() >= tunnelsUntilMillis },
            isPeerAddress = peers::isPeerAddress
        )
    ) { server ->
        path.isFailureOfServer(server.id).also {
            if (it) health.markUnreachable(server.service, server.id)
        }
    }
    private val placer = LayerPlacer(
        configuration = { configuration.current },
        directory = directory,
        dutyLease = dutyLease,
        connector = connector,
        protocol = protocol,
        findUnreachable = { health.unreachableServers() + peers.unreachableServers() },
        isCutOff = path::isCutOff,
        log = log,
        clock = clock
    )
    private val peerExchange = PeerExchange(
        loop = loop,
        view = peers,
        log = log,
        clock = clock,
        report = ::peerReport,
        onReport = ::onPeerReport,
        linkBytesPerSecond = settings.linkBytesPerSecond,
        traffic = PeerTraffic(clock, log) { metrics.peerBytes.inc(it.toDouble()) }
    )
    private val serverListRelay = ServerListRelay(
        clock = clock,
        isReader = { dutyLease.isReader },
        readIntervalMillis = (settings.drainMillis * READ_INTERVAL_SHARE).toLong(),
        freshnessMillis = (settings.drainMillis * FRESHNESS_SHARE).toLong(),
        isRelay = { peers.isRelay }
    )
    private val storeFollower = StoreFollower(
        store = store,
        configuration = configuration,
        directory = directory,
        relay = serverListRelay,
        peers = peers,
        clock = clock,
        log = log,
        sendReport = peerExchange::send,
        renewalAgeMillis = dutyLease::renewalAgeMillis
    )

    /** Start time on the wall clock, which tells this incarnation from earlier ones. */
    private val startedAtMillis = clock.wallMillis()
    private val connections = HashSet<CallerConnection>()
    private val closer = ConnectionCloser(clock)
    private val listeners = ArrayList<HttpListener>()
    private var isStopping = false

    /** Time between the signal to stop and the end of the process. */
    private var graceMillis = settings.graceMillis
    private val stopped = CompletableDeferred<Unit>()

    /** Time on the monotonic clock, in ms, from which new requests are refused. */
    private var acceptsUntilMillis = Long.MAX_VALUE

    /** Time on the monotonic clock, in ms, from which tunnels of peers are refused. */
    private var tunnelsUntilMillis = Long.MAX_VALUE

    /** Time on the monotonic clock, in ms, by which requests must have ended. */
    private var answersUntilMillis = Long.MAX_VALUE

    /** The servers that peers had reported as unreachable up to their last report. */
    private var previouslyUnreachable = emptySet<RunnerId>()

    private val isReady: Boolean
        get() = !isStopping && storeFollower.isReady

    /** Binds all listeners and launches the background tasks; throws if an address is in use. */
    public fun start() {
        configuration.listeners += fleetIndex::rebuild
        configuration.listeners += admissionQueues::onConfiguration
        configuration.listeners += { peerExchange.send(ReportReason.CONFIGURATION) }
        configuration.listeners += { metrics.configurationVersion.set(it.version.toDouble()) }
        directory.onChanged = { id, previous, now ->
            fleetIndex.update(id, now)
            serverListRelay.onOwnChange(id, now, directory.position(id))
            suspects.onServerChanged(id, now)
            if (now == null || previous?.startedAtMillis != now.startedAtMillis) {
                health.forget(id)
                plainSelector.forget(id)
                pauses.forget(id)
                previous?.let { pool.forget(it.address) }
            }
            (now ?: previous)?.service?.let {
                metrics.servers.labelValues(it.value)
                    .set(directory.usableServers(it).size.toDouble())
            }
        }
        health.onServerUnreachable = { id, isFirstReport ->
            if (isFirstReport) peerExchange.send(ReportReason.UNREACHABLE)
            chainFailureNotifier.notifyUnreachable(id)
        }
        pathMonitor.onChanged = ::onPathChanged
        suspects.onUrgentState = { peerExchange.send(ReportReason.CRASH_SUSPECTS) }
        peerExchange.listen(settings.peerAddress)
        tunnelListener.listen(settings.peerAddress)
        listenForHealthChecks()
        // Listens for callers last, because the process ends with the requests that it has read if
        // another port is in use.
        val limits = { configuration.current?.callerLimits ?: CallerLimits() }
        listen(settings.callerAddress) { limits().maxHeaderBytes }
        launchTasks()
        log.record(
            "entry",
            "started",
            "instance" to settings.id,
            "zone" to settings.dataCentre,
            "callers" to settings.callerAddress,
            "readiness" to settings.readinessAddress,
            "store" to settings.storeAddress
        )
    }

    /**
     * Shuts down gracefully: readiness fails at once, connections are closed after their next
     * answer, and requests in flight are completed. Requests that arrive after the load balancer
     * has had time to notice are refused, because they might not complete in time. Returns when no
     * request is left, or shortly before the platform kills the process, which it does a grace
     * period after [signalledAtMillis] on the monotonic clock. If a stop is under way,
     * waits for its end.
     */
    public suspend fun stop(signalledAtMillis: Long = clock.monotonicMillis()) {
        if (isStopping) {
            log.record("entry", "stop_repeated", "in_flight" to router.inFlight)
            stopped.await()
            return
        }
        isStopping = true
        val sequence = StopSequence(
            router = router,
            connections = connections,
            // Callers' connections are accepted by the last listener, see start().
            listener = listeners.last(),
            tunnels = tunnelListener,
            log = log,
            clock = clock,
            signalledAtMillis = signalledAtMillis,
            graceMillis = graceMillis
        )
        acceptsUntilMillis = sequence.acceptsUntilMillis
        tunnelsUntilMillis = sequence.tunnelsUntilMillis
        answersUntilMillis = sequence.answerAtMillis
        log.record(
            "entry",
            "stopping",
            "in_flight" to router.inFlight,
            "grace_ms" to graceMillis
        )
        sendReport(ReportReason.STOPPING)
        // A store that does not answer must not delay the stop.
        loop.scope.launch { dutyLease.leave() }
        try {
            sequence.run()
            listeners.forEach { it.close() }
            tunnelListener.close()
            log.closeSuspending()
        } finally {
            stopped.complete(Unit)
        }
    }

    /**
     * Applies the grace period of settings that were read again, in ms; all other settings are
     * fixed while the instance runs. A stop under way keeps the period that it began with, as the
     * platform does.
     */
    public fun reload(graceMillis: Long) {
        log.record("entry", "reload", "grace_ms" to graceMillis, "before" to this.graceMillis)
        this.graceMillis = graceMillis
    }

    /** Logs that the process received the signal [name], for example `TERM`. */
    public fun recordSignal(name: String) {
        log.record("entry", "signal", "name" to name, "in_flight" to router.inFlight)
    }

    private fun sendReport(reason: ReportReason) = peerExchange.send(reason)

    private fun launchTasks() {
        val scope = loop.scope
        storeFollower.launchIn(scope)
        scope.launchSupervised("duties", log) { dutyLease.run() }
        scope.launchSupervised("reports", log) { peerExchange.run() }
        scope.launchSupervised("placement", log) { placer.run() }
        scope.launchSupervised("health", log) { health.run() }
        scope.launchSupervised("path", log) { pathMonitor.run() }
        scope.launchSupervised("admission", log) { admissionQueues.run() }
        scope.launchSupervised("upkeep", log) {
            while (true) {
                val dueAtMillis = clock.monotonicMillis() + MAINTENANCE_INTERVAL_MILLIS
                delay(MAINTENANCE_INTERVAL_MILLIS)
                val lateMillis = clock.monotonicMillis() - dueAtMillis
                if (lateMillis > LOGGED_DELAY_MILLIS) {
                    log.record("entry", "thread_delayed", "ms" to lateMillis)
                }
                storeFollower.checkPeers()
                directory.expire()
                pool.closeExpired()
                if (path.isCutOff) pool.closeIdle()
                suspects.expire()
            }
        }
    }

    private fun listen(
        address: HostPort,
        handler: CallerRequestHandler = router,
        maxHeaderBytes: () -> Int
    ) {
        // A later configuration may raise the limit of connections that are open.
        val decoderLimit = { maxOf(maxHeaderBytes(), MAX_RAISED_HEADER_BYTES) }
        val listener = HttpListener(loop, decoderLimit) { channel, marker ->
            val connection = CallerConnection(
                channel = channel,
                marker = marker,
                limits = { configuration.current?.callerLimits ?: CallerLimits() },
                isStopping = { isStopping },
                handler = handler,
                closer = closer,
                clock = clock,
                maxHeaderBytes = maxHeaderBytes
            )
            if (handler === router) connections += connection
            loop.scope.launch { connection.run() }
                .invokeOnCompletion { connections -= connection }
        }
        listener.listen(address)
        listeners += listener
    }

    private fun listenForHealthChecks() {
        val limit = { CallerLimits().maxHeaderBytes }
        listen(settings.readinessAddress, ::answerCheck, limit)
        settings.metricsAddress?.let { listen(it, ::answerCheck, limit) }
    }

    /**
     * Answers any request: under [METRICS_PATH] with the metrics, otherwise with 200 if this
     * instance is ready and 503 if not.
     */
    @Suppress("UnusedParameter")
    private suspend fun answerCheck(head: HttpRequest, body: ByteArray, response: CallerResponse) {
        if (head.uri().startsWith(METRICS_PATH)) {
            response.respond(STATUS_OK, DefaultHttpHeaders(), metrics.text())
            return
        }
        val status = if (isReady) STATUS_OK else STATUS_UNAVAILABLE
        response.respond(status, DefaultHttpHeaders(), ByteArray(0))
    }

    private fun onPathChanged(isCutOff: Boolean) {
        if (isCutOff) {
            health.withdrawSince(pathMonitor.cutOffSinceMillis)
            suspects.withdrawLostConnections(pathMonitor.cutOffSinceMillis)
            dutyLease.suspendDuties()
        } else {
            // Kept connections may have been lost unnoticed with the path.
            directory.all.forEach { pool.forget(it.address) }
            dutyLease.resumeDuties()
        }
        peerExchange.send(ReportReason.SERVER_PATH)
    }

    /**
     * Applies a peer's report. A relay forwards newly unreachable servers to other data centres at
     * once, and that a peer without a path no longer reports some.
     */
    private fun onPeerReport(report: PeerReport) {
        suspects.mergePeerStates(report.suspects)
        serverNotices.onPeerNotices(report.from, report.notices)
        val unreachable = peers.unreachableServers()
        val newlyUnreachable = unreachable - previouslyUnreachable
        val hasWithdrawn =
            !report.hasServerPath && !unreachable.containsAll(previouslyUnreachable)
        previouslyUnreachable = unreachable
        newlyUnreachable.forEach(chainFailureNotifier::notifyUnreachable)
        if ((newlyUnreachable.isNotEmpty() || hasWithdrawn) && peers.isRelay) {
            val isLocal = report.dataCentre == settings.dataCentre.value
            peerExchange.send(
                if (isLocal) {
                    ReportReason.UNREACHABLE_FOR_PEER
                } else {
                    ReportReason.UNREACHABLE_ELSEWHERE
                }
            )
        }
        storeFollower.onPeerReport(report)
    }

    private fun peerReport(sequence: Long, centres: List<DataCentreSummary>) = PeerReport(
        from = settings.id.value,
        dataCentre = settings.dataCentre.value,
        address = settings.peerAddress.toString(),
        startedAtMillis = startedAtMillis,
        sequence = sequence,
        load = inFlight.ownByServer().map { (id, load) ->
            ServerLoad(id.value, load.requests, load.tokenLayers)
        },
        requestsByService = admissionQueues.admitted().mapKeys { it.key.value },
        retries = retryBudgets.usage(),
        unreachable = health.unreachableServers().map { it.value },
        suspects = suspects.statesToReport(),
        known = peers.sampleLivePeers(),
        renewalAgeMillis = dutyLease.renewalAgeMillis(),
        readAgeMillis = serverListRelay.readAgeMillis(),
        configurationVersion = configuration.current?.version ?: 0,
        serverListDelta = serverListRelay.deltaToReport(),
        centres = centres,
        hasServerPath = !path.isCutOff,
        acceptsTunnels = !path.isCutOff && !isStopping && tunnelListener.hasRoom,
        notices = serverNotices.toReport()
    )

    private companion object {
        /**
         * Interval between reads of the list, as a share of the time in which a leaving server has
         * to be known.
         */
        const val READ_INTERVAL_SHARE = 0.4

        /**
         * Time for which another instance's read replaces this one's own, as a share of the same
         * time.
         */
        const val FRESHNESS_SHARE = 0.7
        const val MAINTENANCE_INTERVAL_MILLIS = 500L

        /** A timer that fires later than this shows that the thread or the process was blocked. */
        const val LOGGED_DELAY_MILLIS = 200L

        /** Limit up to which a raised limit of heads reaches connections that are open. */
        const val MAX_RAISED_HEADER_BYTES = 65_536
        const val METRICS_PATH = "/metrics"
        const val STATUS_OK = 200
        const val STATUS_UNAVAILABLE = 503
    }
}
