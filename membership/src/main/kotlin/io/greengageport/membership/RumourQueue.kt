package io.greengageport.membership

import io.greengageport.common.InstanceId
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.math.ceil
import kotlin.math.ln

/**
 * A queue of recent events or items to gossip, ordered by the number of peers known to have them,
 * fewest first. Thread-safe.
 *
 * A value is sent to each peer at most once, and never to a peer that sent it. It is dropped when
 * `log2(N + 1)` peers, but at least eight, are known to have it. Anti-entropy repairs losses.
 */
internal class RumourQueue<T>(private val sizeOf: (T) -> Int) {
    private class Rumour<T>(val value: T, val order: Long, val knownBy: MutableSet<InstanceId>)

    private val lock = ReentrantLock()
    private val rumours = LinkedHashMap<String, Rumour<T>>()
    private var insertCount = 0L

    /**
     * Adds [value], replacing any older value of [key]; it is not sent to its [source]. A full
     * queue drops the value that was added first.
     */
    fun add(key: String, value: T, source: InstanceId?) = lock.withLock {
        rumours.remove(key)
        rumours[key] = Rumour(value, insertCount++, listOfNotNull(source).toMutableSet())
        if (rumours.size > MAX_RUMOURS) rumours.remove(rumours.keys.first())
    }

    /** Records that [peer] has the value of [key], if [isSame] accepts the queued value. */
    fun markKnown(key: String, peer: InstanceId, isSame: (T) -> Boolean) = lock.withLock {
        rumours[key]?.takeIf { isSame(it.value) }?.knownBy?.add(peer)
    }

    /**
     * Returns values unknown to [peer], at most [maxBytes] in total, and marks them as known.
     * [instances] is the number of live instances.
     */
    fun take(peer: InstanceId, maxBytes: Int, instances: Int): List<T> = lock.withLock {
        if (rumours.isEmpty()) return emptyList()
        val limit = knownPeerLimit(instances)
        rumours.values.removeIf { it.knownBy.size >= limit }
        var remainingBytes = maxBytes
        val taken = ArrayList<T>()
        for (rumour in rumours.values.sortedWith(leastKnownFirst)) {
            val size = sizeOf(rumour.value)
            if (size > remainingBytes || !rumour.knownBy.add(peer)) continue
            remainingBytes -= size
            taken += rumour.value
        }
        taken
    }

    fun isEmpty(): Boolean = lock.withLock { rumours.isEmpty() }

    companion object {
        private const val MAX_RUMOURS = 2_048

        /** More than the six neighbours and the source, so that every neighbour gets each value. */
        private const val MIN_KNOWN_PEERS = 8
        private val leastKnownFirst =
            compareBy<Rumour<*>>({ it.knownBy.size }, { -it.order })

        /** Number of peers known to have a value at which it is dropped. */
        fun knownPeerLimit(instances: Int): Int =
            ceil(ln(instances + 1.0) / ln(2.0)).toInt().coerceAtLeast(MIN_KNOWN_PEERS)
    }
}
