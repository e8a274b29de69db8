package io.greengageport.entry

import io.greengageport.common.HostPort
import io.ktor.client.HttpClient
import io.ktor.client.network.sockets.ConnectTimeoutException
import io.ktor.client.plugins.timeout
import io.ktor.client.request.header
import io.ktor.client.request.request
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.readRawBytes
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.aSocket
import java.io.IOException
import java.net.ConnectException
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.withTimeoutOrNull

/**
 * How a call to the backend server of a plain service ended. The names of the subclasses are values
 * of the label `end` of the attempts metric.
 */
internal sealed interface SendEnd {
    /** The backend server answered. */
    class Answered(val answer: PlainAnswer, val isLeaving: Boolean) : SendEnd

    /** No connection was established; the call did not run. */
    data class NotSent(val reason: String) : SendEnd

    /** The answer was not received; the call may have run. */
    data class Lost(val reason: String) : SendEnd
}

/** Sends calls to the backend servers of plain services. */
internal class PlainClient(
    private val client: HttpClient,
    private val singleUseClient: HttpClient,
    private val selector: SelectorManager,
    private val connectMillis: Long
) {
    /** Returns whether [address] accepts a new connection. */
    suspend fun accepts(address: String): Boolean {
        val target = HostPort.parseOrNull(address) ?: return false
        return try {
            withTimeoutOrNull(connectMillis) {
                aSocket(selector).tcp().connect(target.host, target.port).close()
                true
            } ?: false
        } catch (e: IOException) {
            false
        }
    }

    /** Sends [call] to [address] once, without retries. */
    suspend fun send(call: PlainCall, address: String): SendEnd = try {
        // A pooled connection may be closed already, which would waste the only send of a call.
        val c = if (call.key == null) client else singleUseClient
        val r = c.request("http://$address${call.target}") {
            timeout { connectTimeoutMillis = connectMillis }
            if (call.key != null) header(HttpHeaders.Connection, "close")
            method = HttpMethod.parse(call.method)
            for ((name, values) in call.headers) values.forEach { header(name, it) }
            if (call.body.isNotEmpty()) setBody(call.body)
        }
        readAnswer(r)
    } catch (e: ConnectException) {
        SendEnd.NotSent(e.toString())
    } catch (e: ConnectTimeoutException) {
        SendEnd.NotSent(e.toString())
    } catch (e: IOException) {
        SendEnd.Lost(e.toString())
    } catch (e: IllegalStateException) {
        // Includes cancellations, which are rethrown if this coroutine itself was cancelled.
        currentCoroutineContext().ensureActive()
        SendEnd.Lost(e.toString())
    }

    private suspend fun readAnswer(r: HttpResponse): SendEnd {
        val body = try {
            r.readRawBytes()
        } catch (e: CancellationException) {
            currentCoroutineContext().ensureActive()
            return SendEnd.Lost(e.toString())
        }
        val isLeaving = r.headers[EngineClient.LEAVING_HEADER] == "true"
        val headers = r.headers.entries()
            .filter { it.key.lowercase() !in HOP_BY_HOP }
            .associate { it.key to it.value }
        return SendEnd.Answered(PlainAnswer(r.status.value, headers, body), isLeaving)
    }

    companion object {
        /** Headers that apply to one connection only (RFC 9110, section 7.6.1), or to framing. */
        val HOP_BY_HOP = setOf(
            "connection",
            "content-length",
            "greengage-leaving",
            "host",
            "keep-alive",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade"
        )
    }
}
