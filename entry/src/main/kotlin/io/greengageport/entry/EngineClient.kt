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

/** How a stream of token frames ended. */
internal sealed interface StreamEnd {
    /** The consumer took what it needed. */
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

/** What the consumer of a stream made of a frame. */
internal enum class FrameUse {
    /** The frame is part of the answer; more are expected. */
    TAKEN,

    /** The frame is not part of the answer; the wait for the next token goes on. */
    IGNORED,

    /** The answer is complete; the stream ends by itself and its connection can be kept. */
    LAST,

    /** The stream is no longer needed. */
    STOP
}

/** Times that bound the wait for frames, in milliseconds. */
internal data class StreamTimes(
    val connectMillis: Long,
    val firstFrameMillis: Long,
    val frameMillis: Long
)

/** Speaks the engine protocol to the first stage of a chain. */
internal class EngineClient(
    private val client: HttpClient,
    private val clock: Clock,
    private val background: CoroutineScope
) {
    private class SilentStream(val millis: Long) : CancellationException("no frame in time")

    /** When the present wait for a frame began and how long it may last. */
    private class FrameWait(clock: Clock, limitMillis: Long) {
        val since = AtomicLong(clock.monotonicMillis())

        @Volatile
        var limit = limitMillis
    }

    /**
     * Streams the frames of [generate] to [onFrame].
     *
     * Time that [onFrame] takes does not count as silence, so a slow caller slows the engine down
     * instead of ending the attempt.
     */
    suspend fun stream(
        generate: GenerateRequest,
        times: StreamTimes,
        onFrame: suspend (TokenFrame) -> FrameUse
    ): StreamEnd = coroutineScope {
        val wait = FrameWait(clock, times.firstFrameMillis)
        val exchange = async { exchange(generate, times, wait, onFrame) }
        val guard = launch {
            while (true) {
                delay(GUARD_PERIOD_MILLIS)
                if (clock.monotonicMillis() - wait.since.get() > wait.limit) {
                    exchange.cancel(SilentStream(wait.limit))
                    break
                }
            }
        }
        try {
            exchange.await()
        } catch (e: SilentStream) {
            StreamEnd.Silent(e.millis)
        } finally {
            guard.cancel()
        }
    }

    private suspend fun exchange(
        generate: GenerateRequest,
        times: StreamTimes,
        wait: FrameWait,
        onFrame: suspend (TokenFrame) -> FrameUse
    ): StreamEnd = try {
        client.preparePost("http://${generate.route.first().address}/v1/generate") {
            timeout { connectTimeoutMillis = times.connectMillis }
            setBody(json.encodeToString(generate))
        }.execute { response ->
            when (response.status) {
                HttpStatusCode.OK -> frames(response, times, wait, onFrame)

                HttpStatusCode.ServiceUnavailable ->
                    StreamEnd.Refused(response.headers[LEAVING_HEADER] == "true")

                // Only 503 says that the request did not run.
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
    } catch (e: SilentStream) {
        throw e
    } catch (e: CancellationException) {
        currentCoroutineContext().ensureActive()
        StreamEnd.Broken(e.toString())
    }

    private suspend fun frames(
        response: HttpResponse,
        times: StreamTimes,
        wait: FrameWait,
        onFrame: suspend (TokenFrame) -> FrameUse
    ): StreamEnd {
        val channel = response.bodyAsChannel()
        while (true) {
            val line = channel.readLine() ?: return StreamEnd.Broken("the stream ended early")
            val since = wait.since.getAndSet(Long.MAX_VALUE)
            when (onFrame(json.decodeFromString<TokenFrame>(line))) {
                FrameUse.TAKEN -> {
                    wait.limit = times.frameMillis
                    wait.since.set(clock.monotonicMillis())
                }

                FrameUse.IGNORED -> wait.since.set(since)

                FrameUse.LAST -> {
                    withTimeoutOrNull(END_OF_STREAM_MILLIS) { channel.discard() }
                    return StreamEnd.Finished
                }

                FrameUse.STOP -> {
                    channel.cancel(null)
                    return StreamEnd.Finished
                }
            }
        }
    }

    /** Tells the engine at [address] to stop [request], without waiting for the answer. */
    fun cancel(address: String, request: RequestId) {
        background.launch {
            try {
                client.post("http://$address/v1/cancel") {
                    timeout { requestTimeoutMillis = CANCEL_TIMEOUT_MILLIS }
                    setBody(json.encodeToString(CancelRequest(request)))
                }
            } catch (e: IOException) {
                // The engine also stops when the stream's connection closes.
            }
        }
    }

    companion object {
        /** Header by which a backend server tells that it is leaving. */
        const val LEAVING_HEADER = "Greengage-Leaving"
        private const val GUARD_PERIOD_MILLIS = 50L
        private const val END_OF_STREAM_MILLIS = 100L
        private const val CANCEL_TIMEOUT_MILLIS = 1_000L
        private val json = Json { ignoreUnknownKeys = true }
    }
}
