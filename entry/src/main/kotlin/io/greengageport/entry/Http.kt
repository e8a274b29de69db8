package io.greengageport.entry

import io.greengageport.common.HostPort
import io.greengageport.ports.ListedInstance
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.plugins.timeout
import io.ktor.client.request.put
import io.ktor.client.request.setBody
import io.ktor.server.application.install
import io.ktor.server.application.serverConfig
import io.ktor.server.cio.CIO as ServerCio
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.connector
import io.ktor.server.engine.embeddedServer
import io.ktor.server.http.HttpRequestLifecycle
import io.ktor.server.routing.Route
import io.ktor.server.routing.routing
import java.io.IOException

/**
 * The HTTP clients of an instance.
 *
 * Probes have a client of their own, so that they do not share connections that went silent.
 */
internal class HttpClients : AutoCloseable {
    val platform: HttpClient = newClient()
    val backend: HttpClient = newClient()
    val probe: HttpClient = newClient()

    /** Closes each connection after its call, so that no call is sent on one that has ended. */
    val once: HttpClient = newClient()

    /** Renews this instance's entry in the instance list. */
    suspend fun register(baseUrl: String, instance: ListedInstance) {
        try {
            platform.put("$baseUrl/v1/instances/entries") {
                timeout { requestTimeoutMillis = REGISTER_TIMEOUT_MILLIS }
                setBody(instance.toJson())
            }
        } catch (e: IOException) {
            // The platform may be down; the next round tries again.
        }
    }

    override fun close() {
        listOf(platform, backend, probe, once).forEach { it.close() }
    }

    private companion object {
        const val REGISTER_TIMEOUT_MILLIS = 1_000L
        const val MAX_CONNECTIONS = 8_192

        fun newClient(): HttpClient = HttpClient(CIO) {
            expectSuccess = false
            install(HttpTimeout)
            engine {
                maxConnectionsCount = MAX_CONNECTIONS
                endpoint.maxConnectionsPerRoute = MAX_CONNECTIONS
                requestTimeout = 0
            }
        }
    }
}

/**
 * Starts an HTTP server at [listen] and returns it with the address it got. With [cancelOnClose] a
 * call is cancelled when its connection ends, also before anything was written to it. The server's
 * jobs are made children of those of [connections], which counts them.
 */
internal suspend fun startServer(
    listen: String,
    bounds: BoundsConfig,
    cancelOnClose: Boolean = false,
    connections: ConnectionLimit? = null,
    routes: Route.() -> Unit
): Pair<EmbeddedServer<*, *>, HostPort> {
    // The server's own hook closes the port and cuts its calls on SIGTERM, beside the drain.
    System.setProperty("io.ktor.server.engine.ShutdownHook", "false")
    val at = HostPort.parse(listen)
    val config = serverConfig {
        connections?.let { parentCoroutineContext = it.root }
        module {
            install(HttpRequestLifecycle) { cancelCallOnClose = cancelOnClose }
            routing(routes)
        }
    }
    val server = embeddedServer(ServerCio, config) {
        connector {
            host = at.host
            port = at.port
        }
        connectionIdleTimeoutSeconds = bounds.idleConnectionSeconds
    }
    server.startSuspend(wait = false)
    val port = server.engine.resolvedConnectors().first().port
    connections?.started()
    return server to HostPort(at.host, port)
}
