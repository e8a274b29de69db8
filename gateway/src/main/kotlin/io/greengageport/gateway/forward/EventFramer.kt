package io.greengageport.gateway.forward

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled

/**
 * Splits a byte stream into complete server-sent events.
 *
 * Incomplete events are held back: a backend server may stop in the middle of an event, and the
 * response then resumes with a complete event of another server. Events with an id up to [lastId]
 * are dropped, so that none is delivered twice. Events without an id pass, except in a response
 * that [isContinuation] of another one, before its first event with a new id: nothing tells whether
 * the caller has such an event already. The bytes of an event are not changed.
 */
internal class EventFramer(lastId: Long?, private val isContinuation: Boolean = false) {
    private var eventBytes = ByteArray(INITIAL_BYTES)
    private var size = 0
    private var isLineEmpty = true
    private var isSkippingLine = false
    private var idPosition = ID_START
    private var eventId = NO_ID
    private var hasField = false
    private var hasNewId = false

    /** The highest event id so far, or null if no event had one. */
    var lastId: Long? = lastId
        private set

    /** Number of complete events returned so far; dropped duplicates are not counted. */
    var events: Int = 0
        private set

    /** Whether an event exceeded the size limit; further bytes are then ignored. */
    var isTooLong: Boolean = false
        private set

    /** Whether an event came that has no place in a continuation; further bytes are ignored. */
    var isMisplaced: Boolean = false
        private set

    /** Whether an event without an id has passed since the last one with an id. */
    var endsWithoutId: Boolean = false
        private set

    /** Whether bytes of an incomplete event are held back. */
    val isWithinEvent: Boolean get() = size > 0

    /** Consumes [input] and returns the events that it completes, or null if there are none. */
    fun feed(input: ByteBuf): ByteBuf? {
        var complete: ByteBuf? = null
        while (input.isReadable && !isTooLong && !isMisplaced) {
            val b = input.readByte()
            appendByte(b)
            if (b == CARRIAGE_RETURN) continue
            if (b != LINE_FEED) {
                parseLineByte(b)
                continue
            }
            if (isLineEmpty) {
                val length = size
                if (endEvent()) {
                    // One flat buffer, because a part can hold thousands of events.
                    val events = complete ?: Unpooled.buffer(length + input.readableBytes())
                    complete = events.writeBytes(eventBytes, 0, length)
                }
            }
            startLine()
        }
        return complete
    }

    private fun appendByte(b: Byte) {
        if (size == MAX_EVENT_BYTES) {
            isTooLong = true
            return
        }
        if (size == eventBytes.size) eventBytes = eventBytes.copyOf(2 * size)
        eventBytes[size++] = b
    }

    private fun startLine() {
        isLineEmpty = true
        isSkippingLine = false
        idPosition = ID_START
    }

    /** Parses the next byte of a line that may be an id field such as `id: 12`. */
    private fun parseLineByte(b: Byte) {
        if (isLineEmpty && b != COMMENT) hasField = true
        isLineEmpty = false
        if (isSkippingLine) return
        val c = b.toInt().toChar()
        when {
            idPosition < ID_PREFIX.length -> if (c == ID_PREFIX[idPosition]) {
                idPosition++
                if (idPosition == ID_PREFIX.length) eventId = 0
            } else {
                isSkippingLine = true
            }

            c in '0'..'9' && eventId < MAX_ID -> eventId = eventId * DECIMAL + (c - '0')

            c != ' ' -> {
                eventId = NO_ID
                isSkippingLine = true
            }
        }
    }

    /** Ends the current event; returns whether it is to be delivered. */
    private fun endEvent(): Boolean {
        val completedId = eventId
        val isUnnumbered = hasField && completedId == NO_ID
        size = 0
        eventId = NO_ID
        hasField = false
        val last = lastId
        if (completedId != NO_ID) {
            if (last != null && completedId <= last) return false
            lastId = completedId
            hasNewId = true
        }
        if (isUnnumbered && isContinuation && !hasNewId) {
            isMisplaced = true
            return false
        }
        endsWithoutId = isUnnumbered || (endsWithoutId && completedId == NO_ID)
        events++
        return true
    }

    private companion object {
        const val INITIAL_BYTES = 256

        /** Events usually have a few hundred bytes. */
        const val MAX_EVENT_BYTES = 65_536
        const val LINE_FEED = '\n'.code.toByte()
        const val COMMENT = ':'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val ID_PREFIX = "id:"
        const val ID_START = 0
        const val NO_ID = -1L
        const val DECIMAL = 10

        /** Ids from here on may exceed a Long with one more digit, and count as no ids. */
        const val MAX_ID = Long.MAX_VALUE / DECIMAL
    }
}
