package io.greengageport.gateway.forward

import com.github.michaelbull.result.getOrElse
import io.greengageport.common.Clock
import io.greengageport.common.HostPort
import io.greengageport.common.RunnerId
import io.greengageport.gateway.http.ConnectionPool
import io.greengageport.gateway.http.HttpReply
import io.greengageport.gateway.model.Repeatability
import io.greengageport.gateway.port.BackendProtocol
import io.greengageport.gateway.port.Dispatch
import io.greengageport.gateway.port.ResponseHeaders
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.EmptyHttpHeaders
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import java.io.ByteArrayOutputStream
import java.io.IOException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

/**
 * Runs single attempts of requests at backend servers: sends the complete request, and either
 * buffers the response or relays it part by part.
 *
 * A connection is reused only after the complete response to this request was read from it. In all
 * other cases, including a disconnect of the caller, it is closed; most servers then stop the work.
 * An attempt that is abandoned before its response is complete resets the connection, so that bytes
 * that are still on their way are not delivered later.
 */
internal class BackendExchange(
    private val pool: ConnectionPool,
    private val protocol: BackendProtocol,
    private val clock: Clock,
    private val chainFailureNotifier: ChainFailureNotifier = ChainFailureNotifier()
) {
    /**
     * Sends the request of [context] as [dispatch] specifies and returns how the attempt ended.
     *
     * If the response head does not arrive within [headTimeoutMillis], or the response does not
     * advance in time, [silencePolicy] may replace the attempt, which then ends. The body of a
     * response with status 2xx goes to [reader] if there is one; other bodies are buffered, large
     * ones in [memory]. If one of [members] becomes unreachable, the response has to advance within
     * a short time.
     * [onResponseHeaders] is called with the headers of the response to this attempt, and whether
     * it came through a tunnel.
     */
    suspend fun run(
        context: RequestContext,
        dispatch: Dispatch,
        headTimeoutMillis: Long,
        memory: ResponseMemory.Reservation,
        silencePolicy: SilencePolicy,
        reader: ResponseReader? = null,
        members: List<RunnerId> = emptyList(),
        onResponseHeaders: (ResponseHeaders, isTunnelled: Boolean) -> Unit = { _, _ -> }
    ): AttemptEnd {
        val address = dispatch.server.address
        // On a connection that has carried the request before, the answer to that attempt could
        // come once more, and its id would match.
        val isFirstContact = context.contactedServers.add(address)
        val shouldBeNew =
            !isFirstContact || context.route.repeatability == Repeatability.AT_MOST_ONCE
        val connectTimeoutMillis = minOf(CONNECT_TIMEOUT_MILLIS, headTimeoutMillis)
        val lease = pool.acquire(dispatch.server, connectTimeoutMillis, shouldBeNew)
            .getOrElse { return AttemptEnd.NotConnected(it.reason, it.observer) }
        var isComplete = false
        var isReusable = false
        try {
            val attempt = Attempt(
                context,
                dispatch,
                lease,
                memory,
                silencePolicy,
                reader,
                onResponseHeaders
            )
            chainFailureNotifier.add(members, attempt)
            val end = try {
                attempt.run(headTimeoutMillis)
            } finally {
                chainFailureNotifier.remove(members, attempt)
            }
            isComplete = attempt.isComplete
            isReusable = attempt.isReusable
            if (isReusable) pool.release(lease, attempt.keepAliveMillis)
            return end
        } finally {
            when {
                !isComplete -> lease.channel.reset()
                !isReusable -> lease.channel.close()
            }
        }
    }

    private inner class Attempt(
        private val context: RequestContext,
        private val dispatch: Dispatch,
        private val lease: ConnectionPool.Lease,
        private val memory: ResponseMemory.Reservation,
        private val silencePolicy: SilencePolicy,
        private val reader: ResponseReader?,
        private val onResponseHeaders: (ResponseHeaders, isTunnelled: Boolean) -> Unit
    ) : WaitingAttempt {
        private var silenceTimeout: Job? = null
        private var scope: CoroutineScope? = null
        private val address: HostPort get() = lease.address
        private var timeoutAtMillis = 0L
        private var isBeingReplaced = false
        private var isSilent = false

        /** Number of parts that were taken from the connection, and of those that were handled. */
        private var takenParts = 0L
        private var handledParts = 0L

        /** Whether the response being received is informational or belongs to another attempt. */
        private var isIgnored = false
        private var hasIgnoredResponse = false
        private var skippedResponses = 0
        private var hasContent = false
        private var status = 0
        private var headers: HttpHeaders = EmptyHttpHeaders.INSTANCE
        private var currentResponse: ResponseHeaders? = null
        private val body = ByteArrayOutputStream(0)
        private var hasReserved = false

        /** Whether the complete response was received. */
        var isComplete = false
            private set
        var isReusable = false
            private set
        val keepAliveMillis: Long? get() = currentResponse?.keepAliveMillis

        suspend fun run(headTimeoutMillis: Long): AttemptEnd = coroutineScope {
            restartTimeout(headTimeoutMillis)
            scope = this
            silenceTimeout = launchSilenceTimeout(this)
            try {
                sendRequest()
                receiveResponse()
            } finally {
                // A notice of a lost stage that comes now must not start another examination, for
                // which the attempt would wait.
                scope = null
                silenceTimeout?.cancel()
            }
        }

        override fun onStageUnreachable() {
            val attemptScope = scope ?: return
            if (isSilent || isBeingReplaced) return
            val remainingMillis = timeoutAtMillis - clock.monotonicMillis()
            restartTimeout(minOf(remainingMillis, STAGE_LOSS_TIMEOUT_MILLIS))
            silenceTimeout?.cancel()
            silenceTimeout = launchSilenceTimeout(attemptScope)
        }

        private fun restartTimeout(millis: Long) {
            timeoutAtMillis = clock.monotonicMillis() + millis
        }

        /**
         * Returns whether the response did not advance in time, once the parts that have arrived
         * are handled; they wait while the caller reads slowly. Later parts do not count: a faulty
         * server may send parts without end that do not advance the response.
         */
        private suspend fun isOverdue(): Boolean {
            val arrivedParts = takenParts + lease.channel.receivedCount
            while (isPastTimeout() && handledParts < arrivedParts) delay(PENDING_CHECK_MILLIS)
            return isPastTimeout()
        }

        private fun isPastTimeout() = timeoutAtMillis <= clock.monotonicMillis()

        /**
         * Closes the connection when the response does not advance in time and [silencePolicy] has
         * replaced the attempt. Otherwise the attempt goes on, and the policy tries again, less and
         * less often, because each decision about a chain asks its first stage for a report.
         */
        private fun launchSilenceTimeout(scope: CoroutineScope): Job = scope.launch {
            var checkIntervalMillis = SILENCE_CHECK_INTERVAL_MILLIS
            while (true) {
                val remainingMillis = timeoutAtMillis - clock.monotonicMillis()
                if (remainingMillis > 0) {
                    delay(remainingMillis)
                    continue
                }
                if (-remainingMillis > LATE_MILLIS) {
                    // The thread was late, perhaps with the whole machine, which is no silence.
                    restartTimeout(SILENCE_CHECK_INTERVAL_MILLIS)
                    continue
                }
                if (!isOverdue()) continue
                silencePolicy.examine()
                // The response may have advanced meanwhile.
                if (!isOverdue()) continue
                if (isReplaced()) {
                    isSilent = true
                    lease.channel.reset()
                    return@launch
                }
                if (!isPastTimeout()) continue
                restartTimeout(checkIntervalMillis)
                checkIntervalMillis = minOf(2 * checkIntervalMillis, MAX_CHECK_INTERVAL_MILLIS)
            }
        }

        /**
         * Waits for a replacement; returns whether one has begun its response. Meanwhile a notice
         * of a lost stage, which the policy may cause itself, does not restart the timeout.
         */
        private suspend fun isReplaced(): Boolean {
            isBeingReplaced = true
            try {
                return silencePolicy.awaitReplacement()
            } finally {
                isBeingReplaced = false
            }
        }

        private fun sendRequest() {
            val head = context.head
            val headers = protocol.requestHeaders(head.headers(), dispatch)
            if (context.body.isNotEmpty() || hasBody(head.headers())) {
                headers.set(HttpHeaderNames.CONTENT_LENGTH, context.body.size)
            }
            lease.channel.write(
                DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1,
                    head.method(),
                    head.uri(),
                    Unpooled.wrappedBuffer(context.body),
                    headers,
                    EmptyHttpHeaders.INSTANCE
                )
            )
            // The response may arrive before the body is sent, so this does not wait for the peer.
            lease.channel.flushNow()
        }

        private fun hasBody(headers: HttpHeaders) =
            headers.contains(HttpHeaderNames.CONTENT_LENGTH) ||
                headers.contains(HttpHeaderNames.TRANSFER_ENCODING)

        private suspend fun receiveResponse(): AttemptEnd {
            while (true) {
                val part = lease.channel.receive() ?: return brokenEnd()
                takenParts++
                try {
                    if (part.decoderResult().isFailure) {
                        return AttemptEnd.Broken(
                            "$address: ${part.decoderResult().cause()}",
                            isStaleConnection = lease.isReused && currentResponse == null
                        )
                    }
                    if (part is HttpResponse) handleHead(part)?.let { return it }
                    if (part is HttpContent) handleContent(part)?.let { return it }
                } finally {
                    handledParts++
                    ReferenceCountUtil.release(part)
                }
            }
        }

        private fun handleHead(response: HttpResponse): AttemptEnd? {
            if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
                return skipResponse()
            }
            val responseHeaders = protocol.parseResponse(response)
            if (responseHeaders.attemptId == null && lease.isReused) {
                // It may be a duplicate of the response to an earlier request.
                return AttemptEnd.Broken(
                    "$address: response without attempt id on a reused connection",
                    isStaleConnection = true
                )
            }
            if (responseHeaders.attemptId != null &&
                responseHeaders.attemptId != context.id.value
            ) {
                hasIgnoredResponse = true
                return skipResponse()
            }
            isIgnored = false
            status = response.status().code()
            headers = response.headers()
            currentResponse = responseHeaders
            onResponseHeaders(responseHeaders, lease.isTunnelled)
            if (isSuccess()) {
                if (responseHeaders.attemptId == null || !responseHeaders.hasDigest) {
                    return AttemptEnd.Broken("$address: response without attempt id or digest")
                }
                val result = reader?.onHead(status, headers, responseHeaders)
                if (result != null) return handleResult(result)
            }
            restartTimeout(BODY_TIMEOUT_MILLIS)
            return null
        }

        /** Ignores a response up to its end, unless the server sends such responses without end. */
        private fun skipResponse(): AttemptEnd? {
            isIgnored = true
            if (++skippedResponses <= MAX_SKIPPED_RESPONSES) return null
            return AttemptEnd.Broken("$address: only responses that are not to this attempt")
        }

        private suspend fun handleContent(part: HttpContent): AttemptEnd? {
            if (currentResponse != null && !isIgnored && part.content().isReadable) {
                hasContent = true
                val isStream = reader != null && isSuccess()
                val end =
                    if (isStream) reader.onPart(part.content()) else buffer(part.content())
                handleResult(end)?.let { return it }
                // Only an event shows that the stream goes on; the rest of a body may never come.
                if (isStream && end is PartResult.Progress) silencePolicy.onAdvance()
            }
            if (part !is LastHttpContent) return null
            val responseHeaders = currentResponse
            if (isIgnored || responseHeaders == null) {
                isIgnored = false
                return null
            }
            return completeEnd(responseHeaders)
        }

        /** Applies the [result] of a part; returns the end of the attempt if it cannot go on. */
        private fun handleResult(result: PartResult): AttemptEnd? {
            when (result) {
                is PartResult.Progress -> restartTimeout(result.timeoutMillis)
                is PartResult.NoProgress -> Unit
                is PartResult.Malformed -> return AttemptEnd.Broken("$address: ${result.reason}")
                is PartResult.CallerGone -> return AttemptEnd.CallerGone
                is PartResult.Superseded -> return AttemptEnd.Superseded
            }
            return null
        }

        /**
         * Buffers a part of the body. Each part restarts the timeout, because a slow response is
         * valid; the deadline of the request bounds the total time.
         */
        private suspend fun buffer(part: ByteBuf): PartResult {
            val total = body.size() + part.readableBytes()
            if (total > MAX_RESPONSE_BYTES) {
                return PartResult.Malformed("response exceeds $MAX_RESPONSE_BYTES B")
            }
            if (total > SMALL_RESPONSE_BYTES && !hasReserved) reserveMemory()
            part.readBytes(body, part.readableBytes())
            return PartResult.Progress(BODY_TIMEOUT_MILLIS)
        }

        /** Waits for memory for the whole response. The server is not silent while it waits. */
        private suspend fun reserveMemory() {
            val length = headers[HttpHeaderNames.CONTENT_LENGTH]?.toIntOrNull()
            silenceTimeout?.cancel()
            memory.reserve((length ?: MAX_RESPONSE_BYTES).coerceIn(0, MAX_RESPONSE_BYTES).toLong())
            hasReserved = true
            restartTimeout(BODY_TIMEOUT_MILLIS)
            silenceTimeout = scope?.let(::launchSilenceTimeout)
        }

        private fun isSuccess() = status in SUCCESS

        /**
         * Ends the attempt after the last part of the response. A response without length or
         * chunked encoding is complete only if the connection was not reset.
         */
        private fun completeEnd(responseHeaders: ResponseHeaders): AttemptEnd {
            val failure = lease.channel.failure
            if (failure is IOException && !isFramed()) {
                return AttemptEnd.Broken(
                    "$address: connection reset during a response without length"
                )
            }
            val isStream = reader != null && isSuccess()
            if (isStream && !hasContent && !isFramed()) {
                return AttemptEnd.Broken("$address: closed before the first byte of the stream")
            }
            isComplete = true
            isReusable = !hasIgnoredResponse && isFramed() && !lease.channel.isClosed &&
                !headers.contains(HttpHeaderNames.CONNECTION, "close", true) &&
                lease.channel.isFlushed
            return when {
                responseHeaders.isNotRun -> AttemptEnd.NotRun(status, responseHeaders.failedStage)
                reader != null && isSuccess() -> AttemptEnd.Streamed
                else -> AttemptEnd.Answered(HttpReply(status, headers, body.toByteArray()))
            }
        }

        private fun isFramed() = headers.contains(HttpHeaderNames.CONTENT_LENGTH) ||
            headers.contains(HttpHeaderNames.TRANSFER_ENCODING, "chunked", true)

        private fun brokenEnd(): AttemptEnd {
            val reason = when {
                isSilent -> "silent"
                lease.channel.failure != null -> "${lease.channel.failure}"
                else -> "closed"
            }
            val phase =
                if (currentResponse == null) "before the response" else "during the response"
            return AttemptEnd.Broken("$address: $reason $phase", isSilent)
        }
    }

    private companion object {
        /**
         * Connecting takes some ms. TCP resends a lost SYN only after a second, so a longer wait
         * seldom helps.
         */
        const val CONNECT_TIMEOUT_MILLIS = 300L

        /**
         * Time for the next event of a chain after one of its stages was reported unreachable. The
         * pause between two events of a running chain is mostly shorter.
         */
        const val STAGE_LOSS_TIMEOUT_MILLIS = 60L

        /** First interval after which it is decided again whether a silent attempt is given up. */
        const val SILENCE_CHECK_INTERVAL_MILLIS = 250L
        const val MAX_CHECK_INTERVAL_MILLIS = 2_000L

        /** Delay of a timer that shows that the thread was late. */
        const val LATE_MILLIS = 100L

        /** Interval at which it is checked whether the received parts have been handled. */
        const val PENDING_CHECK_MILLIS = 20L

        /** Timeout for the next part of a buffered response after its head. */
        const val BODY_TIMEOUT_MILLIS = 2_000L

        /** Informational responses and late duplicates come singly. */
        const val MAX_SKIPPED_RESPONSES = 64

        /** Responses of plain services usually have some KB. */
        const val MAX_RESPONSE_BYTES = 4 * 1_024 * 1_024

        /** Responses up to this size need no reservation, so large ones cannot delay them. */
        const val SMALL_RESPONSE_BYTES = 64 * 1_024
        val SUCCESS = 200..299
    }
}
