package io.greengageport.standins

import io.greengageport.ports.CacheEvent
import io.greengageport.routing.PrefixIndex

/** Blocks of prompts that an engine holds, the least recently used evicted first. */
internal class PrefixCache(capacityTokens: Int) {
    private val capacityBlocks = capacityTokens / PrefixIndex.BLOCK_TOKENS
    private val blocks = LinkedHashMap<Long, Unit>(INITIAL_SIZE, LOAD_FACTOR, true)
    private val events = ArrayDeque<CacheEvent>()
    private var sequence = 0L

    /** Returns the tokens of [prompt] that are held from its start on, and then holds all of it. */
    @Synchronized
    fun use(service: String, prompt: String): Int {
        val wanted = PrefixIndex.blocks(service, prompt)
        val hits = wanted.takeWhile { blocks[it] != null }.size
        wanted.drop(hits).forEach(::add)
        return hits * PrefixIndex.BLOCK_TOKENS
    }

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

    private fun record(e: CacheEvent) {
        events += e
        if (events.size > MAX_EVENTS) events.removeFirst()
    }

    private companion object {
        const val INITIAL_SIZE = 64
        const val LOAD_FACTOR = 0.75f
        const val MAX_EVENTS = 1_000
    }
}
