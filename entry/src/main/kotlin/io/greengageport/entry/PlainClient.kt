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

/** How a call to a plain backend server ended. */
internal sealed interface SendEnd {
    /** The backend server answered. */
    class Answered(val answer: PlainAnswer, val leaving: Boolean) : SendEnd

    /** No connection; the call did not run. */
    data class NotSent(val reason: String) : SendEnd

    /** The call may have run. */
    data class Lost(val reason: String) : SendEnd
}

/** Speaks HTTP to plain backend servers. */
internal class PlainClient(
    private val client: HttpClient,
    private val once: HttpClient,
    private val selector: SelectorManager,
    private val connectMillis: Long
) {
    /** Whether [address] takes a new connection. */
    suspend fun accepts(address: String): Boolean {
        val to = HostPort.parseOrNull(address) ?: return false
        return try {
            withTimeoutOrNull(connectMillis) {
                aSocket(selector).tcp().connect(to.host, to.port).close()
                true
            } ?: false
        } catch (e: IOException) {
            false
        }
    }

    /** Sends [call] once. */
    suspend fun send(call: PlainCall, address: String): SendEnd = try {
        // A kept connection may have ended unseen, which would lose the only send of a call.
        val c = if (call.key == null) client else once
        val r = c.request("http://$address${call.target}") {
            timeout { connectTimeoutMillis = connectMillis }
            if (call.key != null) header(HttpHeaders.Connection, "close")
            method = HttpMethod.parse(call.method)
            for ((name, values) in call.headers) values.forEach { header(name, it) }
            if (call.body.isNotEmpty()) setBody(call.body)
        }
        answer(r)
    } catch (e: ConnectException) {
        SendEnd.NotSent(e.toString())
    } catch (e: ConnectTimeoutException) {
        SendEnd.NotSent(e.toString())
    } catch (e: IOException) {
        SendEnd.Lost(e.toString())
    } catch (e: IllegalStateException) {
        currentCoroutineContext().ensureActive()
        SendEnd.Lost(e.toString())
    }

    private suspend fun answer(r: HttpResponse): SendEnd {
        val body = try {
            r.readRawBytes()
        } catch (e: CancellationException) {
            currentCoroutineContext().ensureActive()
            return SendEnd.Lost(e.toString())
        }
        val leaving = r.headers[EngineClient.LEAVING_HEADER] == "true"
        val headers = r.headers.entries()
            .filter { it.key.lowercase() !in HOP_BY_HOP }
            .associate { it.key to it.value }
        return SendEnd.Answered(PlainAnswer(r.status.value, headers, body), leaving)
    }

    companion object {
        /** Headers that concern one connection only (RFC 9110, section 7.6.1), or its framing. */
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
