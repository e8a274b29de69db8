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
import kotlinx.coroutines.delay

/**
 * Which backend servers are left out because of how attempts at them ended.
 *
 * Outcomes of requests decide. A server that was ejected is asked for its health before it gets
 * work again; its answer alone never ejects one, as health answers may be wrong either way.
 *
 * What peers found unreachable is left out too, unless an attempt of this instance has just ended
 * well there. In a large fleet each instance has few requests, and the list of servers names a
 * crashed one for seconds; without the peers' word each instance would lose requests to find out.
 */
internal class ServerHealth(
    private val fleet: Fleet,
    private val directory: BackendDirectory,
    private val connector: HttpConnector,
    private val healthPath: (ServiceName) -> String,
    private val unreachableByPeers: () -> Set<RunnerId>,
    private val isPaused: (RunnerId) -> Boolean,
    private val log: DecisionLog,
    private val clock: Clock
) {
    private val detector = OutlierDetector(clock, RULES)

    private val unreachable = HashSet<RunnerId>()
    private val checking = HashSet<RunnerId>()
    private val succeededAt = HashMap<RunnerId, Long>()

    /** Called when this instance finds a server unreachable; `isNews` if no peer has told of it. */
    var onFound: (server: RunnerId, isNews: Boolean) -> Unit = { _, _ -> }

    /** Servers that are surely gone: they accept no connection, or a stage before them waits. */
    fun unreachable(): Set<RunnerId> = unreachable.toSet()

    /** Whether [server] is gone by what this instance or a peer found. */
    fun isUnreachable(server: RunnerId): Boolean =
        server in unreachable || server in unreachableByPeers()

    /** Servers that get no new work. */
    fun ejected(): Set<RunnerId> {
        val told = unreachableByPeers()
        if (told.isEmpty()) return detector.ejected()
        val now = clock.monotonicMillis()
        return detector.ejected() + told.filter { id ->
            now - (succeededAt[id] ?: Long.MIN_VALUE / 2) > TRUST_MILLIS
        }
    }

    /** An attempt in which [servers] took part ended well after [millis]. */
    fun succeeded(servers: List<RunnerId>, millis: Long) {
        val now = clock.monotonicMillis()
        for (s in servers) {
            detector.succeeded(s, millis.toDouble())
            succeededAt[s] = now
        }
        if (unreachable.isNotEmpty()) unreachable -= servers.toSet()
    }

    /** An attempt failed because of one of [servers], it is not known which. */
    fun failed(service: ServiceName, servers: Collection<RunnerId>) {
        for (s in servers) detector.failed(s)
        evaluate(service)
    }

    /** No connection to [server] could be made. */
    fun unreachable(service: ServiceName, server: RunnerId) {
        detector.silent(server)
        succeededAt.remove(server)
        if (unreachable.add(server)) onFound(server, server !in unreachableByPeers())
        evaluate(service)
    }

    /**
     * An attempt was refused because of the stage [server], which is gone, leaving or short of
     * memory. A connection to it tells which; one check serves all attempts within its time.
     */
    suspend fun refusedBy(service: ServiceName, server: RunnerId) {
        failed(service, listOf(server))
        if (server in unreachable || !checking.add(server)) return
        try {
            val address = directory.find(server)?.address ?: return
            val connection = connector.connect(address, CONNECT_MILLIS)
            connection.fold({ it.close() }) { unreachable(service, server) }
            log.record("health", "checked", "server" to server, "reachable" to connection.isOk)
        } finally {
            checking.remove(server)
        }
    }

    /** Forgets a server that is gone or was started anew. */
    fun forget(server: RunnerId) {
        detector.forget(server)
        unreachable -= server
        succeededAt.remove(server)
    }

    /** Lets ejected servers return, until cancelled. */
    suspend fun run() {
        while (true) {
            delay(PROBE_PAUSE_MILLIS)
            val ejected = detector.ejected()
            if (ejected.isEmpty()) continue
            ejected.mapNotNullTo(HashSet()) { directory.find(it)?.service }.forEach(::evaluate)
            for (id in detector.dueProbes()) if (!isPaused(id)) probe(id)
        }
    }

    private fun evaluate(service: ServiceName) {
        for (event in detector.evaluate(fleet.service(service))) {
            log.record("health", "standing", "change" to event)
        }
    }

    private suspend fun probe(id: RunnerId) {
        val server = directory.find(id) ?: return forget(id)
        val isHealthy = isHealthy(server)
        if (isHealthy) unreachable -= id
        val event = detector.probed(id, isHealthy) ?: return
        log.record("health", "probed", "server" to id, "healthy" to isHealthy, "change" to event)
    }

    private suspend fun isHealthy(server: BackendServer): Boolean {
        val caller = HttpCaller(connector, server.address)
        val path = healthPath(server.service)
        val request = OutgoingRequest(HttpMethod.GET, path, DefaultHttpHeaders())
        val reply = caller.call(request, PROBE_TIMEOUT_MILLIS)
        caller.closeIdle()
        return reply.fold({ it.status == STATUS_OK }, { false })
    }

    private companion object {
        /**
         * Short ejections: servers are few and come back within seconds. Up to three of four
         * holders of a layer may be out, as a crash often takes several at once.
         */
        val RULES = OutlierRules(
            consecutiveErrors = 2,
            ejectionMillis = 1_000,
            maxEjectionMillis = 8_000,
            maxEjectedShare = 0.75,
            probesToReturn = 1
        )

        /** Time for which an own success outweighs what peers tell. */
        const val TRUST_MILLIS = 500L

        /** A connection takes a few ms, and some ten under load. */
        const val CONNECT_MILLIS = 150L
        const val PROBE_PAUSE_MILLIS = 250L
        const val PROBE_TIMEOUT_MILLIS = 400L
        const val STATUS_OK = 200
    }
}
