package io.greengageport.routing

import io.greengageport.common.RunnerId
import java.util.concurrent.ConcurrentHashMap

/**
 * Estimates which prompt prefixes engines have cached, from cache events that can be late or lost.
 *
 * Each runner has a direct-mapped table of [slots] block hashes, so memory is bounded; a newer
 * block replaces the one in its slot. A gap in the sequence numbers may hide evictions, so it
 * halves the confidence in all earlier entries. The estimate is only used to reduce expected times.
 * Thread-safe.
 */
public class PrefixIndex(private val slots: Int = DEFAULT_SLOTS) {
    private val tables = ConcurrentHashMap<RunnerId, BlockTable>()

    init {
        require(slots > 0 && slots and (slots - 1) == 0) { "slots must be a power of two: $slots" }
    }

    /** Applies an event of a runner; ignores events that are repeated or out of order. */
    public fun onEvent(runner: RunnerId, event: CacheEvent) {
        val table = tables.computeIfAbsent(runner) { BlockTable(slots) }
        synchronized(table) { table.apply(event) }
    }

    /** Returns the expected number of leading [blocks] that [runner] has cached. */
    public fun cachedBlocks(runner: RunnerId, blocks: LongArray): Double {
        if (blocks.isEmpty()) return 0.0
        val table = tables[runner] ?: return 0.0
        return synchronized(table) { table.match(blocks) }
    }

    /** Removes the table of a runner that restarted or left the fleet. */
    public fun forget(runner: RunnerId) {
        tables.remove(runner)
    }

    public companion object {
        public const val DEFAULT_SLOTS: Int = 256

        /** Characters of a prompt per block. */
        public const val BLOCK_CHARS: Int = 256

        /** Prompt tokens assumed per block. */
        public const val BLOCK_TOKENS: Int = 64

        /** Returns one hash per block; each covers the prompt up to the end of that block. */
        public fun blocks(service: String, prompt: String): LongArray {
            val hashes = LongArray(prompt.length / BLOCK_CHARS)
            var hash = service.fold(FNV_OFFSET, ::mix)
            for (b in hashes.indices) {
                for (i in b * BLOCK_CHARS until (b + 1) * BLOCK_CHARS) hash = mix(hash, prompt[i])
                hashes[b] = if (hash == 0L) 1L else hash
            }
            return hashes
        }

        private fun mix(hash: Long, char: Char) = (hash xor char.code.toLong()) * FNV_PRIME

        private const val FNV_OFFSET = -0x340d631b7bdddcdbL
        private const val FNV_PRIME = 0x100000001b3L
    }
}

/** A cache event of an engine; [sequence] increases by one unless events were lost. */
public sealed interface CacheEvent {
    public val sequence: Long

    /** The engine stored the block with this hash. */
    public data class Stored(override val sequence: Long, val block: Long) : CacheEvent

    /** The engine evicted the block with this hash. */
    public data class Evicted(override val sequence: Long, val block: Long) : CacheEvent

    /** The engine emptied its cache. */
    public data class Cleared(override val sequence: Long) : CacheEvent
}

private class BlockTable(slots: Int) {
    private val hashes = LongArray(slots)

    /** Number of sequence gaps before the block in each slot was stored. */
    private val gapsBefore = IntArray(slots)
    private var gaps = 0
    private var nextSequence = -1L

    fun apply(event: CacheEvent) {
        if (event.sequence < nextSequence) return
        if (nextSequence >= 0 && event.sequence > nextSequence) gaps++
        nextSequence = event.sequence + 1
        when (event) {
            is CacheEvent.Stored -> {
                hashes[slot(event.block)] = event.block
                gapsBefore[slot(event.block)] = gaps
            }

            is CacheEvent.Evicted ->
                if (hashes[slot(event.block)] == event.block) hashes[slot(event.block)] = 0

            is CacheEvent.Cleared -> hashes.fill(0)
        }
    }

    /** Expected number of leading [blocks] in the table, weighted by confidence. */
    fun match(blocks: LongArray): Double {
        var expected = 0.0
        var confidence = 1.0
        for (block in blocks) {
            val slot = slot(block)
            if (hashes[slot] != block) break
            confidence = minOf(confidence, 1.0 / (1L shl minOf(gaps - gapsBefore[slot], MAX_SHIFT)))
            expected += confidence
        }
        return expected
    }

    private fun slot(hash: Long): Int {
        val folded = hash xor (hash ushr 32)
        return (folded xor (folded ushr 16)).toInt() and (hashes.size - 1)
    }

    private companion object {
        const val MAX_SHIFT = 30
    }
}
