package io.greengageport.ledger

import io.greengageport.common.InstanceId
import kotlinx.coroutines.CompletableDeferred

/**
 * The fold of the stream `orders`: what is known about each key.
 *
 * The state depends only on the records applied and on [floor], the issue time before which keys
 * are forgotten. Keys are spread over shards, each under its own lock.
 */
internal class OrderTable(private val skewMillis: Long, shardCount: Int = SHARDS) {
    private class Entry(var bodyHash: Digest?, var issuedAt: Long) {
        /** Claims that may still run, the one in force last; more than one only by takeover. */
        var claims = NO_IDS

        /** Claims that were released, also those whose append may yet arrive. */
        var released = NO_IDS
        var claimant: InstanceId? = null
        var outcome: ByteArray? = null

        val bytes get() = ENTRY_BYTES + (outcome?.size ?: 0) + Long.SIZE_BYTES * released.size
    }

    private class Shard {
        val entries = HashMap<Digest, Entry>()
        val waiting = HashMap<Digest, MutableList<CompletableDeferred<Unit>>>()
        var bytes = 0L
    }

    private val shards = Array(shardCount) { Shard() }

    /** Calls issued before this time of the wall clock, in milliseconds, are refused. */
    @Volatile
    var floor: Long = Long.MIN_VALUE
        private set

    val keys: Int get() = shards.sumOf { s -> synchronized(s) { s.entries.size } }
    val bytes: Long get() = shards.sumOf { s -> synchronized(s) { s.bytes } }

    fun view(key: OrderKey, issuedAt: Long): KeyView {
        val d = key.digest()
        return locked(d) {
            val e = entries[d]
            val outcome = e?.outcome
            // The floor is read under the lock: it rises before a sweep drops an entry.
            when {
                issuedAt < floor -> KeyView.Expired
                outcome != null -> KeyView.Done(e.bodyHash, decodeOutcome(outcome))
                e == null || e.claims.isEmpty() -> KeyView.Free
                else -> KeyView.Claimed(e.bodyHash, e.claims.last(), checkNotNull(e.claimant))
            }
        }
    }

    /** Applies a record that the log took at [appendedAt]; for a claim, tells what became of it. */
    fun apply(record: OrderRecord, appendedAt: Long): Verdict {
        val d = record.key.digest()
        return locked(d) {
            val before = entries[d]?.bytes ?: 0
            val v = when (record) {
                is OrderRecord.Claim -> claim(d, record, appendedAt)
                is OrderRecord.Takeover -> takeOver(d, record)
                is OrderRecord.Outcome -> complete(d, record)
                is OrderRecord.Released -> release(d, record)
            }
            bytes += (entries[d]?.bytes ?: 0) - before
            if (v != Verdict.LOST) waiting.remove(d)?.forEach { it.complete(Unit) }
            v
        }
    }

    private fun Shard.claim(d: Digest, r: OrderRecord.Claim, appendedAt: Long): Verdict {
        if (r.issuedAt < floor) return Verdict.EXPIRED
        if (r.issuedAt > appendedAt + skewMillis) return Verdict.ISSUED_IN_FUTURE
        val e = entries.getOrPut(d) { Entry(r.bodyHash, r.issuedAt) }
        val taken = e.outcome != null || e.claims.isNotEmpty()
        if (taken || r.claimId in e.released) return Verdict.LOST
        e.claims = longArrayOf(r.claimId)
        e.claimant = r.claimant
        e.bodyHash = r.bodyHash
        e.issuedAt = maxOf(e.issuedAt, r.issuedAt)
        return Verdict.WON
    }

    private fun Shard.takeOver(d: Digest, r: OrderRecord.Takeover): Verdict {
        val e = entries[d] ?: return Verdict.LOST
        val inForce = e.outcome == null && e.claims.lastOrNull() == r.previous
        if (!inForce || r.claimId in e.released) return Verdict.LOST
        e.claims += r.claimId
        e.claimant = r.claimant
        return Verdict.WON
    }

    private fun Shard.complete(d: Digest, r: OrderRecord.Outcome): Verdict {
        val e = entries[d] ?: return Verdict.LOST
        if (e.outcome != null || r.claimId !in e.claims) return Verdict.LOST
        e.outcome = RecordCodec.encode(CallOutcome.serializer(), r.outcome)
        e.claims = NO_IDS
        e.released = NO_IDS
        e.claimant = null
        return Verdict.WON
    }

