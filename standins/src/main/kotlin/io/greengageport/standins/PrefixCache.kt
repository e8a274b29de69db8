package io.greengageport.standins

import io.greengageport.platform.CacheEvent

/** Prompt prefixes that an engine holds, the least recently used evicted first. */
internal class PrefixCache(private val capacityTokens: Int) {
    private val entries = LinkedHashMap<Long, Int>(INITIAL_SIZE, LOAD_FACTOR, true)
    private val events = ArrayDeque<CacheEvent>()
    private var held = 0
    private var sequence = 0L

    /** Looks up the first [PREFIX_WORDS] words of [prompt]; returns tokens saved, and adds them. */
    @Synchronized
    fun use(prompt: String): Int {
        val words = prompt.split(' ').filter { it.isNotEmpty() }
        val size = minOf(words.size, PREFIX_WORDS)
        val key = ModelFunction.hash(words.take(size).joinToString(" "))
        val hit = entries[key]
        if (hit == null && size <= capacityTokens) add(key, size)
        return hit ?: 0
    }

    @Synchronized
    fun eventsFrom(from: Long): List<CacheEvent> = events.filter { it.sequence >= from }

    private fun add(key: Long, size: Int) {
        while (held + size > capacityTokens) {
            val oldest = entries.entries.first()
            entries.remove(oldest.key)
            held -= oldest.value
            event(CacheEvent(++sequence, oldest.key, oldest.value, evicted = true))
        }
        entries[key] = size
        held += size
        event(CacheEvent(++sequence, key, size))
    }

    private fun event(e: CacheEvent) {
        events += e
        if (events.size > MAX_EVENTS) events.removeFirst()
    }

    private companion object {
        const val PREFIX_WORDS = 16
        const val INITIAL_SIZE = 64
        const val LOAD_FACTOR = 0.75f
        const val MAX_EVENTS = 1_000
    }
}
