package io.greengageport.gateway.forward

import io.greengageport.gateway.port.ResponseHeaders
import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders

/**
 * Relays the events of a streamed response to the caller, over one or more attempts.
 *
 * The response to the caller starts with the first event, so that before it another attempt can
 * replace the response. Its head is that of the server that sent the first event.
 */
internal class StreamRelay(
    private val response: CallerResponse,
    private val filterHeaders: (HttpHeaders) -> HttpHeaders,
    private val eventTimeoutMillis: () -> Long,
    resumeAfterId: Long?,
    private val onEvent: (Int) -> Unit,
    private val onFirstEvent: () -> Unit
) : ResponseReader {
    private var framer = EventFramer(resumeAfterId)
    private var status = 0
    private var contentType: String? = null
    private var headers: HttpHeaders? = null

    /** The event after which another server would resume, or null if there is none. */
    val lastEventId: Long? get() = framer.lastId

    /** Whether an event was sent to the caller. */
    val hasEvents: Boolean get() = response.isStarted

    /**
     * Whether another server can continue the response: its caller has received no event yet, or
     * the id of the last one is known.
     */
    val canContinue: Boolean get() = !response.isStarted || !framer.endsWithoutId

    /** Number of parts with new events that were relayed over all attempts. */
    var events = 0
        private set

    /**
     * Starts a new attempt. Once the response has started, only a stream with the same status and
     * content type continues it; anything else is, for example, the text of an error.
     */
    override fun onHead(
        status: Int,
        headers: HttpHeaders,
        responseHeaders: ResponseHeaders
    ): PartResult {
        val contentType = mediaType(headers)
        if (response.isStarted && (status != this.status || contentType != this.contentType)) {
            return PartResult.Malformed("response $status is no continuation of the stream")
        }
        this.status = status
        this.contentType = contentType
        this.headers = headers
        framer = EventFramer(framer.lastId, response.isStarted && framer.lastId != null)
        return PartResult.Progress(eventTimeoutMillis())
    }

    /**
     * Relays complete events. Only an event with a new id restarts the timeout, since a stalled
     * server may send incomplete events or comments without end.
     */
    override suspend fun onPart(part: ByteBuf): PartResult {
        val previousId = framer.lastId
        val completeEvents = framer.feed(part)
        if (framer.isTooLong) return PartResult.Malformed("event exceeds the size limit")
        if (framer.isMisplaced) return PartResult.Malformed("event without id in a continuation")
        if (completeEvents == null) return PartResult.NoProgress
        if (!response.isStarted) {
            onFirstEvent()
            response.start(status, filterHeaders(checkNotNull(headers) { "body before headers" }))
        }
        events++
        if (events <= OBSERVED_EVENTS) onEvent(events)
        return when {
            !response.send(completeEvents) -> PartResult.CallerGone
            framer.lastId == previousId -> PartResult.NoProgress
            else -> PartResult.Progress(eventTimeoutMillis())
        }
    }

    /**
     * Ends the response after an attempt completed. Returns false, and sends nothing, if the stream
     * ended within an event.
     */
    suspend fun finish(): Boolean {
        if (framer.isWithinEvent) return false
        if (!response.isStarted) {
            response.start(status, filterHeaders(checkNotNull(headers) { "end before headers" }))
        }
        response.finish()
        return true
    }

    /** The content type in [headers] without its parameters, or null if there is none. */
    private fun mediaType(headers: HttpHeaders): String? =
        headers[HttpHeaderNames.CONTENT_TYPE]?.substringBefore(';')?.trim()?.lowercase()

    private companion object {
        /** Number of events to report; a request that crashes servers does so at its start. */
        const val OBSERVED_EVENTS = 4
    }
}
