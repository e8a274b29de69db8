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

/** What a direct question showed about a runner. */
internal sealed interface ProbeResult {
    /** The runner answered; [report] is null for a plain service. */
    data class Answered(val report: LoadReport?) : ProbeResult

    /** New connections are refused. */
    data object Refused : ProbeResult

    /** No answer in time, or a broken one. */
    data object Silent : ProbeResult
}

/** Asks runners for their load on new connections, to tell those that ended from silent ones. */
internal class RunnerProbe(private val client: HttpClient, private val timeoutMillis: Long) {
    /** Probes all runners of [route] at once. */
    suspend fun probe(route: List<RouteHop>): Map<RouteHop, ProbeResult> = coroutineScope {
        route.map { hop -> async { hop to probe(hop.address) } }.awaitAll().toMap()
    }

    /**
     * Probes all runners of [route] after a stream broke, and those without an answer again, up to
     * [REPEATS] times: a process that crashes closes its streams some time before its port refuses
     * connections, and only the refusal shows the crash.
     */
    suspend fun probeBroken(route: List<RouteHop>): Map<RouteHop, ProbeResult> {
        var results = probe(route)
        repeat(REPEATS) {
            val silent = results.filterValues { it == ProbeResult.Silent }.keys.toList()
            if (silent.isEmpty()) return results
            delay(REPEAT_MILLIS)
            results = results + probe(silent)
        }
        return results
    }

    /** Probes the runner at [address]. */
    suspend fun probe(address: String): ProbeResult = try {
        val r = client.get("http://$address/v1/load") {
            // A kept connection may be the silent one that is to be told from a runner that ended.
            header(HttpHeaders.Connection, "close")
            timeout {
                connectTimeoutMillis = timeoutMillis
                requestTimeoutMillis = timeoutMillis
            }
        }
        ProbeResult.Answered(decode(r.bodyAsText()))
    } catch (e: ConnectTimeoutException) {
        // A subclass of ConnectException: an overloaded runner is no crashed one.
        ProbeResult.Silent
    } catch (e: ConnectException) {
        ProbeResult.Refused
    } catch (e: IOException) {
        ProbeResult.Silent
    } catch (e: CancellationException) {
        currentCoroutineContext().ensureActive()
        ProbeResult.Silent
    }

    private fun decode(text: String): LoadReport? = try {
        json.decodeFromString<LoadReport>(text)
    } catch (e: SerializationException) {
        null
    }

    private companion object {
        const val REPEATS = 2
        const val REPEAT_MILLIS = 50L
        val json = Json { ignoreUnknownKeys = true }
    }
}
