package io.greengageport.gateway.forward

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled

/**
 * Cuts a stream of server-sent events at their ends.
 *
 * Only whole events are handed on: a backend server may stop in the middle of one, and the answer
 * then goes on with a whole event of another server. Events up to [lastId] are left out, so that
 * none is delivered twice. Bytes are taken as they are; an event without an id is passed on.
 */
internal class EventFramer(lastId: Long?) {
    private var partial = ByteArray(INITIAL_BYTES)
    private var size = 0

    /** Start of the current event within [partial]. */
    private var isLineEmpty = true
    private var isSkippingLine = false
    private var idState = ID_START
    private var id = NO_ID

    /** The id of the last whole event, or null if none had one. */
    var lastId: Long? = lastId
        private set

    /** Number of whole events so far, repeated ones not counted. */
    var events: Int = 0
        private set

    /** Whether an event is longer than any answer has; nothing more is taken then. */
    var isTooLong: Boolean = false
        private set

    /** Whether bytes of an event that has not ended are held back. */
    val isWithinEvent: Boolean get() = size > 0

    /** Takes all bytes of [input] and returns the whole events, or null if none ended. */
    fun feed(input: ByteBuf): ByteBuf? {
        var whole: ByteBuf? = null
        while (input.isReadable && !isTooLong) {
            val b = input.readByte()
            put(b)
            if (b == CARRIAGE_RETURN) continue
            if (b != LINE_FEED) {
                scan(b)
                continue
            }
            if (isLineEmpty) {
                val event = endEvent()
                if (event != null) {
                    whole = if (whole == null) event else Unpooled.wrappedBuffer(whole, event)
                }
            }
            startLine()
        }
        return whole
    }

    private fun put(b: Byte) {
        if (size == MAX_EVENT_BYTES) {
            isTooLong = true
            return
        }
        if (size == partial.size) partial = partial.copyOf(2 * size)
        partial[size++] = b
    }

    private fun startLine() {
        isLineEmpty = true
        isSkippingLine = false
        idState = ID_START
    }

    /** Follows a line that may read `id: 12`. */
    private fun scan(b: Byte) {
        isLineEmpty = false
        if (isSkippingLine) return
        val c = b.toInt().toChar()
        when {
            idState < ID_PREFIX.length -> if (c == ID_PREFIX[idState]) {
                idState++
                if (idState == ID_PREFIX.length) id = 0
            } else {
                isSkippingLine = true
            }

            c in '0'..'9' -> id = id * DECIMAL + (c - '0')

            c != ' ' -> {
                id = NO_ID
                isSkippingLine = true
            }
        }
    }

    private fun endEvent(): ByteBuf? {
        val length = size
        val eventId = id
        size = 0
        id = NO_ID
        val last = lastId
        if (eventId != NO_ID) {
            if (last != null && eventId <= last) return null
            lastId = eventId
        }
        events++
        return Unpooled.wrappedBuffer(partial.copyOf(length))
    }

    private companion object {
        const val INITIAL_BYTES = 256

        /** An event of some tokens has a few hundred bytes. */
        const val MAX_EVENT_BYTES = 65_536
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val ID_PREFIX = "id:"
        const val ID_START = 0
        const val NO_ID = -1L
        const val DECIMAL = 10
    }
}
