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
 * Probes use a separate client, so that they do not share connections that no longer answer.
 */
internal class HttpClients : AutoCloseable {
    val platform: HttpClient = createClient()
    val backend: HttpClient = createClient()
    val probe: HttpClient = createClient()

    /** For calls that close their connection, so that none is sent on a stale pooled connection. */
    val singleUse: HttpClient = createClient()

    /** Renews this instance's entry in the instance list. */
    suspend fun register(baseUrl: String, instance: ListedInstance) {
        try {
            platform.put("$baseUrl/v1/instances/entries") {
                timeout { requestTimeoutMillis = REGISTER_TIMEOUT_MILLIS }
                setBody(instance.toJson())
            }
        } catch (e: IOException) {
            // The platform may be down; registration is repeated periodically.
        }
    }

    override fun close() {
        listOf(platform, backend, probe, singleUse).forEach { it.close() }
    }

    private companion object {
        const val REGISTER_TIMEOUT_MILLIS = 1_000L
        const val MAX_CONNECTIONS = 8_192

        fun createClient(): HttpClient = HttpClient(CIO) {
            expectSuccess = false
            install(HttpTimeout)
            install(ResponseGrammar)
            engine {
                maxConnectionsCount = MAX_CONNECTIONS
                endpoint.maxConnectionsPerRoute = MAX_CONNECTIONS
                requestTimeout = 0
            }
        }
    }
}

/**
 * Starts an HTTP server at [listen] and returns it with the bound address. With [cancelOnClose], a
 * call is cancelled when its connection closes, even before a response was started. The server's
 * jobs become children of the job of [connections], which counts its connections.
 */
internal suspend fun startServer(
    listen: String,
    bounds: BoundsConfig,
    cancelOnClose: Boolean = false,
    connections: ConnectionLimit? = null,
    routes: Route.() -> Unit
): Pair<EmbeddedServer<*, *>, HostPort> {
    // The library's shutdown hook would close the port and abort calls on SIGTERM during a drain.
    System.setProperty("io.ktor.server.engine.ShutdownHook", "false")
    val address = HostPort.parse(listen)
    val config = serverConfig {
        connections?.let { parentCoroutineContext = it.root }
        module {
            install(HttpRequestLifecycle) { cancelCallOnClose = cancelOnClose }
            routing(routes)
        }
    }
    val server = embeddedServer(ServerCio, config) {
        connector {
            host = address.host
            port = address.port
        }
        connectionIdleTimeoutSeconds = bounds.idleConnectionSeconds
    }
    server.startSuspend(wait = false)
    val port = server.engine.resolvedConnectors().first().port
    connections?.recordServerJobs()
    return server to HostPort(address.host, port)
}
