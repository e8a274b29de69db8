package io.greengageport.settings

import com.github.michaelbull.result.getOrElse
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentHashMap
import kotlinx.collections.immutable.toPersistentHashSet
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Encodes and decodes states.
 *
 * The encoding is deterministic: unordered maps are sorted, so that all writers of the snapshot at
 * an offset produce the same parts.
 */
internal object Snapshot {
    /** Leaves 512 bytes for the part header within [RecordCodec.MAX_RECORD_BYTES]. */
    const val PART_BYTES = RecordCodec.MAX_RECORD_BYTES - 512

    /** Encodes [state] and splits it into parts of at most [partBytes]. */
    fun split(state: SettingsState, partBytes: Int = PART_BYTES): List<SnapshotPart> {
        val bytes = encode(state)
        val hash = sha256(bytes).toHex()
        val count = (bytes.size + partBytes - 1) / partBytes
        return List(count) { i ->
            val end = minOf((i + 1) * partBytes, bytes.size)
            val slice = bytes.copyOfRange(i * partBytes, end)
            SnapshotPart(state.lastOffset, hash, i, count, slice)
        }
    }

    /** Encodes the state [s] as one CBOR item, which [decode] accepts. */
    fun encode(s: SettingsState): ByteArray = RecordCodec.encode(
        Body.serializer(),
        Body(
            version = s.version,
            lastOffset = s.lastOffset,
            hash = s.hash,
            documents = s.tree.documents.toSortedMap(),
            marks = s.versions.marks.toSortedMap(),
            removed = s.versions.removed.sorted(),
            forgotten = s.versions.forgotten,
            fates = s.ids.fates.toMap(),
            horizon = s.ids.horizon,
            history = s.history.entries
        )
    )

    /** Returns the state, or null if the bytes are malformed or the tree hash does not match. */
    fun decode(bytes: ByteArray): SettingsState? {
        val b = RecordCodec.decode(Body.serializer(), bytes).getOrElse { return null }
        // Accepted documents stay in force even if this program version considers them invalid.
        val tree = SettingsTree.EMPTY.replace(SettingsPath.ROOT, b.documents).tree
        if (tree.hash != b.hash) return null
        return SettingsState(
            tree = tree,
            version = b.version,
            lastOffset = b.lastOffset,
            versions = PathVersions(
                b.marks.toPersistentHashMap(),
                b.removed.toPersistentHashSet(),
                b.forgotten
            ),
            ids = ChangeIds(persistentMapOf<ChangeId, Fate>().putAll(b.fates), b.horizon),
            history = History.of(b.history)
        )
    }

    @Serializable
    private class Body(
        val version: Long,
        @SerialName("through")
        val lastOffset: Long,
        val hash: TreeHash,
        val documents: Map<SettingsPath, SettingsDocument>,
        val marks: Map<SettingsPath, PathVersions.Mark>,
        val removed: List<SettingsPath>,
        val forgotten: Long,
        val fates: Map<ChangeId, Fate>,
        val horizon: Long,
        val history: List<HistoryEntry>
    )
}

/**
 * Assembles snapshots from parts, which may arrive out of order, more than once, and interleaved
 * with parts of other snapshots.
 *
 * If the parts exceed [maxBytes], the snapshot with the lowest offset is discarded, so that the
 * newest one can always be completed.
 */
internal class SnapshotAssembler(private val maxBytes: Long = MAX_BYTES) {
    private data class Key(val lastOffset: Long, val hash: String, val count: Int)

    private val parts = sortedMapOf<Key, MutableMap<Int, ByteArray>>(
        compareBy({ it.lastOffset }, { it.hash }, { it.count })
    )
    private var heldBytes = 0L

    /** Adds a part. Returns the state if the part completes a snapshot with a valid hash. */
    fun add(part: SnapshotPart): SettingsState? {
        if (part.count !in 1..MAX_PARTS || part.index !in 0 until part.count) return null
        val key = Key(part.lastOffset, part.hash, part.count)
        val own = parts.getOrPut(key) { mutableMapOf() }
        if (own.putIfAbsent(part.index, part.bytes) == null) heldBytes += part.bytes.size
        if (own.size == part.count) {
            discard(key)
            return assemble(part, own)
        }
        while (heldBytes > maxBytes && parts.size > 1) discard(parts.firstKey())
        return null
    }

    private fun assemble(part: SnapshotPart, own: Map<Int, ByteArray>): SettingsState? {
        val bytes = ByteArray(own.values.sumOf { it.size })
        var at = 0
        for (i in 0 until part.count) {
            val slice = own.getValue(i)
            slice.copyInto(bytes, at)
            at += slice.size
        }
        if (sha256(bytes).toHex() != part.hash) return null
        return Snapshot.decode(bytes)?.takeIf { it.lastOffset == part.lastOffset }
    }

    private fun discard(key: Key) {
        heldBytes -= parts.remove(key).orEmpty().values.sumOf { it.size.toLong() }
    }

    private companion object {
        const val MAX_BYTES = 16L * 1024 * 1024
        const val MAX_PARTS = 4_096
    }
}
