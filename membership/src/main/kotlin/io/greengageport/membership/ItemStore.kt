package io.greengageport.membership

import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/**
 * The gossip items this instance holds, in shards that each have their own lock and bounds.
 *
 * Per topic and key the highest version wins; of two payloads with one version the larger in
 * unsigned byte order wins, so that all instances keep the same. A full shard drops the item that
 * expires first. Each shard is one bucket of the anti-entropy digest.
 */
internal class ItemStore(maxItems: Int, maxBytes: Int) {
    private class Held(val item: GossipItem, val expiresAt: Long, val fingerprint: Long)

    private inner class Shard {
        val lock = ReentrantLock()
        val items = HashMap<Long, Held>()
        var bytes = 0
        var digest = 0L

        fun put(id: Long, held: Held) {
            remove(id)
            items[id] = held
            bytes += held.item.size
            digest = digest xor held.fingerprint
        }

        fun remove(id: Long) {
            val old = items.remove(id) ?: return
            bytes -= old.item.size
            digest = digest xor old.fingerprint
        }

        fun trim() {
            while (items.size > shardItems || bytes > shardBytes) {
                remove(items.entries.minWith(expiryOrder).key)
            }
        }
    }

    private val expiryOrder =
        compareBy<Map.Entry<Long, Held>>({ it.value.expiresAt }, { it.key })
    private val shardItems = (maxItems / SHARDS).coerceAtLeast(1)
    private val shardBytes = (maxBytes / SHARDS).coerceAtLeast(GossipItem.MAX_PAYLOAD_BYTES * 2)
    private val shards = List(SHARDS) { Shard() }

    /** Keeps [item] if it is newer than the one held; true if it was kept. */
    fun merge(item: GossipItem, now: Long): Boolean {
        val valid = item.payload.size <= GossipItem.MAX_PAYLOAD_BYTES &&
            item.topic.length + item.key.length <= GossipItem.MAX_NAME_BYTES
        if (item.remainingMillis <= 0 || !valid) return false
        val hash = item.idHash()
        val shard = shards[hash.bucket(SHARDS)]
        return shard.lock.withLock {
            val old = shard.items[hash.value]
            if (old != null && !isNewer(item, old.item)) return false
            val fingerprint = hash.mix(item.version).mix(Hash64.of(item.payload).value).value
            shard.put(hash.value, Held(item, now + item.remainingMillis, fingerprint))
            shard.trim()
            hash.value in shard.items
        }
    }

    /** Drops expired items. */
    fun expire(now: Long) = shards.forEach { shard ->
        shard.lock.withLock {
            shard.items.filterValues { it.expiresAt <= now }.keys.toList().forEach(shard::remove)
        }
    }

    fun digest(): List<Long> = shards.map { shard -> shard.lock.withLock { shard.digest } }

    fun summaries(bucket: Int): List<ItemSummary> = shards[bucket].let { shard ->
        shard.lock.withLock {
            shard.items.map { (id, held) ->
                ItemSummary(id, held.item.version, Hash64.of(held.item.payload).value)
            }
        }
    }

    /** The item with the given id as it would be sent now; null if unknown or about to expire. */
    fun find(idHash: Long, now: Long): GossipItem? {
        val shard = shards[Hash64(idHash).bucket(SHARDS)]
        return shard.lock.withLock { shard.items[idHash]?.toWire(now) }
    }

    fun all(now: Long): List<GossipItem> = shards.flatMap { shard ->
        shard.lock.withLock { shard.items.values.mapNotNull { it.toWire(now) } }
    }

    private fun Held.toWire(now: Long): GossipItem? = (expiresAt - now).takeIf { it > 0 }
        ?.let { GossipItem(item.topic, item.key, item.version, it, item.payload) }

    private fun isNewer(item: GossipItem, old: GossipItem): Boolean =
        if (item.version != old.version) {
            item.version > old.version
        } else {
            java.util.Arrays.compareUnsigned(item.payload, old.payload) > 0
        }

    companion object {
        const val SHARDS = 16
    }
}
