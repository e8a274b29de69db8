package io.greengageport.membership

import io.greengageport.common.InstanceId
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.math.ceil
import kotlin.math.ln

/**
 * Recent events or items that still have to be sent, those known to the fewest peers first.
 *
 * Each is sent at most once to a peer, and not to a peer that sent it. It is dropped when
 * `log2(N + 1)` peers, but at least eight, are known to have it. What is lost on the way is
 * repaired by anti-entropy.
 */
internal class RumourQueue<T>(private val sizeOf: (T) -> Int) {
    private class Rumour<T>(val value: T, val order: Long, val told: MutableSet<InstanceId>)

    private val lock = ReentrantLock()
    private val rumours = LinkedHashMap<String, Rumour<T>>()
    private var added = 0L

    /** Adds [value], replacing the older one of the same [key]; [source] is not told. */
    fun add(key: String, value: T, source: InstanceId?) = lock.withLock {
        rumours.remove(key)
        rumours[key] = Rumour(value, added++, listOfNotNull(source).toMutableSet())
        if (rumours.size > MAX_RUMOURS) rumours.remove(rumours.keys.first())
    }

    /** Notes that [peer] has the value of [key] that [isSame] accepts. */
    fun heard(key: String, peer: InstanceId, isSame: (T) -> Boolean) = lock.withLock {
        rumours[key]?.takeIf { isSame(it.value) }?.told?.add(peer)
    }

    /** Takes values that [peer] has not been sent, of at most [maxBytes] in total. */
    fun take(peer: InstanceId, maxBytes: Int, instances: Int): List<T> = lock.withLock {
        if (rumours.isEmpty()) return emptyList()
        val limit = knownLimit(instances)
        rumours.values.removeIf { it.told.size >= limit }
        var left = maxBytes
        val taken = ArrayList<T>()
        for (rumour in rumours.values.sortedWith(rarestFirst)) {
            val size = sizeOf(rumour.value)
            if (size > left || !rumour.told.add(peer)) continue
            left -= size
            taken += rumour.value
        }
        taken
    }

    fun isEmpty(): Boolean = lock.withLock { rumours.isEmpty() }

    companion object {
        private const val MAX_RUMOURS = 2_048

        /** Above the six neighbours and the source, so that each neighbour is sent to. */
        private const val MIN_KNOWN = 8
        private val rarestFirst =
            compareBy<Rumour<*>>({ it.told.size }, { -it.order })

        fun knownLimit(instances: Int): Int =
            ceil(ln(instances + 1.0) / ln(2.0)).toInt().coerceAtLeast(MIN_KNOWN)
    }
}
