package io.greengageport.gateway.forward

import io.greengageport.gateway.port.AnswerHeaders
import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders

/**
 * Passes the events of a streamed answer on to the caller, over as many attempts as it takes.
 *
 * The answer starts with the first event, so that until then another server's answer may take its
 * place; it keeps the head of the server whose event came first.
 */
internal class StreamRelay(
    private val answer: CallerAnswer,
    private val endToEnd: (HttpHeaders) -> HttpHeaders,
    private val gapMillis: () -> Long,
    firstId: Long?,
    private val onEvent: (Int) -> Unit,
    private val onFirstEvent: () -> Unit
) : AnswerReader {
    private var framer = EventFramer(firstId)
    private var status = 0
    private var headers: HttpHeaders? = null

    /** The event after which another server would go on, or null at the start. */
    val lastEventId: Long? get() = framer.lastId

    /** Whether an event has reached the caller. */
    val hasEvents: Boolean get() = answer.isStarted

    var events = 0
        private set

    override fun onHead(status: Int, headers: HttpHeaders, answer: AnswerHeaders): Long {
        this.status = status
        this.headers = headers
        framer = EventFramer(framer.lastId)
        return gapMillis()
    }

    /** Only a new event is a sign of life: parts of one, or comments, may come without end. */
    override suspend fun onPart(part: ByteBuf): PartEnd {
        val before = framer.lastId
        val whole = framer.feed(part)
        if (framer.isTooLong) return PartEnd.Malformed("an event over the bound")
        if (whole == null) return PartEnd.NoProgress
        if (!answer.isStarted) {
            onFirstEvent()
            answer.start(status, endToEnd(checkNotNull(headers) { "a body follows a head" }))
        }
        events++
        if (events <= OBSERVED_EVENTS) onEvent(events)
        return when {
            !answer.send(whole) -> PartEnd.CallerGone
            framer.lastId == before -> PartEnd.NoProgress
            else -> PartEnd.Progress(gapMillis())
        }
    }

    /** Ends the answer after a whole run; false if the run ended within an event. */
    suspend fun finish(): Boolean {
        if (framer.isWithinEvent) return false
        if (!answer.isStarted) {
            answer.start(status, endToEnd(checkNotNull(headers) { "an end follows a head" }))
        }
        answer.finish()
        return true
    }

    private companion object {
        /** A request that crashes servers does so when it begins to run. */
        const val OBSERVED_EVENTS = 4
    }
}
