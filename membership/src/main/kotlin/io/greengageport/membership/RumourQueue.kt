package io.greengageport.membership

import io.greengageport.common.InstanceId
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.math.ceil
import kotlin.math.ln

/**
 * Recent events or items that still have to be sent, newest first.
 *
 * Each is sent at most once to a peer and at most `2 * log2(N + 1)` times altogether; what is lost
 * on the way is repaired by anti-entropy.
 */
internal class RumourQueue<T>(private val sizeOf: (T) -> Int) {
    private class Rumour<T>(val value: T, val told: MutableSet<InstanceId>, var sends: Int = 0)

    private val lock = ReentrantLock()
    private val rumours = LinkedHashMap<String, Rumour<T>>()

    /** Adds [value], replacing the older one of the same [key]; [source] is not told. */
    fun add(key: String, value: T, source: InstanceId?) = lock.withLock {
        rumours.remove(key)
        rumours[key] = Rumour(value, listOfNotNull(source).toMutableSet())
        if (rumours.size > MAX_RUMOURS) rumours.remove(rumours.keys.first())
    }

    /** Takes values that [peer] has not been sent, of at most [maxBytes] in total. */
    fun take(peer: InstanceId, maxBytes: Int, instances: Int): List<T> = lock.withLock {
        if (rumours.isEmpty()) return emptyList()
        val limit = sendLimit(instances)
        var left = maxBytes
        val taken = ArrayList<T>()
        for (rumour in rumours.values.reversed()) {
            val size = sizeOf(rumour.value)
            if (size > left || !rumour.told.add(peer)) continue
            left -= size
            rumour.sends++
            taken += rumour.value
        }
        rumours.values.removeIf { it.sends >= limit }
        taken
    }

    fun isEmpty(): Boolean = lock.withLock { rumours.isEmpty() }

    companion object {
        private const val MAX_RUMOURS = 2_048

        fun sendLimit(instances: Int): Int = ceil(2 * ln(instances + 1.0) / ln(2.0)).toInt()
    }
}
