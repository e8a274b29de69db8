package io.greengageport.membership

import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/**
 * The gossip items known to this instance, in shards with separate locks and bounds. Thread-safe.
 *
 * Per topic and key the highest version wins. Of two payloads with the same version, the larger in
 * unsigned byte order wins, so that all instances converge. A full shard evicts the item that
 * expires first. Each shard is one bucket of the anti-entropy digest. Times are monotonic
 * milliseconds.
 */
internal class ItemStore(maxItems: Int, maxBytes: Int) {
    private class StoredItem(val item: GossipItem, val expiresAtMillis: Long, val fingerprint: Long)

    private inner class Shard {
        val lock = ReentrantLock()
        val items = HashMap<Long, StoredItem>()
        var bytes = 0
        var digest = 0L

        fun put(id: Long, stored: StoredItem) {
            remove(id)
            items[id] = stored
            bytes += stored.item.size
            digest = digest xor stored.fingerprint
        }

        fun remove(id: Long) {
            val existing = items.remove(id) ?: return
            bytes -= existing.item.size
            digest = digest xor existing.fingerprint
        }

        fun evictToBounds() {
            while (items.size > maxItemsPerShard || bytes > maxBytesPerShard) {
                remove(items.entries.minWith(expiryOrder).key)
            }
        }
    }

    private val expiryOrder =
        compareBy<Map.Entry<Long, StoredItem>>({ it.value.expiresAtMillis }, { it.key })
    private val maxItemsPerShard = (maxItems / SHARD_COUNT).coerceAtLeast(1)
    private val maxBytesPerShard =
        (maxBytes / SHARD_COUNT).coerceAtLeast(GossipItem.MAX_PAYLOAD_BYTES * 2)
    private val shards = List(SHARD_COUNT) { Shard() }

    /** Stores [item] if it is valid and newer than the known version; returns true if kept. */
    fun merge(item: GossipItem, now: Long): Boolean {
        val isValid = item.payload.size <= GossipItem.MAX_PAYLOAD_BYTES &&
            item.topic.length + item.key.length <= GossipItem.MAX_NAME_BYTES
        if (item.remainingMillis <= 0 || !isValid) return false
        val hash = item.idHash()
        val shard = shards[hash.bucket(SHARD_COUNT)]
        return shard.lock.withLock {
            val existing = shard.items[hash.value]
            if (existing != null && !isNewer(item, existing.item)) return false
            val fingerprint = hash.mix(item.version).mix(Hash64.of(item.payload).value).value
            shard.put(hash.value, StoredItem(item, now + item.remainingMillis, fingerprint))
            shard.evictToBounds()
            hash.value in shard.items
        }
    }

    fun removeExpired(now: Long) = shards.forEach { shard ->
        shard.lock.withLock {
            shard.items.filterValues { it.expiresAtMillis <= now }.keys.toList()
                .forEach(shard::remove)
        }
    }

    /** The digest of each shard: the XOR of the fingerprints of its items. */
    fun digest(): List<Long> = shards.map { shard -> shard.lock.withLock { shard.digest } }

    /** Summaries of the items in one shard. */
    fun summaries(bucket: Int): List<ItemSummary> = shards[bucket].let { shard ->
        shard.lock.withLock {
            shard.items.map { (id, stored) ->
                ItemSummary(id, stored.item.version, Hash64.of(stored.item.payload).value)
            }
        }
    }

    /** Returns the item with its remaining lifetime; null if it is unknown or expired. */
    fun find(idHash: Long, now: Long): GossipItem? {
        val shard = shards[Hash64(idHash).bucket(SHARD_COUNT)]
        return shard.lock.withLock { shard.items[idHash]?.toGossipItem(now) }
    }

    fun all(now: Long): List<GossipItem> = shards.flatMap { shard ->
        shard.lock.withLock { shard.items.values.mapNotNull { it.toGossipItem(now) } }
    }

    private fun StoredItem.toGossipItem(now: Long): GossipItem? =
        (expiresAtMillis - now).takeIf { it > 0 }
            ?.let { GossipItem(item.topic, item.key, item.version, it, item.payload) }

    private fun isNewer(item: GossipItem, existing: GossipItem): Boolean =
        if (item.version != existing.version) {
            item.version > existing.version
        } else {
            java.util.Arrays.compareUnsigned(item.payload, existing.payload) > 0
        }

    companion object {
        const val SHARD_COUNT = 16
    }
}
