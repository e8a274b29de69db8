package io.greengageport.entry

import io.greengageport.common.Clock
import io.greengageport.common.RequestId
import io.greengageport.ports.CancelRequest
import io.greengageport.ports.GenerateRequest
import io.greengageport.ports.TokenFrame
import io.ktor.client.HttpClient
import io.ktor.client.plugins.timeout
import io.ktor.client.request.post
import io.ktor.client.request.preparePost
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.http.HttpStatusCode
import io.ktor.utils.io.discard
import io.ktor.utils.io.readLine
import java.io.IOException
import java.net.ConnectException
import java.util.concurrent.atomic.AtomicLong
import kotlin.coroutines.cancellation.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.SerializationException
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json

/**
 * How a stream of token frames ended. The names of the subclasses are values of the label `end` of
 * the attempts metric.
 */
internal sealed interface StreamEnd {
    /** The consumer received all that it needed. */
    data object Finished : StreamEnd

    /** The first stage refused the request; it did not run. */
    data class Refused(val leaving: Boolean) : StreamEnd

    /** No connection to the first stage; the request did not run. */
    data class Unreachable(val reason: String) : StreamEnd

    /** The stream broke or ended before the last token. */
    data class Broken(val reason: String) : StreamEnd

    /** No frame came within the timeout. */
    data class Silent(val millis: Long) : StreamEnd

    /** A frame could not be decoded. */
    data class Malformed(val reason: String) : StreamEnd
}

/** How the consumer of a stream handled a frame. */
internal enum class FrameUse {
    /** The frame is part of the answer; more are expected. */
    ACCEPTED,

    /** The frame is not part of the answer and does not restart the wait for the next token. */
    IGNORED,

    /** The answer is complete. The stream ends by itself, and its connection can be reused. */
    LAST,

    /** The stream is no longer needed. */
    STOP
}

/** Timeouts of a stream, in milliseconds. */
internal data class StreamTimeouts(
    val connectMillis: Long,
    val firstFrameMillis: Long,
    val frameMillis: Long
)

/** Client of the engine protocol; talks to the first stage of a chain. */
internal class EngineClient(
    private val client: HttpClient,
    private val clock: Clock,
    private val background: CoroutineScope
) {
    private class FrameTimeoutException(val millis: Long) :
        CancellationException("no frame within the timeout")

    /**
     * The start of the current wait for a frame and its limit. The start is [Long.MAX_VALUE] while
     * a frame is handled, so that this time does not count.
     */
    private class FrameWait(clock: Clock, initialLimitMillis: Long) {
        val sinceMillis = AtomicLong(clock.monotonicMillis())

        @Volatile
        var limitMillis = initialLimitMillis
    }

    /**
     * Sends [generate] and passes the frames of the answer to [onFrame]. Returns how the stream
     * ended.
     *
     * The time spent in [onFrame] does not count towards the timeout, so a slow caller slows the
     * engine down instead of ending the attempt.
     */
    suspend fun stream(
        generate: GenerateRequest,
        timeouts: StreamTimeouts,
        onFrame: suspend (TokenFrame) -> FrameUse
    ): StreamEnd = coroutineScope {
        val wait = FrameWait(clock, timeouts.firstFrameMillis)
        val streaming = async { requestStream(generate, timeouts, wait, onFrame) }
        val timeoutWatcher = launch {
            while (true) {
                delay(TIMEOUT_CHECK_MILLIS)
                if (clock.monotonicMillis() - wait.sinceMillis.get() > wait.limitMillis) {
                    streaming.cancel(FrameTimeoutException(wait.limitMillis))
                    break
                }
            }
        }
        try {
            streaming.await()
        } catch (e: FrameTimeoutException) {
            StreamEnd.Silent(e.millis)
        } finally {
            timeoutWatcher.cancel()
        }
    }

    private suspend fun requestStream(
        generate: GenerateRequest,
        timeouts: StreamTimeouts,
        wait: FrameWait,
        onFrame: suspend (TokenFrame) -> FrameUse
    ): StreamEnd = try {
        client.preparePost("http://${generate.route.first().address}/v1/generate") {
            timeout { connectTimeoutMillis = timeouts.connectMillis }
            setBody(json.encodeToString(generate))
        }.execute { response ->
            when (response.status) {
                HttpStatusCode.OK -> readFrames(response, timeouts, wait, onFrame)

                HttpStatusCode.ServiceUnavailable ->
                    StreamEnd.Refused(response.headers[LEAVING_HEADER] == "true")

                // Only status 503 guarantees that the request did not run.
                else -> StreamEnd.Broken("the engine answered ${response.status.value}")
            }
        }
    } catch (e: ConnectException) {
        StreamEnd.Unreachable(e.toString())
    } catch (e: io.ktor.client.network.sockets.ConnectTimeoutException) {
        StreamEnd.Unreachable(e.toString())
    } catch (e: IOException) {
        StreamEnd.Broken(e.toString())
    } catch (e: SerializationException) {
        StreamEnd.Malformed(e.toString())
    } catch (e: FrameTimeoutException) {
        throw e
    } catch (e: CancellationException) {
        // If this coroutine is still active, only the response was cancelled.
        currentCoroutineContext().ensureActive()
        StreamEnd.Broken(e.toString())
    }

    private suspend fun readFrames(
        response: HttpResponse,
        timeouts: StreamTimeouts,
        wait: FrameWait,
        onFrame: suspend (TokenFrame) -> FrameUse
    ): StreamEnd {
        val channel = response.bodyAsChannel()
        while (true) {
            val line = channel.readLine() ?: return StreamEnd.Broken("the stream ended early")
            val sinceMillis = wait.sinceMillis.getAndSet(Long.MAX_VALUE)
            when (onFrame(json.decodeFromString<TokenFrame>(line))) {
                FrameUse.ACCEPTED -> {
                    wait.limitMillis = timeouts.frameMillis
                    wait.sinceMillis.set(clock.monotonicMillis())
                }

                FrameUse.IGNORED -> wait.sinceMillis.set(sinceMillis)

                FrameUse.LAST -> {
                    withTimeoutOrNull(END_OF_STREAM_TIMEOUT_MILLIS) { channel.discard() }
                    return StreamEnd.Finished
                }

                FrameUse.STOP -> {
                    channel.cancel(null)
                    return StreamEnd.Finished
                }
            }
        }
    }

    /** Sends a cancellation of [request] to the engine at [address] in the background. */
    fun cancel(address: String, request: RequestId) {
        background.launch {
            try {
                client.post("http://$address/v1/cancel") {
                    timeout { requestTimeoutMillis = CANCEL_TIMEOUT_MILLIS }
                    setBody(json.encodeToString(CancelRequest(request)))
                }
            } catch (e: IOException) {
                // The engine also stops when the connection of the stream closes.
            }
        }
    }

    companion object {
        /** Header with which a backend server announces that it is leaving. */
        const val LEAVING_HEADER = "Greengage-Leaving"
        private const val TIMEOUT_CHECK_MILLIS = 50L
        private const val END_OF_STREAM_TIMEOUT_MILLIS = 100L
        private const val CANCEL_TIMEOUT_MILLIS = 1_000L
        private val json = Json { ignoreUnknownKeys = true }
    }
}
