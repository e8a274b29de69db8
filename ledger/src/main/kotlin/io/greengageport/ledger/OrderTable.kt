package io.greengageport.ledger

import io.greengageport.common.InstanceId
import kotlinx.coroutines.CompletableDeferred

/**
 * State of all keys, built by applying the records of the stream `orders` in log order.
 *
 * The state depends only on the applied records and on [minIssuedAtMillis]. Keys are distributed
 * over shards, each with its own lock.
 */
internal class OrderTable(
    private val maxClockSkewMillis: Long,
    shardCount: Int = DEFAULT_SHARD_COUNT
) {
    private class Entry(var bodyHash: Digest?, var issuedAtMillis: Long) {
        /** Claims whose call may still run, the current one last; several only after takeovers. */
        var claims = NO_IDS

        /** Released claims, including those whose own append may still arrive. */
        var released = NO_IDS
        var claimant: InstanceId? = null

        /** The encoded [CallOutcome]. */
        var outcome: ByteArray? = null

        /** Estimated memory of this entry. */
        val bytes get() = ENTRY_BYTES + (outcome?.size ?: 0) + Long.SIZE_BYTES * released.size
    }

    private class Shard {
        val entries = HashMap<Digest, Entry>()
        val waiters = HashMap<Digest, MutableList<CompletableDeferred<Unit>>>()
        var bytes = 0L
    }

    private val shards = Array(shardCount) { Shard() }

    /**
     * Issue time on the wall clock, in milliseconds, before which keys are expired: they are
     * removed, and calls with such keys are refused.
     */
    @Volatile
    var minIssuedAtMillis: Long = Long.MIN_VALUE
        private set

    val keyCount: Int get() = shards.sumOf { shard -> synchronized(shard) { shard.entries.size } }

    /** Estimated memory of all keys. */
    val bytes: Long get() = shards.sumOf { shard -> synchronized(shard) { shard.bytes } }

    /** Returns the state of [key] for a call issued at [issuedAtMillis]. */
    fun keyState(key: OrderKey, issuedAtMillis: Long): KeyState {
        val digest = key.digest()
        return withShard(digest) {
            val entry = entries[digest]
            val outcome = entry?.outcome
            // The minimum is read under the lock: it is raised before expired entries are removed.
            when {
                issuedAtMillis < minIssuedAtMillis -> KeyState.Expired

                outcome != null -> KeyState.Done(entry.bodyHash, decodeOutcome(outcome))

                entry == null || entry.claims.isEmpty() -> KeyState.Free

                else -> KeyState.Claimed(
                    entry.bodyHash,
                    entry.claims.last(),
                    checkNotNull(entry.claimant)
                )
            }
        }
    }

    /** Applies a record appended at [appendedAtMillis] of the log service's clock. */
    fun apply(record: OrderRecord, appendedAtMillis: Long): ApplyResult {
        val digest = record.key.digest()
        return withShard(digest) {
            val bytesBefore = entries[digest]?.bytes ?: 0
            val result = when (record) {
                is OrderRecord.Claim -> claim(digest, record, appendedAtMillis)
                is OrderRecord.Takeover -> takeOver(digest, record)
                is OrderRecord.Outcome -> complete(digest, record)
                is OrderRecord.Released -> release(digest, record)
            }
            bytes += (entries[digest]?.bytes ?: 0) - bytesBefore
            if (result != ApplyResult.LOST) waiters.remove(digest)?.forEach { it.complete(Unit) }
            result
        }
    }

    private fun Shard.claim(
        digest: Digest,
        r: OrderRecord.Claim,
        appendedAtMillis: Long
    ): ApplyResult {
        if (r.issuedAt < minIssuedAtMillis) return ApplyResult.EXPIRED
        if (r.issuedAt > appendedAtMillis + maxClockSkewMillis) return ApplyResult.ISSUED_IN_FUTURE
        val entry = entries.getOrPut(digest) { Entry(r.bodyHash, r.issuedAt) }
        val isTaken = entry.outcome != null || entry.claims.isNotEmpty()
        if (isTaken || r.claimId in entry.released) return ApplyResult.LOST
        entry.claims = longArrayOf(r.claimId)
        entry.claimant = r.claimant
        entry.bodyHash = r.bodyHash
        entry.issuedAtMillis = maxOf(entry.issuedAtMillis, r.issuedAt)
        return ApplyResult.WON
    }

    private fun Shard.takeOver(digest: Digest, r: OrderRecord.Takeover): ApplyResult {
        val entry = entries[digest] ?: return ApplyResult.LOST
        val isCurrent = entry.outcome == null && entry.claims.lastOrNull() == r.previous
        if (!isCurrent || r.claimId in entry.released) return ApplyResult.LOST
        entry.claims += r.claimId
        entry.claimant = r.claimant
        return ApplyResult.WON
    }

    private fun Shard.complete(digest: Digest, r: OrderRecord.Outcome): ApplyResult {
        val entry = entries[digest] ?: return ApplyResult.LOST
        if (entry.outcome != null || r.claimId !in entry.claims) return ApplyResult.LOST
        entry.outcome = RecordCodec.encode(CallOutcome.serializer(), r.outcome)
        entry.claims = NO_IDS
        entry.released = NO_IDS
        entry.claimant = null
        return ApplyResult.WON
    }

    private fun Shard.release(digest: Digest, r: OrderRecord.Released): ApplyResult {
        if (r.issuedAt < minIssuedAtMillis) return ApplyResult.EXPIRED
        val entry = entries.getOrPut(digest) { Entry(null, r.issuedAt) }
        if (entry.outcome != null || r.claimId in entry.released) return ApplyResult.LOST
        entry.claims = entry.claims.filter { it != r.claimId }.toLongArray()
        entry.released += r.claimId
        return ApplyResult.WON
    }

    /** Whether applying [record], an outcome or a release, would change nothing. */
    fun isReflected(record: OrderRecord): Boolean {
        val digest = record.key.digest()
        return withShard(digest) {
            val entry = entries[digest]
            when (record) {
                is OrderRecord.Outcome -> entry == null || record.claimId !in entry.claims

                is OrderRecord.Released ->
                    record.issuedAt < minIssuedAtMillis || entry?.outcome != null ||
                        entry?.released?.contains(record.claimId) == true

                else -> false
            }
        }
    }

    /**
     * Returns a deferred that completes at the next change of [key], or null if [claimId] is no
     * longer its current claim. Pass it to [removeWaiter] when it is no longer needed.
     */
    fun nextChange(key: OrderKey, claimId: Long): CompletableDeferred<Unit>? {
        val digest = key.digest()
        return withShard(digest) {
            if (entries[digest]?.claims?.lastOrNull() != claimId) return@withShard null
            CompletableDeferred<Unit>().also { waiters.getOrPut(digest) { mutableListOf() } += it }
        }
    }

    /** Removes a deferred returned by [nextChange]. */
    fun removeWaiter(key: OrderKey, change: CompletableDeferred<Unit>) {
        val digest = key.digest()
        withShard(digest) {
            if (waiters[digest]?.run { remove(change) && isEmpty() } == true) waiters.remove(digest)
        }
    }

    /**
     * Raises [minIssuedAtMillis] to [timeMillis] and removes older keys; a lower time has no
     * effect.
     */
    fun expireIssuedBefore(timeMillis: Long) {
        if (timeMillis <= minIssuedAtMillis) return
        minIssuedAtMillis = timeMillis
        for (shard in shards) {
            synchronized(shard) {
                shard.entries.values.removeIf { entry ->
                    (entry.issuedAtMillis < timeMillis).also { if (it) shard.bytes -= entry.bytes }
                }
            }
        }
    }

    /**
     * Reduces the estimated memory to [maxBytes]: drops the bodies of the older half of the
     * outcomes first, then the oldest keys.
     */
    fun shrink(maxBytes: Long) {
        if (bytes <= maxBytes) return
        val medianIssuedAtMillis = issueTimes().let { it[it.size / 2] }
        for (shard in shards) {
            synchronized(shard) {
                shard.entries.values.filter { it.issuedAtMillis <= medianIssuedAtMillis }
                    .forEach { shard.dropBody(it) }
            }
        }
        while (bytes > maxBytes) {
            // The + 1 removes at least one key per round, even if all have the same issue time.
            expireIssuedBefore(issueTimes().let { it[it.size / 4] } + 1)
        }
    }

    /** Drops the body of the outcome of [entry]. */
    private fun Shard.dropBody(entry: Entry) {
        val encoded = entry.outcome ?: return
        val bytesBefore = entry.bytes
        entry.outcome =
            RecordCodec.encode(CallOutcome.serializer(), decodeOutcome(encoded).withoutBody())
        bytes += entry.bytes - bytesBefore
    }

    private fun issueTimes(): LongArray = shards
        .flatMap { shard -> synchronized(shard) { shard.entries.values.map { it.issuedAtMillis } } }
        .toLongArray()
        .apply { sort() }

    /**
     * Clears the table after a truncation of the stream, which is complete only for calls issued
     * since [newMinIssuedAtMillis].
     */
    fun reset(newMinIssuedAtMillis: Long) {
        minIssuedAtMillis = maxOf(minIssuedAtMillis, newMinIssuedAtMillis)
        for (shard in shards) {
            synchronized(shard) {
                shard.entries.clear()
                shard.bytes = 0
                shard.waiters.values.flatten().forEach { it.complete(Unit) }
                shard.waiters.clear()
            }
        }
    }

    private fun decodeOutcome(bytes: ByteArray): CallOutcome =
        RecordCodec.cbor.decodeFromByteArray(CallOutcome.serializer(), bytes)

    private inline fun <T> withShard(digest: Digest, block: Shard.() -> T): T {
        val shard = shards[Math.floorMod(digest.low, shards.size)]
        return synchronized(shard) { shard.block() }
    }

    private companion object {
        const val DEFAULT_SHARD_COUNT = 64

        /** Memory of a key without its outcome, on a 64-bit JVM with compressed references. */
        const val ENTRY_BYTES = 200
        val NO_IDS = LongArray(0)
    }
}

/** Effect of applying a record: [WON] if it took effect, otherwise why it did not. */
internal enum class ApplyResult { WON, LOST, EXPIRED, ISSUED_IN_FUTURE }

/** State of a key. */
internal sealed interface KeyState {
    /** The key has no claim. */
    data object Free : KeyState

    /** The key was issued before [OrderTable.minIssuedAtMillis]. */
    data object Expired : KeyState

    /** [claimant] may execute or have executed the call. */
    data class Claimed(val bodyHash: Digest?, val claimId: Long, val claimant: InstanceId) :
        KeyState

    /** The call was executed. */
    data class Done(val bodyHash: Digest?, val outcome: CallOutcome) : KeyState
}
