package io.greengageport.gateway.forward

import io.greengageport.common.Clock
import io.greengageport.common.RequestError
import io.greengageport.gateway.http.ArrivalMarker
import io.greengageport.gateway.http.ConnectionCloser
import io.greengageport.gateway.http.HttpChannel
import io.greengageport.gateway.model.CallerLimits
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException
import io.netty.util.ReferenceCountUtil
import java.io.ByteArrayOutputStream
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull

/** Handles a request that was read completely. */
internal fun interface CallerRequestHandler {
    suspend fun handle(head: HttpRequest, body: ByteArray, response: CallerResponse)
}

/**
 * One connection of a caller. Reads each request completely and passes it to [handler], one after
 * the other.
 *
 * When the caller closes the connection, the request being handled is cancelled, and with it the
 * work at the backend server.
 */
internal class CallerConnection(
    private val channel: HttpChannel,
    private val marker: ArrivalMarker,
    private val limits: () -> CallerLimits,
    private val isStopping: () -> Boolean,
    private val handler: CallerRequestHandler,
    private val closer: ConnectionCloser,
    private val clock: Clock,
    private val maxHeaderBytes: () -> Int = { limits().maxHeaderBytes }
) {
    /** When the connection was accepted, in ms on the monotonic clock. */
    val openedAtMillis: Long = clock.monotonicMillis()
    private var hasServed = false

    /** Whether an answer tells the caller that the connection ends. */
    private var isAnswered = false

    /** Whether a request is being read or handled. */
    private var isBusy = false

    private var isClosing = false

    /** Whether bytes arrived that belong to no request that was read. */
    private val hasUnreadInput get() = channel.hasReceived || marker.hasArrived

    /**
     * Whether a request is being read or handled, a part of one has arrived, or an answer has not
     * been sent to its end.
     */
    val isActive: Boolean
        get() = !channel.isClosed &&
            (isBusy || isClosing || hasUnreadInput || channel.unsentBytes > 0)

    /** Number of bytes of answers that the caller has not taken. */
    val unsentBytes: Long get() = channel.unsentBytes

    /** Handles requests until the connection is closed. */
    suspend fun run() {
        try {
            do {
                handleRequests()
                // A caller can send a request while it still takes the answer before it.
            } while (!isAnswered && closer.awaitFlushed(channel) && channel.hasReceived)
        } finally {
            isClosing = true
            closer.close(channel, isAnswered)
        }
    }

    private suspend fun handleRequests() {
        while (handleNext()) {
            isBusy = false
            hasServed = true
        }
    }

    /**
     * Closes the connection unless a request is being handled or has begun to arrive. Answers that
     * the caller has not taken are sent first. A new connection stays open until its first request
     * has had time to arrive.
     */
    fun closeIfIdle() {
        val isNew = !hasServed &&
            clock.monotonicMillis() - openedAtMillis < FIRST_REQUEST_MILLIS
        if (!isBusy && !hasUnreadInput && !isNew) channel.endInput()
    }

    /** Stops waiting for requests, and for the rest of a body, whose request is then refused. */
    fun endInput() = channel.endInput()

    /** Closes the connection at once; what was not sent is lost. */
    fun abort() = channel.close()

    private suspend fun handleNext(): Boolean {
        val head = awaitHead() ?: return false
        isBusy = true
        val response = CallerResponse(
            channel = channel,
            requestedAtMillis = clock.monotonicMillis(),
            // Requests that the caller sent without waiting for this answer are answered too.
            isLast = { (isStopping() && !hasUnreadInput) || !HttpUtil.isKeepAlive(head) },
            isHeadRequest = head.method() == HttpMethod.HEAD
        )
        val failure = head.decoderResult().cause()
        if (failure != null || isAmbiguous(head)) {
            refuseMalformed(failure, response)
            return false
        }
        if (isTooLarge(head)) {
            refuse(HEAD_TOO_LARGE)
            return false
        }
        val body = readBody(head, response) ?: return false
        marker.hasArrived = channel.hasReceived
        handleRequest(head, body, response)
        isAnswered = response.endsConnection || !response.isComplete
        return response.isComplete && !response.endsConnection
    }

    private suspend fun handleRequest(
        head: HttpRequest,
        body: ByteArray,
        response: CallerResponse
    ) {
        if (channel.isClosed) return
        coroutineScope {
            val job = launch { handler.handle(head, body, response) }
            channel.onClosed = job::cancel
            job.join()
            channel.onClosed = null
        }
    }

    /**
     * Waits for the head of the next request. Returns null if the connection closed, was idle for
     * too long or did not deliver the whole head in time; in the last case, a 408 response is sent.
     *
     * The idle timeout is the longer one of the configurations at the start of the wait and now,
     * because a caller may rely on either. The header timeout counts from the first check at which
     * a part of the head has arrived, since the connection may have been idle for longer before.
     */
    private suspend fun awaitHead(): HttpRequest? {
        val firstIdleTimeoutMillis = limits().idleTimeoutMillis
        var waitedMillis = 0L
        var isHeadArriving = marker.hasArrived
        while (true) {
            val part = withTimeoutOrNull(HEAD_CHECK_INTERVAL_MILLIS) { Received(channel.receive()) }
            if (part == null) {
                waitedMillis += HEAD_CHECK_INTERVAL_MILLIS
                if (!isHeadArriving && marker.hasArrived) {
                    isHeadArriving = true
                    waitedMillis = 0
                }
                // A part that arrives just as the check is due has not been taken yet.
                if (channel.hasReceived || waitedMillis < headLimit(firstIdleTimeoutMillis)) {
                    continue
                }
                if (isHeadArriving) refuse(REQUEST_TIMEOUT)
                return null
            }
            val message = part.value ?: return null
            if (message is HttpRequest) return message
            ReferenceCountUtil.release(message)
        }
    }

    /** Time without a complete head after which the connection is closed. */
    private fun headLimit(firstIdleTimeoutMillis: Long): Long = when {
        marker.hasArrived -> limits().headerTimeoutMillis
        else -> maxOf(firstIdleTimeoutMillis, limits().idleTimeoutMillis)
    }

    /** Tells a closed connection (a null [value]) from a timeout. */
    private class Received(val value: HttpObject?)

    /**
     * Reads the body of the request. Returns null if the connection closed, or after sending an
     * error response if the body is too large, malformed or not delivered in time.
     */
    private suspend fun readBody(head: HttpRequest, response: CallerResponse): ByteArray? {
        val limits = limits()
        if (HttpUtil.getContentLength(head, 0L) > limits.maxBodyBytes) {
            refuse(TOO_LARGE)
            return null
        }
        if (HttpUtil.is100ContinueExpected(head)) channel.write(newContinueResponse())
        if (HttpUtil.is100ContinueExpected(head)) channel.flush()
        val body = ByteArrayOutputStream(0)
        while (true) {
            val part = withTimeoutOrNull(limits.idleTimeoutMillis) { Received(channel.receive()) }
            if (part == null) {
                refuse(REQUEST_TIMEOUT)
                return null
            }
            val content = part.value as? HttpContent
            if (content == null) {
                if (!channel.isClosed) refuseIncomplete(response)
                return null
            }
            try {
                content.content().readBytes(body, content.content().readableBytes())
                if (body.size() > limits.maxBodyBytes) {
                    refuse(TOO_LARGE)
                    return null
                }
                if (content.decoderResult().isFailure) {
                    refuseMalformed(content.decoderResult().cause(), response)
                    return null
                }
                if (content is LastHttpContent) return body.toByteArray()
            } finally {
                content.release()
            }
        }
    }

    /**
     * Whether the framing or the Host header is ambiguous. Other servers may frame such a request
     * differently, which allows request smuggling.
     */
    private fun isAmbiguous(head: HttpRequest): Boolean {
        val lengths = head.headers().getAll(HttpHeaderNames.CONTENT_LENGTH)
        val encodings = head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING)
        return lengths.size > 1 || (lengths.isNotEmpty() && encodings.isNotEmpty()) ||
            head.headers().getAll(HttpHeaderNames.HOST).size != 1
    }

    /**
     * Whether the head exceeds the limit now in force. The limit of the decoder is fixed when the
     * connection opens. As there, the request line and the headers have the limit each.
     */
    private fun isTooLarge(head: HttpRequest): Boolean {
        val limit = maxHeaderBytes()
        var headerBytes = 0
        for ((name, value) in head.headers()) {
            headerBytes += name.length + value.length + HEADER_SEPARATOR_BYTES
        }
        return headerBytes > limit || head.uri().length > limit
    }

    private suspend fun refuseMalformed(cause: Throwable?, response: CallerResponse) {
        if (response.isStarted) return
        when (cause) {
            is TooLongHttpHeaderException, is TooLongHttpLineException -> refuse(HEAD_TOO_LARGE)
            else -> refuse(BAD_REQUEST)
        }
    }

    /** Refuses a request whose body has not arrived before the end of the process. */
    private suspend fun refuseIncomplete(response: CallerResponse) {
        isAnswered = true
        response.refuse(
            RequestError.NotServing(
                "the instance is stopping",
                RequestRouter.STOPPING_RETRY_MILLIS
            )
        )
    }

    private suspend fun refuse(status: Int) {
        isAnswered = true
        val response = CallerResponse(channel, clock.monotonicMillis(), isLast = { true })
        response.respond(status, DefaultHttpHeaders(), ByteArray(0))
    }

    private fun newContinueResponse() = DefaultFullHttpResponse(
        HttpVersion.HTTP_1_1,
        HttpResponseStatus.CONTINUE,
        Unpooled.EMPTY_BUFFER
    )

    private companion object {
        /** Interval at which timeouts for a request head are checked. */
        const val HEAD_CHECK_INTERVAL_MILLIS = 500L

        /** Time from the accept of a connection until its first request has usually arrived. */
        const val FIRST_REQUEST_MILLIS = 300L

        /** The colon and the space between the name and the value of a header. */
        const val HEADER_SEPARATOR_BYTES = 2
        const val BAD_REQUEST = 400
        val REQUEST_TIMEOUT = HttpResponseStatus.REQUEST_TIMEOUT.code()
        val TOO_LARGE = HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE.code()
        val HEAD_TOO_LARGE = HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE.code()
    }
}
