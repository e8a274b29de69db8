package io.greengageport.standins

import io.greengageport.common.HostPort
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.plugins.HttpTimeout
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.cio.CIO as ServerCio
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.embeddedServer
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.routing
import kotlinx.serialization.json.Json

internal val json = Json {
    ignoreUnknownKeys = true
    encodeDefaults = false
}

/** A listening address, written `host:port`; port 0 asks for a free one. */
internal data class HostPort(val host: String, val port: Int) {
    override fun toString(): String = "$host:$port"

    companion object {
        fun parse(text: String): HostPort {
            val colon = text.lastIndexOf(':')
            require(colon > 0) { "an address is written host:port, not '$text'" }
            return HostPort(text.substring(0, colon), text.substring(colon + 1).toInt())
        }
    }
}

internal fun newHttpClient(): HttpClient = HttpClient(CIO) {
    expectSuccess = false
    install(HttpTimeout)
    engine {
        maxConnectionsCount = MAX_CONNECTIONS
        endpoint.maxConnectionsPerRoute = MAX_CONNECTIONS
        endpoint.pipelineMaxSize = 1
        requestTimeout = 0
    }
}

/** Starts an HTTP server and returns it with the address it got. */
internal suspend fun startServer(
    listen: HostPort,
    routes: Route.() -> Unit
): Pair<EmbeddedServer<*, *>, HostPort> {
    // The server's own hook closes the port and cuts its calls on SIGTERM, beside the drain.
    System.setProperty("io.ktor.server.engine.ShutdownHook", "false")
    val server = embeddedServer(ServerCio, port = listen.port, host = listen.host) {
        routing(routes)
    }
    server.startSuspend(wait = false)
    val port = server.engine.resolvedConnectors().first().port
    return server to HostPort(listen.host, port)
}

internal suspend fun ApplicationCall.json(
    text: String,
    status: HttpStatusCode = HttpStatusCode.OK
) = respondText(text, ContentType.Application.Json, status)

private const val MAX_CONNECTIONS = 4_096
