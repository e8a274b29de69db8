package io.greengageport.entry

import io.greengageport.ports.LoadReport
import io.greengageport.ports.RouteHop
import io.ktor.client.HttpClient
import io.ktor.client.network.sockets.ConnectTimeoutException
import io.ktor.client.plugins.timeout
import io.ktor.client.request.get
import io.ktor.client.request.header
import io.ktor.client.statement.bodyAsText
import io.ktor.http.HttpHeaders
import java.io.IOException
import java.net.ConnectException
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** The result of probing a runner. */
internal sealed interface ProbeResult {
    /** The runner answered; [report] is null for a plain service. */
    data class Answered(val report: LoadReport?) : ProbeResult

    /** The runner refuses new connections. */
    data object Refused : ProbeResult

    /** The runner did not answer in time, or the connection broke. */
    data object Silent : ProbeResult
}

/**
 * Requests the load reports of runners over new connections, to distinguish stopped runners from
 * runners that do not answer.
 */
internal class RunnerProbe(private val client: HttpClient, private val timeoutMillis: Long) {
    /** Probes all runners of [route] concurrently. */
    suspend fun probe(route: List<RouteHop>): Map<RouteHop, ProbeResult> = coroutineScope {
        route.map { hop -> async { hop to probe(hop.address) } }.awaitAll().toMap()
    }

    /**
     * Probes all runners of [route] after a stream broke, and repeats this up to [MAX_REPEATS]
     * times for those that do not answer. A crashing process closes its streams some time before
     * its port refuses connections, and only a refused connection proves the crash.
     */
    suspend fun probeBroken(route: List<RouteHop>): Map<RouteHop, ProbeResult> {
        var results = probe(route)
        repeat(MAX_REPEATS) {
            val silent = results.filterValues { it == ProbeResult.Silent }.keys.toList()
            if (silent.isEmpty()) return results
            delay(REPEAT_DELAY_MILLIS)
            results = results + probe(silent)
        }
        return results
    }

    /** Probes the runner at [address]. */
    suspend fun probe(address: String): ProbeResult = try {
        val r = client.get("http://$address/v1/load") {
            // A pooled connection may itself be the cause of the silence.
            header(HttpHeaders.Connection, "close")
            timeout {
                connectTimeoutMillis = timeoutMillis
                requestTimeoutMillis = timeoutMillis
            }
        }
        ProbeResult.Answered(decodeReport(r.bodyAsText()))
    } catch (e: ConnectTimeoutException) {
        // A subclass of ConnectException. The runner may be overloaded and must not count as
        // crashed.
        ProbeResult.Silent
    } catch (e: ConnectException) {
        ProbeResult.Refused
    } catch (e: IOException) {
        ProbeResult.Silent
    } catch (e: CancellationException) {
        currentCoroutineContext().ensureActive()
        ProbeResult.Silent
    }

    private fun decodeReport(text: String): LoadReport? = try {
        json.decodeFromString<LoadReport>(text)
    } catch (e: SerializationException) {
        null
    }

    private companion object {
        const val MAX_REPEATS = 2
        const val REPEAT_DELAY_MILLIS = 50L
        val json = Json { ignoreUnknownKeys = true }
    }
}