    private fun Shard.release(d: Digest, r: OrderRecord.Released): Verdict {
        if (r.issuedAt < floor) return Verdict.EXPIRED
        val e = entries.getOrPut(d) { Entry(null, r.issuedAt) }
        if (e.outcome != null || r.claimId in e.released) return Verdict.LOST
        e.claims = e.claims.filter { it != r.claimId }.toLongArray()
        e.released += r.claimId
        return Verdict.WON
    }

    /** Whether applying [record], an outcome or a release, would change nothing. */
    fun reflects(record: OrderRecord): Boolean {
        val d = record.key.digest()
        return locked(d) {
            val e = entries[d]
            when (record) {
                is OrderRecord.Outcome -> e == null || record.claimId !in e.claims

                is OrderRecord.Released ->
                    record.issuedAt < floor || e?.outcome != null ||
                        e?.released?.contains(record.claimId) == true

                else -> false
            }
        }
    }

    /** Completes at the next change of [key]; null if [claimId] is no longer in force. */
    fun nextChange(key: OrderKey, claimId: Long): CompletableDeferred<Unit>? {
        val d = key.digest()
        return locked(d) {
            if (entries[d]?.claims?.lastOrNull() != claimId) return@locked null
            CompletableDeferred<Unit>().also { waiting.getOrPut(d) { mutableListOf() } += it }
        }
    }

    fun forget(key: OrderKey, change: CompletableDeferred<Unit>) {
        val d = key.digest()
        locked(d) { if (waiting[d]?.run { remove(change) && isEmpty() } == true) waiting.remove(d) }
    }

    /** Forgets keys issued before [time]. A floor never goes back. */
    fun raiseFloor(time: Long) {
        if (time <= floor) return
        floor = time
        for (s in shards) {
            synchronized(s) {
                s.entries.values.removeIf { e ->
                    (e.issuedAt < time).also { if (it) s.bytes -= e.bytes }
                }
            }
        }
    }

    /** Drops the oldest outcome bodies, then the oldest keys, until [maxBytes] suffice. */
    fun shrink(maxBytes: Long) {
        if (bytes <= maxBytes) return
        val half = issueTimes().let { it[it.size / 2] }
        for (s in shards) {
            synchronized(s) {
                s.entries.values.filter { it.issuedAt <= half }.forEach { s.strip(it) }
            }
        }
        while (bytes > maxBytes) {
            // At least one key goes in each round, also when all were issued at the same time.
            raiseFloor(issueTimes().let { it[it.size / 4] } + 1)
        }
    }

    private fun Shard.strip(e: Entry) {
        val o = e.outcome ?: return
        val before = e.bytes
        e.outcome = RecordCodec.encode(CallOutcome.serializer(), decodeOutcome(o).withoutBody())
        bytes += e.bytes - before
    }

    private fun issueTimes(): LongArray = shards
        .flatMap { s -> synchronized(s) { s.entries.values.map { it.issuedAt } } }
        .toLongArray()
        .apply { sort() }

    /** Starts anew from a truncated stream that tells only of calls issued since [newFloor]. */
    fun reset(newFloor: Long) {
        floor = maxOf(floor, newFloor)
        for (s in shards) {
            synchronized(s) {
                s.entries.clear()
                s.bytes = 0
                s.waiting.values.flatten().forEach { it.complete(Unit) }
                s.waiting.clear()
            }
        }
    }

    private fun decodeOutcome(bytes: ByteArray): CallOutcome =
        RecordCodec.cbor.decodeFromByteArray(CallOutcome.serializer(), bytes)

    private inline fun <T> locked(d: Digest, block: Shard.() -> T): T {
        val s = shards[Math.floorMod(d.low, shards.size)]
        return synchronized(s) { s.block() }
    }

    private companion object {
        const val SHARDS = 64

        /** Bytes of a key without its outcome on a 64-bit JVM with compressed references. */
        const val ENTRY_BYTES = 200
        val NO_IDS = LongArray(0)
    }
}

/** What became of a record. */
internal enum class Verdict { WON, LOST, EXPIRED, ISSUED_IN_FUTURE }

/** What is known about a key. */
internal sealed interface KeyView {
    data object Free : KeyView

    data object Expired : KeyView

    data class Claimed(val bodyHash: Digest?, val claimId: Long, val claimant: InstanceId) : KeyView

    data class Done(val bodyHash: Digest?, val outcome: CallOutcome) : KeyView
}
