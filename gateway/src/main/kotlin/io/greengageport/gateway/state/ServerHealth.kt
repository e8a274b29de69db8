package io.greengageport.gateway.state

import com.github.michaelbull.result.fold
import io.greengageport.common.Clock
import io.greengageport.common.RunnerId
import io.greengageport.common.ServiceName
import io.greengageport.gateway.http.HttpCaller
import io.greengageport.gateway.http.HttpConnector
import io.greengageport.gateway.http.OutgoingRequest
import io.greengageport.gateway.logging.DecisionLog
import io.greengageport.gateway.model.BackendServer
import io.greengageport.routing.Fleet
import io.greengageport.routing.OutlierDetector
import io.greengageport.routing.OutlierRules
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpMethod
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.delay

/**
 * Ejects backend servers at which attempts fail, and readmits them.
 *
 * Only the outcomes of requests eject a server. An ejected server has to pass a health check before
 * it gets work again; a failed health check alone never ejects a server, because health responses
 * can be wrong in both directions.
 *
 * Servers that peers report as unreachable are excluded too, unless an attempt of this instance
 * recently succeeded there. In a large fleet each instance sends few requests to a server, and the
 * store lists a crashed server for seconds; without the peers' reports each instance would lose
 * requests before it detects the crash.
 *
 * A failed connection counts only if [path] takes it for a failure of the server. While this
 * instance is cut off, nothing is recorded against a server.
 */
