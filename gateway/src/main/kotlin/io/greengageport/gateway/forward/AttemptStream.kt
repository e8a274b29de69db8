package io.greengageport.gateway.forward

import io.greengageport.gateway.port.ResponseHeaders
import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders

/**
 * Reads the streamed response of one attempt and passes its events to [relay].
 *
 * Two attempts of a request can run at the same time. [hasStream] returns whether this attempt has
 * the stream; if not, [tryTakeOver] is called with its first event and returns whether it has it
 * from then on.
 */
internal class AttemptStream(
    private val relay: StreamRelay,
    private val hasStream: () -> Boolean,
    private val tryTakeOver: () -> Boolean
) : ResponseReader {
    private var framer = relay.newFramer()
    private var head: StreamHead? = null

    /** Whether the response ended, or is, within an event. */
    val isWithinEvent: Boolean get() = framer.isWithinEvent

    override fun onHead(
        status: Int,
        headers: HttpHeaders,
        responseHeaders: ResponseHeaders
    ): PartResult {
        val received = StreamHead(status, headers)
        if (!relay.canContinueWith(received)) {
            return PartResult.Malformed("response $status is no continuation of the stream")
        }
        head = received
        framer = relay.newFramer()
        return PartResult.Progress(relay.eventTimeoutMillis())
    }

    /**
     * Relays complete events. Only an event with a new id restarts the timeout, since a stalled
     * server may send incomplete events or comments without end.
     */
    override suspend fun onPart(part: ByteBuf): PartResult {
        val previousId = framer.lastId
        val completeEvents = framer.feed(part)
        val hasNewId = framer.lastId != previousId
        return when {
            framer.isTooLong -> PartResult.Malformed("event exceeds the size limit")

            framer.isMisplaced -> PartResult.Malformed("event without id in a continuation")

            completeEvents == null -> PartResult.NoProgress

            hasStream() -> relay.send(completeEvents, receivedHead(), framer, hasNewId)

            // Comments do not show that the server answers.
            !hasNewId && !framer.endsWithoutId -> PartResult.NoProgress

            !relay.canContinueWith(receivedHead()) ->
                PartResult.Malformed("the response is no continuation of the stream")

            tryTakeOver() -> relay.send(completeEvents, receivedHead(), framer, hasNewId)

            else -> PartResult.Superseded
        }
    }

    /** Ends the stream after a complete response, of which no event is incomplete. */
    suspend fun finish() {
        check(!isWithinEvent) { "the response ended within an event" }
        relay.finish(receivedHead())
    }

    private fun receivedHead() = checkNotNull(head) { "body before headers" }
}
