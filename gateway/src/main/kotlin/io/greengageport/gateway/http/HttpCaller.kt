package io.greengageport.gateway.http

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import io.greengageport.common.HostPort
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.EmptyHttpHeaders
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import java.io.ByteArrayOutputStream
import java.io.IOException
import kotlinx.coroutines.withTimeoutOrNull

/**
 * HTTP client for one address that buffers responses and reuses connections. It serves calls to the
 * store and control calls to engines.
 *
 * A connection is reused only after a complete response. A call that fails because the peer closed
 * an idle connection is not retried here; only the calling code knows whether a retry is safe. A
 * call that is abandoned resets its connection, so that the peer does not receive it later.
 */
public class HttpCaller(private val connector: HttpConnector, private val address: HostPort) {
    private val idle = ArrayDeque<HttpChannel>()

    /** Sends [request] and reads the complete response within [timeoutMillis]. */
    public suspend fun call(
        request: OutgoingRequest,
        timeoutMillis: Long
    ): Result<HttpReply, HttpFailure> {
        var connection: HttpChannel? = null
        var isComplete = false
        var isReusable = false
        try {
            val result = withTimeoutOrNull(timeoutMillis) {
                val channel = takeIdle() ?: connect(timeoutMillis)
                    .getOrElse { return@withTimeoutOrNull Err(it) }
                connection = channel
                exchange(channel, request)
            } ?: Err(timeoutFailure(connection, timeoutMillis))
            val channel = connection
            isComplete = result.isOk
            isReusable = channel != null && result.isOk && isReusable(channel, result.value)
            return result
        } finally {
            // Also runs when the calling coroutine is cancelled.
            connection?.let {
                when {
                    isReusable -> keep(it)
                    isComplete -> it.close()
                    else -> it.reset()
                }
            }
        }
    }

    /** Closes all idle connections, for example after one of them failed. */
    public fun closeIdle() {
        while (idle.isNotEmpty()) idle.removeFirst().close()
    }

    private suspend fun connect(timeoutMillis: Long) =
        connector.connect(address, minOf(timeoutMillis, CONNECT_TIMEOUT_MILLIS))

    private fun timeoutFailure(connection: HttpChannel?, millis: Long): HttpFailure =
        when (connection) {
            null -> HttpFailure.NotConnected("$address: no connection within $millis ms")
            else -> HttpFailure.Broken("$address: no response within $millis ms")
        }

    private suspend fun exchange(
        channel: HttpChannel,
        request: OutgoingRequest
    ): Result<HttpReply, HttpFailure> {
        channel.write(nettyRequest(request))
        channel.flush()
        var head: HttpResponse? = null
        val body = ByteArrayOutputStream()
        while (true) {
            val part = channel.receive()
                ?: return Err(HttpFailure.Broken("$address: closed before the end of the response"))
            try {
                if (part.decoderResult().isFailure) {
                    channel.reset()
                    return Err(HttpFailure.Broken("$address: ${part.decoderResult().cause()}"))
                }
                if (part is HttpResponse) head = part.takeUnless { isInformational(it) }
                if (part is HttpContent) {
                    if (body.size() + part.content().readableBytes() > MAX_REPLY_BYTES) {
                        channel.reset()
                        val reason = "$address: response exceeds $MAX_REPLY_BYTES B"
                        return Err(HttpFailure.Broken(reason))
                    }
                    part.content().readBytes(body, part.content().readableBytes())
                }
                val responseHead = head
                if (part is LastHttpContent && responseHead != null) {
                    if (channel.failure is IOException && !isFramed(responseHead.headers())) {
                        val reason = "$address: connection reset during a response without length"
                        return Err(HttpFailure.Broken(reason))
                    }
                    return Ok(
                        HttpReply(
                            responseHead.status().code(),
                            responseHead.headers(),
                            body.toByteArray()
                        )
                    )
                }
            } finally {
                ReferenceCountUtil.release(part)
            }
        }
    }

    private fun nettyRequest(request: OutgoingRequest): DefaultFullHttpRequest {
        val headers = DefaultHttpHeaders().add(request.headers)
        if (!headers.contains(HttpHeaderNames.HOST)) {
            headers.set(HttpHeaderNames.HOST, address.toString())
        }
        headers.set(HttpHeaderNames.CONTENT_LENGTH, request.body.size)
        return DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            request.method,
            request.path,
            Unpooled.wrappedBuffer(request.body),
            headers,
            EmptyHttpHeaders.INSTANCE
        )
    }

    private fun isReusable(channel: HttpChannel, reply: HttpReply): Boolean = channel.isReusable &&
        !reply.headers.contains(HttpHeaderNames.CONNECTION, "close", true) &&
        isFramed(reply.headers)

    private fun isInformational(response: HttpResponse) =
        response.status().codeClass() == HttpStatusClass.INFORMATIONAL

    /** Whether a response states where it ends; otherwise it ends with its connection. */
    private fun isFramed(headers: HttpHeaders) = headers.contains(HttpHeaderNames.CONTENT_LENGTH) ||
        headers.contains(HttpHeaderNames.TRANSFER_ENCODING, "chunked", true)

    private fun takeIdle(): HttpChannel? {
        while (idle.isNotEmpty()) {
            val channel = idle.removeLast()
            if (channel.isReusable) return channel
            channel.close()
        }
        return null
    }

    private fun keep(channel: HttpChannel) {
        if (idle.size >= MAX_IDLE_CONNECTIONS) return channel.close()
        channel.keepIdle()
        idle.addLast(channel)
    }

    private companion object {
        /** Responses of the store have up to about 1 MB, reports of engines some KB. */
        const val MAX_REPLY_BYTES = 4 * 1_024 * 1_024

        /** A long read, a poll and a write may run at the same time. */
        const val MAX_IDLE_CONNECTIONS = 3

        /** Connecting takes some ms; a connection that hangs is soon tried again. */
        const val CONNECT_TIMEOUT_MILLIS = 400L
    }
}
