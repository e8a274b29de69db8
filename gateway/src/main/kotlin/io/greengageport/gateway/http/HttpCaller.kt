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
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import java.io.ByteArrayOutputStream
import kotlinx.coroutines.withTimeoutOrNull

/**
 * Makes whole calls to one address over kept connections, as the store and engines' control calls
 * need them.
 *
 * A connection is kept only after a whole answer in order. A call that met a kept connection which
 * the peer had closed is not repeated here: whether it may be is for the caller to know.
 */
public class HttpCaller(private val connector: HttpConnector, private val address: HostPort) {
    private val idle = ArrayDeque<HttpChannel>()

    /** Sends [request] and reads its answer, all within [timeoutMillis]. */
    public suspend fun call(
        request: OutgoingRequest,
        timeoutMillis: Long
    ): Result<HttpReply, HttpFailure> {
        var connection: HttpChannel? = null
        var isReusable = false
        try {
            val result = withTimeoutOrNull(timeoutMillis) {
                val c = takeIdle() ?: connect(timeoutMillis)
                    .getOrElse { return@withTimeoutOrNull Err(it) }
                connection = c
                exchange(c, request)
            } ?: Err(silence(connection, timeoutMillis))
            val c = connection
            isReusable = c != null && result.isOk && isReusable(c, result.value)
            return result
        } finally {
            // Also when the caller was cancelled while it waited.
            connection?.let { if (isReusable) keep(it) else it.close() }
        }
    }

    /** Closes all idle connections, for instance after one of them turned out to be dead. */
    public fun closeIdle() {
        while (idle.isNotEmpty()) idle.removeFirst().close()
    }

    private suspend fun connect(timeoutMillis: Long) =
        connector.connect(address, minOf(timeoutMillis, CONNECT_MILLIS))

    private fun silence(connection: HttpChannel?, millis: Long): HttpFailure = when (connection) {
        null -> HttpFailure.NotConnected("$address: no connection within $millis ms")
        else -> HttpFailure.Broken("$address: no answer within $millis ms")
    }

    private suspend fun exchange(
        c: HttpChannel,
        request: OutgoingRequest
    ): Result<HttpReply, HttpFailure> {
        c.write(message(request))
        c.flush()
        var head: HttpResponse? = null
        val body = ByteArrayOutputStream()
        while (true) {
            val part = c.receive()
                ?: return Err(HttpFailure.Broken("$address: closed before the end of the answer"))
            try {
                if (part.decoderResult().isFailure) {
                    c.close()
                    return Err(HttpFailure.Broken("$address: ${part.decoderResult().cause()}"))
                }
                if (part is HttpResponse) head = part
                if (part is HttpContent) {
                    if (body.size() + part.content().readableBytes() > MAX_REPLY_BYTES) {
                        c.close()
                        val reason = "$address: an answer over $MAX_REPLY_BYTES B"
                        return Err(HttpFailure.Broken(reason))
                    }
                    part.content().readBytes(body, part.content().readableBytes())
                }
                val done = head
                if (part is LastHttpContent && done != null) {
                    return Ok(HttpReply(done.status().code(), done.headers(), body.toByteArray()))
                }
            } finally {
                ReferenceCountUtil.release(part)
            }
        }
    }

    private fun message(request: OutgoingRequest): DefaultFullHttpRequest {
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

    private fun isReusable(c: HttpChannel, reply: HttpReply): Boolean = !c.isClosed &&
        !c.hasReceived &&
        c.isFlushed &&
        !reply.headers.contains(HttpHeaderNames.CONNECTION, "close", true) &&
        (reply.headers.contains(HttpHeaderNames.CONTENT_LENGTH) || isChunked(reply))

    private fun isChunked(reply: HttpReply) =
        reply.headers.contains(HttpHeaderNames.TRANSFER_ENCODING, "chunked", true)

    private fun takeIdle(): HttpChannel? {
        while (idle.isNotEmpty()) {
            val c = idle.removeLast()
            if (!c.isClosed && !c.hasReceived) return c
            c.close()
        }
        return null
    }

    private fun keep(c: HttpChannel) {
        if (idle.size < MAX_IDLE) idle.addLast(c) else c.close()
    }

    private companion object {
        /** The store's answers have about a MB at most, reports of engines some KB. */
        const val MAX_REPLY_BYTES = 4 * 1_024 * 1_024

        /** A long read, a poll and a write may be open at the same time. */
        const val MAX_IDLE = 3

        /** A connection takes some ms; one that hangs is tried again soon. */
        const val CONNECT_MILLIS = 400L
    }
}
