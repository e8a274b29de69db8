package io.greengageport.settings

/**
 * Checks the structure of CBOR without recursion, before the decoder sees it.
 *
 * The decoder recurses without end on an unterminated indefinite-length string, and a stack
 * overflow at a depth that differs between readers would make them disagree. Accepted are exactly
 * one item without tags or indefinite-length strings, which the encoder never writes, nested at
 * most [MAX_DEPTH] deep.
 */
internal class CborStructure(private val bytes: ByteArray) {
    private var at = 0

    /** Items still to come in each open array or map; [OPEN] where a break ends it. */
    private val pending = ArrayDeque<Long>()

    fun isAcceptable(): Boolean {
        do {
            if (!readHead() || pending.size > MAX_DEPTH) return false
        } while (pending.isNotEmpty())
        return at == bytes.size
    }

    /** Reads one head with the bytes that belong to it. */
    private fun readHead(): Boolean {
        if (at >= bytes.size) return false
        val head = bytes[at++].toInt() and 0xff
        if (head == BREAK) return endOpen()
        val info = head and 0x1f
        val isOpen = info == INDEFINITE
        val argument = if (isOpen) OPEN else readArgument(info) ?: return false
        return when (head shr 5) {
            UNSIGNED, NEGATIVE, SIMPLE -> !isOpen && endItem()
            BYTES, TEXT -> !isOpen && skip(argument) && endItem()
            ARRAY -> open(argument, itemsPerEntry = 1)
            MAP -> open(argument, itemsPerEntry = 2)
            else -> false
        }
    }

    private fun readArgument(info: Int): Long? {
        if (info < ONE_BYTE) return info.toLong()
        val size = if (info <= EIGHT_BYTES) 1 shl (info - ONE_BYTE) else return null
        if (size > bytes.size - at) return null
        var value = 0L
        repeat(size) { value = (value shl 8) or (bytes[at++].toLong() and 0xff) }
        return value
    }

    private fun skip(length: Long): Boolean {
        if (length !in 0..(bytes.size - at).toLong()) return false
        at += length.toInt()
        return true
    }

    private fun open(entries: Long, itemsPerEntry: Int): Boolean {
        if (entries == OPEN) return pending.add(OPEN)
        if (entries == 0L) return endItem()
        // Each item takes at least one byte.
        if (entries !in 0..(bytes.size - at).toLong()) return false
        return pending.add(entries * itemsPerEntry)
    }

    private fun endOpen(): Boolean =
        pending.isNotEmpty() && pending.removeLast() == OPEN && endItem()

    private fun endItem(): Boolean {
        while (pending.isNotEmpty() && pending.last() != OPEN) {
            val left = pending.removeLast() - 1
            if (left > 0) {
                pending += left
                break
            }
        }
        return true
    }

    private companion object {
        const val MAX_DEPTH = 32
        const val OPEN = -1L
        const val BREAK = 0xff
        const val INDEFINITE = 31
        const val ONE_BYTE = 24
        const val EIGHT_BYTES = 27
        const val UNSIGNED = 0
        const val NEGATIVE = 1
        const val BYTES = 2
        const val TEXT = 3
        const val ARRAY = 4
        const val MAP = 5
        const val SIMPLE = 7
    }
}
