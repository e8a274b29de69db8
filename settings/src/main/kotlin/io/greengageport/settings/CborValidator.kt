package io.greengageport.settings

/**
 * Validates the structure of CBOR iteratively before the bytes are passed to the decoder.
 *
 * The decoder recurses endlessly on an unterminated indefinite-length string. A stack overflow
 * occurs at a depth that depends on the reader, so readers could reach different states. The input
 * must be exactly one item, nested at most [MAX_DEPTH] levels deep, without tags and without
 * indefinite-length strings; the encoder writes neither of these.
 */
internal class CborValidator(private val bytes: ByteArray) {
    private var position = 0

    /** Items left in each enclosing array or map; [INDEFINITE] for one that ends with a break. */
    private val remainingItems = ArrayDeque<Long>()

    /** Returns whether the bytes are exactly one acceptable item. */
    fun isAcceptable(): Boolean {
        do {
            if (!readItemStart() || remainingItems.size > MAX_DEPTH) return false
        } while (remainingItems.isNotEmpty())
        return position == bytes.size
    }

    /** Reads an initial byte, its argument and the content of a string. */
    private fun readItemStart(): Boolean {
        if (position >= bytes.size) return false
        val initialByte = bytes[position++].toInt() and 0xff
        if (initialByte == BREAK) return endIndefinite()
        val info = initialByte and 0x1f
        val isIndefinite = info == INDEFINITE_INFO
        val argument = if (isIndefinite) INDEFINITE else readArgument(info) ?: return false
        return when (initialByte shr 5) {
            UNSIGNED, NEGATIVE, SIMPLE -> !isIndefinite && endItem()
            BYTES, TEXT -> !isIndefinite && skip(argument) && endItem()
            ARRAY -> openContainer(argument, itemsPerEntry = 1)
            MAP -> openContainer(argument, itemsPerEntry = 2)
            else -> false
        }
    }

    /** Reads the argument of an initial byte; returns null if it is truncated or reserved. */
    private fun readArgument(info: Int): Long? {
        if (info < ONE_BYTE) return info.toLong()
        val size = if (info <= EIGHT_BYTES) 1 shl (info - ONE_BYTE) else return null
        if (size > bytes.size - position) return null
        var value = 0L
        repeat(size) { value = (value shl 8) or (bytes[position++].toLong() and 0xff) }
        return value
    }

    private fun skip(length: Long): Boolean {
        if (length !in 0..(bytes.size - position).toLong()) return false
        position += length.toInt()
        return true
    }

    /** Starts an array or map of [entries], each of which consists of [itemsPerEntry] items. */
    private fun openContainer(entries: Long, itemsPerEntry: Int): Boolean {
        if (entries == INDEFINITE) return remainingItems.add(INDEFINITE)
        if (entries == 0L) return endItem()
        // Each item takes at least one byte, so a larger count cannot be satisfied.
        if (entries !in 0..(bytes.size - position).toLong()) return false
        return remainingItems.add(entries * itemsPerEntry)
    }

    /** Ends the innermost array or map at a break; returns false if it has a definite length. */
    private fun endIndefinite(): Boolean =
        remainingItems.isNotEmpty() && remainingItems.removeLast() == INDEFINITE && endItem()

    /** Counts an item as read, and ends the enclosing arrays and maps that it completes. */
    private fun endItem(): Boolean {
        while (remainingItems.isNotEmpty() && remainingItems.last() != INDEFINITE) {
            val remaining = remainingItems.removeLast() - 1
            if (remaining > 0) {
                remainingItems += remaining
                break
            }
        }
        return true
    }

    private companion object {
        const val MAX_DEPTH = 32
        const val INDEFINITE = -1L
        const val BREAK = 0xff
        const val INDEFINITE_INFO = 31
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