internal class ServerHealth(
    private val fleet: Fleet,
    private val directory: BackendDirectory,
    private val connector: HttpConnector,
    private val healthPath: (ServiceName) -> String,
    private val unreachableByPeers: () -> Set<RunnerId>,
    private val isPaused: (RunnerId) -> Boolean,
    private val log: DecisionLog,
    private val clock: Clock,
    private val path: ServerPath = ServerPath.PERMANENT
) {
    private val detector = OutlierDetector(clock, RULES)

    /** Unreachable servers, and the time at which each was found unreachable. */
    private val unreachable = HashMap<RunnerId, Long>()
    private val checksInProgress = HashMap<RunnerId, CompletableDeferred<Boolean?>>()
    private val lastSuccessMillis = HashMap<RunnerId, Long>()

    /**
     * Called when an attempt of this instance first finds a server unreachable; `isFirstReport` is
     * true if no peer has reported it yet.
     */
    var onServerUnreachable: (server: RunnerId, isFirstReport: Boolean) -> Unit = { _, _ -> }

    /**
     * Servers that refuse connections or that a preceding stage of a chain waits for, as detected
     * by this instance. A server stays in the set until an attempt or a health check there succeeds
     * or until it is removed or restarted.
     */
    fun unreachableServers(): Set<RunnerId> = unreachable.keys.toSet()

    /** Whether this instance or a peer has found [server] unreachable. */
    fun isUnreachable(server: RunnerId): Boolean =
        server in unreachable || server in unreachableByPeers()

    /**
     * Servers that get no new work, because of their failures here or because peers report them as
     * unreachable.
     */
    fun ejectedServers(): Set<RunnerId> {
        val reportedByPeers = unreachableByPeers()
        if (reportedByPeers.isEmpty()) return detector.ejectedRunners()
        val now = clock.monotonicMillis()
        return detector.ejectedRunners() + reportedByPeers.filter { id ->
            now - (lastSuccessMillis[id] ?: Long.MIN_VALUE / 2) > OWN_SUCCESS_VALID_MILLIS
        }
    }

    /** Records that an attempt in which all of [servers] took part succeeded after [millis]. */
    fun recordSuccess(servers: List<RunnerId>, millis: Long) {
        val now = clock.monotonicMillis()
        for (s in servers) {
            detector.recordSuccess(s, millis.toDouble())
            lastSuccessMillis[s] = now
        }
        if (unreachable.isNotEmpty()) unreachable -= servers
    }

    /** Records that an attempt failed because of one of [servers]; which one is unknown. */
    fun recordFailure(service: ServiceName, servers: Collection<RunnerId>) {
        if (path.isCutOff) return
        for (s in servers) detector.recordFailure(s)
        evaluate(service)
    }

    /**
     * Records that [server] accepts no connection, or that a chain stalls on it. The caller has
     * asked the path to servers whether this is a failure of the server.
     */
    fun markUnreachable(service: ServiceName, server: RunnerId) {
        if (path.isCutOff) return
        detector.recordTimeout(server)
        lastSuccessMillis.remove(server)
        if (unreachable.put(server, clock.monotonicMillis()) == null) {
            onServerUnreachable(server, server !in unreachableByPeers())
        }
        evaluate(service)
    }

    /**
     * Discards ejections, errors and unreachable servers recorded since [sinceMillis] of the
     * monotonic clock, because this instance has had no path to servers since then.
     */
    fun withdrawSince(sinceMillis: Long) {
        val reachable = unreachable.filterValues { it >= sinceMillis }.keys
        unreachable -= reachable
        val withdrawn = detector.withdrawSince(sinceMillis) + reachable
        if (withdrawn.isEmpty()) return
        log.record("health", "withdrawn", "servers" to withdrawn.take(MAX_LOGGED_SERVERS))
    }

    /**
     * Records that an attempt was refused because of the stage [server], which may be down, leaving
     * or short of memory. This counts as a failure of the stage. Opens a connection to find out
     * whether it is down.
     */
    suspend fun recordStageRefusal(service: ServiceName, server: RunnerId) {
        recordFailure(service, listOf(server))
        if (server !in unreachable) acceptsConnections(service, server)
    }

    /**
     * Opens a connection to [server] and marks it as unreachable if that fails. Returns whether it
     * succeeded, or null if the server is not known or this instance may have no path to it.
     * Concurrent calls share one connection.
     */
    suspend fun acceptsConnections(service: ServiceName, server: RunnerId): Boolean? {
        if (path.isCutOff) return null
        // A check without a result was cancelled with the request that made it.
        checksInProgress[server]?.await()?.let { return it }
        if (path.isCutOff) return null
        val result = CompletableDeferred<Boolean?>()
        checksInProgress[server] = result
        var isReachable: Boolean? = null
        try {
            val address = directory.find(server)?.address ?: return null
            val connection = connector.connect(address, CONNECT_TIMEOUT_MILLIS)
            isReachable = connection.fold({
                it.close()
                true
            }) { if (path.isFailureOfServer(server)) false else null }
            if (isReachable == false) markUnreachable(service, server)
            log.record("health", "checked", "server" to server, "reachable" to isReachable)
            return isReachable
        } finally {
            checksInProgress.remove(server)
            result.complete(isReachable)
        }
    }

    /** Discards the state of a server that was removed or restarted. */
    fun forget(server: RunnerId) {
        detector.forget(server)
        unreachable -= server
        lastSuccessMillis.remove(server)
    }

    /**
     * Sends health checks to ejected servers whose ejection time is over and that are not paused,
     * and readmits those that pass, until cancelled.
     */
    suspend fun run() {
        while (true) {
            delay(PROBE_INTERVAL_MILLIS)
            if (path.isCutOff) continue
            val ejected = detector.ejectedRunners()
            if (ejected.isEmpty()) continue
            ejected.mapNotNullTo(HashSet()) { directory.find(it)?.service }.forEach(::evaluate)
            for (id in detector.runnersToProbe()) if (!isPaused(id)) probe(id)
        }
    }

    /** Updates the ejections of [service] and logs each change. */
    private fun evaluate(service: ServiceName) {
        for (event in detector.evaluate(fleet.service(service))) {
            log.record("health", "standing", "change" to event)
        }
    }

    private suspend fun probe(id: RunnerId) {
        val server = directory.find(id) ?: return forget(id)
        val isHealthy = isHealthy(server) ?: return
        if (isHealthy) unreachable -= id
        val event = detector.recordProbe(id, isHealthy) ?: return
        log.record("health", "probed", "server" to id, "healthy" to isHealthy, "change" to event)
    }

    /** Returns null if the health check failed and this says nothing about [server]. */
    private suspend fun isHealthy(server: BackendServer): Boolean? {
        val caller = HttpCaller(connector, server.address)
        val request = OutgoingRequest(
            HttpMethod.GET,
            healthPath(server.service),
            DefaultHttpHeaders()
        )
        val reply = caller.call(request, PROBE_TIMEOUT_MILLIS)
        caller.closeIdle()
        return reply.fold({ it.status == STATUS_OK }) {
            if (path.isFailureOfServer(server.id)) false else null
        }
    }

    private companion object {
        /**
         * Ejections are short because servers are few and recover within seconds. Up to 75 % of the
         * holders of a layer can be ejected, because a crash often takes down several of them at
         * once.
         */
        val RULES = OutlierRules(
            consecutiveErrors = 2,
            ejectionMillis = 1_000,
            maxEjectionMillis = 8_000,
            maxEjectedShare = 0.75,
            probesToReturn = 1
        )

        /** Time for which a success of this instance overrides the reports of peers. */
        const val OWN_SUCCESS_VALID_MILLIS = 500L

        /** Connecting takes a few ms, and about ten under load. */
        const val CONNECT_TIMEOUT_MILLIS = 150L
        const val PROBE_INTERVAL_MILLIS = 250L
        const val PROBE_TIMEOUT_MILLIS = 400L
        const val STATUS_OK = 200

        /** Limits the length of a log line. */
        const val MAX_LOGGED_SERVERS = 20
    }
}
