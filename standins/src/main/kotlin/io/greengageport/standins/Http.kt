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

/** A listen address in the form `host:port`; port 0 lets the system choose a free port. */
internal data class HostPort(val host: String, val port: Int) {
    override fun toString(): String = "$host:$port"

    companion object {
        /** Parses `host:port`; throws [IllegalArgumentException] if [text] has another form. */
        fun parse(text: String): HostPort {
            val colon = text.lastIndexOf(':')
            require(colon > 0) { "address must have the form host:port: '$text'" }
            return HostPort(text.substring(0, colon), text.substring(colon + 1).toInt())
        }
    }
}

/** Creates a client without a request timeout that does not throw on error statuses. */
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

/** Starts an HTTP server and returns it with the address that it is bound to. */
internal suspend fun startServer(
    listen: HostPort,
    routes: Route.() -> Unit
): Pair<EmbeddedServer<*, *>, HostPort> {
    // Ktor's shutdown hook would close the port and abort calls on SIGTERM during the drain.
    System.setProperty("io.ktor.server.engine.ShutdownHook", "false")
    val server = embeddedServer(ServerCio, port = listen.port, host = listen.host) {
        routing(routes)
    }
    server.startSuspend(wait = false)
    val port = server.engine.resolvedConnectors().first().port
    return server to HostPort(listen.host, port)
}

/** Responds with [text] as a JSON body. */
internal suspend fun ApplicationCall.respondJson(
    text: String,
    status: HttpStatusCode = HttpStatusCode.OK
) = respondText(text, ContentType.Application.Json, status)

private const val MAX_CONNECTIONS = 4_096
