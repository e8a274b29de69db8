package io.greengageport.bench

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.plugins.HttpTimeout

private const val CONNECT_TIMEOUT_MILLIS = 2_000L
private const val KEEP_ALIVE_MILLIS = 20_000L
private const val MAX_CONNECTIONS = 10_000

/** Creates a client that opens a connection for each concurrent request, like separate callers. */
internal fun newCallerHttpClient(): HttpClient = HttpClient(CIO) {
    expectSuccess = false
    install(HttpTimeout) { connectTimeoutMillis = CONNECT_TIMEOUT_MILLIS }
    engine {
        maxConnectionsCount = MAX_CONNECTIONS
        endpoint.maxConnectionsPerRoute = MAX_CONNECTIONS
        endpoint.pipelineMaxSize = 1
        endpoint.keepAliveTime = KEEP_ALIVE_MILLIS
        requestTimeout = 0
    }
}
