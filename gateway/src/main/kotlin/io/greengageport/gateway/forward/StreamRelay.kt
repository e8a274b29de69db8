package io.greengageport.gateway.forward

import io.netty.buffer.ByteBuf
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
    val eventTimeoutMillis: () -> Long,
    resumeAfterId: Long?,
    private val onEvent: (Int) -> Unit,
    private val onFirstEvent: () -> Unit
) {
    /** The head of the response to the caller, once it has started. */
    private var startedHead: StreamHead? = null
    private var endsWithoutId = false

    /** The event after which another server would resume, or null if there is none. */
    var lastEventId: Long? = resumeAfterId
        private set

    /**
     * Whether another server can continue the response: its caller has received no event yet, or
     * the id of the last one is known.
     */
    val canContinue: Boolean get() = !response.isStarted || !endsWithoutId

    /** Number of parts with new events that were relayed over all attempts. */
    var events = 0
        private set

    /** Returns a framer for a response that continues the stream from here. */
    fun newFramer() = EventFramer(lastEventId, response.isStarted && lastEventId != null)

    /**
     * Whether a response with [head] can be relayed. Once the response to the caller has started,
     * only a stream with the same status and content type continues it; anything else is, for
     * example, the text of an error.
     */
    fun canContinueWith(head: StreamHead): Boolean {
        val started = startedHead ?: return true
        return head.status == started.status && head.mediaType == started.mediaType
    }

    /**
     * Sends [completeEvents] of a response with [head], whose [framer] has read them. [hasNewId]
     * tells whether one of them has a new id.
     */
    suspend fun send(
        completeEvents: ByteBuf,
        head: StreamHead,
        framer: EventFramer,
        hasNewId: Boolean
    ): PartResult {
        lastEventId = framer.lastId
        endsWithoutId = framer.endsWithoutId
        if (!response.isStarted) {
            onFirstEvent()
            start(head)
        }
        events++
        if (events <= OBSERVED_EVENTS) onEvent(events)
        return when {
            !response.send(completeEvents) -> PartResult.CallerGone
            hasNewId -> PartResult.Progress(eventTimeoutMillis())
            else -> PartResult.NoProgress
        }
    }

    /** Ends the response after the complete response with [head] of an attempt. */
    suspend fun finish(head: StreamHead) {
        if (!response.isStarted) start(head)
        response.finish()
    }

    private fun start(head: StreamHead) {
        startedHead = head
        response.start(head.status, filterHeaders(head.headers))
    }

    private companion object {
        /** Number of events to report; a request that crashes servers does so at its start. */
        const val OBSERVED_EVENTS = 4
    }
}
