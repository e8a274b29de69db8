package io.greengageport.standins

import io.greengageport.ports.CacheEvent
import io.greengageport.routing.PrefixIndex

/** LRU cache of the prompt blocks of an engine, with a log of its changes. */
internal class PrefixCache(capacityTokens: Int) {
    private val capacityBlocks = capacityTokens / PrefixIndex.BLOCK_TOKENS
    private val blocks = LinkedHashMap<Long, Unit>(INITIAL_SIZE, LOAD_FACTOR, true)
    private val events = ArrayDeque<CacheEvent>()
    private var sequence = 0L

    /** Returns the length in tokens of the cached prefix of [prompt], then caches all of it. */
    @Synchronized
    fun lookUpAndAdd(service: String, prompt: String): Int {
        val promptBlocks = PrefixIndex.blocks(service, prompt)
        val hits = promptBlocks.takeWhile { blocks[it] != null }.size
        promptBlocks.drop(hits).forEach(::add)
        return hits * PrefixIndex.BLOCK_TOKENS
    }

    /** Returns the retained events with a sequence number of at least [from]. */
    @Synchronized
    fun eventsFrom(from: Long): List<CacheEvent> = events.filter { it.sequence >= from }

    private fun add(block: Long) {
        if (capacityBlocks == 0) return
        while (blocks.size >= capacityBlocks) {
            val oldest = blocks.keys.first()
            blocks.remove(oldest)
            record(CacheEvent(++sequence, oldest, evicted = true))
        }
        blocks[block] = Unit
        record(CacheEvent(++sequence, block))
    }

    private fun record(event: CacheEvent) {
        events += event
        if (events.size > MAX_EVENTS) events.removeFirst()
    }

    private companion object {
        const val INITIAL_SIZE = 64
        const val LOAD_FACTOR = 0.75f
        const val MAX_EVENTS = 1_000
    }
}
