package io.greengageport.gateway.forward

import io.greengageport.common.RequestError
import io.greengageport.gateway.http.HttpChannel
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.EmptyHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import java.util.Locale

/**
 * The response to one request of a caller, sent whole or streamed in chunks.
 *
 * [isLast] tells whether the connection is to be closed after this response. The request's head
 * was read at [requestedAtMillis] on the monotonic clock; its body may have arrived later.
 */
internal class CallerResponse(
    private val channel: HttpChannel,
    val requestedAtMillis: Long,
    private val isLast: () -> Boolean,
    private val isHeadRequest: Boolean = false
) {
    /** Whether the response head was sent. */
    var isStarted: Boolean = false
        private set

    /** Whether the response was written to its end; its last bytes may wait for the caller. */
    var isWritten: Boolean = false
        private set

    /** Whether the response was sent to its end. */
    var isComplete: Boolean = false
        private set

    /** The status that was sent, for logs; 0 before the response starts. */
    var status: Int = 0
        private set

    /** Whether the connection closes after this response. */
    var endsConnection: Boolean = false
        private set

    /** Sends a complete response. Throws [IllegalStateException] if one was started before. */
    suspend fun respond(status: Int, headers: HttpHeaders, body: ByteArray) {
        check(!isStarted) { "the response has already been started" }
        recordStart(status)
        val response = DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(status),
            if (isHeadRequest) Unpooled.EMPTY_BUFFER else Unpooled.wrappedBuffer(body),
            connectionHeaders(headers),
            EmptyHttpHeaders.INSTANCE
        )
        if (!isHeadRequest) response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.size)
        channel.write(response)
        isWritten = true
        isComplete = channel.flush()
    }

    /**
     * Sends [error] as a response of the gateway itself. [retryAfterMillis] becomes its Retry-After
     * header, in seconds.
     */
    suspend fun refuse(error: RequestError, retryAfterMillis: Long? = error.retryAfterMillis) {
        val headers = DefaultHttpHeaders()
            .set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON)
        retryAfterMillis?.let {
            headers.set(HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.2f", it / 1e3))
        }
        val body = "{\"code\":\"${error.code}\",\"execution\":\"${error.execution.wireName}\"}"
        respond(error.status, headers, body.toByteArray())
    }

    /** Starts a streamed response. Throws [IllegalStateException] if one was started before. */
    fun start(status: Int, headers: HttpHeaders) {
        check(!isStarted) { "the response has already been started" }
        recordStart(status)
        val response = DefaultHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(status),
            connectionHeaders(headers)
        )
        response.headers().remove(HttpHeaderNames.CONTENT_LENGTH)
        response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
        channel.write(response)
    }

    /**
     * Sends a part of a streamed response and suspends while the caller reads too slowly. Returns
     * false if the connection is closed.
     */
    suspend fun send(part: ByteBuf): Boolean {
        channel.write(DefaultHttpContent(part))
        return channel.flush()
    }

    /** Ends a streamed response. */
    suspend fun finish() {
        channel.write(LastHttpContent.EMPTY_LAST_CONTENT)
        isWritten = true
        isComplete = channel.flush()
    }

    private fun recordStart(status: Int) {
        isStarted = true
        this.status = status
        endsConnection = isLast()
    }

    private fun connectionHeaders(headers: HttpHeaders): HttpHeaders {
        val copy = DefaultHttpHeaders().set(headers)
        if (endsConnection) copy.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        return copy
    }
}
