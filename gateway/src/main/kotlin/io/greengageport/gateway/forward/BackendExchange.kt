package io.greengageport.gateway.forward

import com.github.michaelbull.result.getOrElse
import io.greengageport.common.Clock
import io.greengageport.common.HostPort
import io.greengageport.common.RunnerId
import io.greengageport.gateway.http.ConnectionPool
import io.greengageport.gateway.http.HttpReply
import io.greengageport.gateway.model.Repeatability
import io.greengageport.gateway.port.AnswerHeaders
import io.greengageport.gateway.port.BackendProtocol
import io.greengageport.gateway.port.Dispatch
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
 * One attempt of a request at a backend server: the request is sent whole, and the answer is read
 * to its end or handed on part by part.
 *
 * A connection is used again only after a whole answer to this very request on it. In all other
 * cases, also when the caller leaves, it is closed, which stops the work at most servers.
 */
internal class BackendExchange(
    private val pool: ConnectionPool,
    private val protocol: BackendProtocol,
    private val clock: Clock,
    private val chainWatch: ChainWatch = ChainWatch()
) {
    /** Bytes of answers that are held in memory, over all attempts. */
    private var bufferedBytes = 0L

    /**
     * Sends the request of [context] as [dispatch] says. The head of the answer has to arrive
     * within [headMillis]; an answer of status 200 goes to [reader] if there is one. If one of
     * [members] is found unreachable meanwhile, the attempt ends unless it shows signs of life.
     */
    suspend fun run(
        context: RequestContext,
        dispatch: Dispatch,
        headMillis: Long,
        reader: AnswerReader? = null,
        members: List<RunnerId> = emptyList(),
        onAnswer: (AnswerHeaders) -> Unit = {}
    ): AttemptEnd {
        val address = dispatch.server.address
        val isFresh = context.route.repeatability == Repeatability.AT_MOST_ONCE
        val connectMillis = minOf(CONNECT_MILLIS, headMillis)
        val lease = pool.acquire(address, connectMillis, isFresh)
            .getOrElse { return AttemptEnd.NotConnected(it.reason) }
        var isReusable = false
        try {
            val attempt = Attempt(context, dispatch, lease, reader, onAnswer)
            chainWatch.add(members, attempt)
            val end = try {
                attempt.run(headMillis)
            } finally {
                bufferedBytes -= attempt.buffered
                chainWatch.remove(members, attempt)
            }
            isReusable = attempt.isReusable
            if (isReusable) pool.release(lease, attempt.keepAliveMillis)
            return end
        } finally {
            if (!isReusable) lease.channel.close()
        }
    }

    private inner class Attempt(
        private val context: RequestContext,
        private val dispatch: Dispatch,
        private val lease: ConnectionPool.Lease,
        private val reader: AnswerReader?,
        private val onAnswer: (AnswerHeaders) -> Unit
    ) : WaitingAttempt {
        private var watch: Job? = null
        private var scope: CoroutineScope? = null
        private val address: HostPort get() = lease.address
        private var silentAtMillis = 0L
        private var isSilent = false
        private var isForeign = false
        private var wasForeign = false
        private var status = 0
        private var headers: HttpHeaders = EmptyHttpHeaders.INSTANCE
        private var answer: AnswerHeaders? = null
        private val body = ByteArrayOutputStream(0)

        val buffered: Int get() = body.size()
        var isReusable = false
            private set
        val keepAliveMillis: Long? get() = answer?.keepAliveMillis

        suspend fun run(headMillis: Long): AttemptEnd = coroutineScope {
            expect(headMillis)
            scope = this
            watch = watchSilence(this)
            try {
                send()
                read()
            } finally {
                watch?.cancel()
            }
        }

        override fun onStageUnreachable() {
            val s = scope ?: return
            silentAtMillis = minOf(silentAtMillis, clock.monotonicMillis() + LIFE_SIGN_MILLIS)
            watch?.cancel()
            watch = watchSilence(s)
        }

        private fun expect(millis: Long) {
            silentAtMillis = clock.monotonicMillis() + millis
        }

        /** Closes the connection when the next part is overdue. */
        private fun watchSilence(scope: CoroutineScope): Job = scope.launch {
            while (true) {
                val left = silentAtMillis - clock.monotonicMillis()
                if (left <= 0) {
                    isSilent = true
                    lease.channel.close()
                    return@launch
                }
                delay(left)
            }
        }

        private fun send() {
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
            // The answer may come before the body is sent, so this does not wait for the peer.
            lease.channel.flushNow()
        }

        private fun hasBody(headers: HttpHeaders) =
            headers.contains(HttpHeaderNames.CONTENT_LENGTH) ||
                headers.contains(HttpHeaderNames.TRANSFER_ENCODING)

        private suspend fun read(): AttemptEnd {
            while (true) {
                val part = lease.channel.receive() ?: return broken()
                try {
                    if (part.decoderResult().isFailure) {
                        return AttemptEnd.Broken("$address: ${part.decoderResult().cause()}")
                    }
                    if (part is HttpResponse) takeHead(part)?.let { return it }
                    if (part is HttpContent) takeContent(part)?.let { return it }
                } finally {
                    ReferenceCountUtil.release(part)
                }
            }
        }

        private fun takeHead(response: HttpResponse): AttemptEnd? {
            if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
                isForeign = true
                return null
            }
            val a = protocol.readAnswer(response)
            if (a.attemptId == null && lease.isReused) {
                // It may be a copy of the answer to an earlier request.
                return AttemptEnd.Broken("$address: an answer without id on a kept connection")
            }
            isForeign = a.attemptId != null && a.attemptId != context.id.value
            if (isForeign) {
                wasForeign = true
                return null
            }
            status = response.status().code()
            headers = response.headers()
            answer = a
            onAnswer(a)
            if (isSuccess()) {
                if (a.attemptId == null || !a.hasDigest) {
                    return AttemptEnd.Broken("$address: an answer without id or digest")
                }
                expect(reader?.onHead(status, headers, a) ?: BODY_MILLIS)
            } else {
                expect(BODY_MILLIS)
            }
            return null
        }

        private suspend fun takeContent(part: HttpContent): AttemptEnd? {
            if (answer != null && !isForeign && part.content().isReadable) {
                val end = if (reader != null && isSuccess()) {
                    reader.onPart(part.content())
                } else {
                    buffer(part.content())
                }
                when (end) {
                    is PartEnd.Progress -> expect(end.millis)
                    is PartEnd.NoProgress -> Unit
                    is PartEnd.Malformed -> return AttemptEnd.Broken("$address: ${end.reason}")
                    is PartEnd.CallerGone -> return AttemptEnd.CallerGone
                }
            }
            if (part !is LastHttpContent) return null
            val a = answer
            if (isForeign || a == null) {
                isForeign = false
                return null
            }
            return whole(a)
        }

        /** A slow answer that goes on is sound; the request's deadline bounds it as a whole. */
        private fun buffer(part: ByteBuf): PartEnd {
            val size = part.readableBytes()
            val total = bufferedBytes + size
            if (body.size() + size > MAX_ANSWER_BYTES || total > MAX_BUFFERED_BYTES) {
                return PartEnd.Malformed("an answer over $MAX_ANSWER_BYTES B, $total B in all")
            }
            bufferedBytes = total
            part.readBytes(body, size)
            return PartEnd.Progress(BODY_MILLIS)
        }

        private fun isSuccess() = status in SUCCESS

        /** The answer is complete, unless it ended with a connection that was reset. */
        private fun whole(a: AnswerHeaders): AttemptEnd {
            val failure = lease.channel.failure
            if (failure is IOException && !isFramed()) {
                return AttemptEnd.Broken("$address: reset within an answer without length")
            }
            isReusable = !wasForeign && isFramed() && !lease.channel.isClosed &&
                !headers.contains(HttpHeaderNames.CONNECTION, "close", true) &&
                lease.channel.isFlushed
            return when {
                a.isNotRun -> AttemptEnd.NotRun(status, a.failedStage)
                reader != null && isSuccess() -> AttemptEnd.Streamed
                else -> AttemptEnd.Answered(HttpReply(status, headers, body.toByteArray()))
            }
        }

        private fun isFramed() = headers.contains(HttpHeaderNames.CONTENT_LENGTH) ||
            headers.contains(HttpHeaderNames.TRANSFER_ENCODING, "chunked", true)

        private fun broken(): AttemptEnd {
            val reason = when {
                isSilent -> "silent"
                lease.channel.failure != null -> "${lease.channel.failure}"
                else -> "closed"
            }
            val where = if (answer == null) "before the answer" else "within the answer"
            return AttemptEnd.Broken("$address: $reason $where", isSilent)
        }
    }

    private companion object {
        /** A connection takes some ms; a lost opening packet is sent again after a second. */
        const val CONNECT_MILLIS = 300L

        /**
         * Time for a sign of life of a chain of which a stage is said to be gone: the pause between
         * two events of a chain that runs is mostly shorter.
         */
        const val LIFE_SIGN_MILLIS = 60L

        /** Time for the next part of an answer that is read whole, once its head is there. */
        const val BODY_MILLIS = 2_000L

        /** Answers of plain services have some KB. */
        const val MAX_ANSWER_BYTES = 4 * 1_024 * 1_024

        /** A sixth of the heap of an instance, for all answers that are read whole. */
        const val MAX_BUFFERED_BYTES = 16L * 1_024 * 1_024
        val SUCCESS = 200..299
    }
}
