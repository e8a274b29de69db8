package io.greengageport.settings

import io.greengageport.ports.LogRecord
import java.util.BitSet

/**
 * Detects complete snapshots in the log and determines when a new one is due.
 *
 * It does not store the bytes of the parts. It is not part of the replicated state: instances may
 * disagree, which can only cause a redundant or a late snapshot.
 */
internal class SnapshotTracker(private val config: SettingsStoreConfig) {
    private data class Key(val lastOffset: Long, val count: Int)

    private val partsSeen = LinkedHashMap<Key, BitSet>()
    private val recordOffsets = ArrayDeque<Long>()
    private var lastSnapshotOffset = 0L
    private var lastSnapshotAtMillis: Long? = null

    /** Wall-clock time at which the newest part of any snapshot was appended; null if none was. */
    @get:Synchronized
    var lastPartAtMillis: Long? = null
        private set

    /** Updates the counters for a record that was applied to the state. */
    @Synchronized
    fun onRecord(record: LogRecord, decision: Decision) {
        // Without a snapshot, the retention time counts from the first record.
        if (lastSnapshotAtMillis == null) lastSnapshotAtMillis = record.appendedAtMillis
        if (decision !is Decision.Snapshot) {
            recordOffsets += record.offset
            if (recordOffsets.size > config.snapshotEvery + 1) recordOffsets.removeFirst()
            return
        }
        lastPartAtMillis = record.appendedAtMillis
        if (isComplete(decision)) onSnapshot(decision.through, record.appendedAtMillis)
    }

    /**
     * Records that a snapshot at [lastOffset] was completed in the log or loaded from a peer, at
     * the wall-clock time [atMillis].
     */
    @Synchronized
    fun onSnapshot(lastOffset: Long, atMillis: Long) {
        if (lastOffset < lastSnapshotOffset) return
        lastSnapshotOffset = lastOffset
        lastSnapshotAtMillis = atMillis
        while (recordOffsets.isNotEmpty() && recordOffsets.first() <= lastOffset) {
            recordOffsets.removeFirst()
        }
        partsSeen.keys.removeIf { it.lastOffset <= lastOffset }
    }

    /**
     * Returns whether a snapshot is due: more than [SettingsStoreConfig.snapshotEvery] records or
     * half of the retention time have passed since the last one.
     */
    @Synchronized
    fun isDue(wallMillis: Long): Boolean {
        val last = lastSnapshotAtMillis ?: return false
        return recordOffsets.size > config.snapshotEvery ||
            wallMillis - last > config.retention.inWholeMilliseconds / 2
    }

    private fun isComplete(d: Decision.Snapshot): Boolean {
        if (d.index !in 0 until d.count || d.count > MAX_PARTS) return false
        val bits = partsSeen.getOrPut(Key(d.through, d.count)) { BitSet() }
        bits.set(d.index)
        if (partsSeen.size > MAX_TRACKED_SNAPSHOTS) partsSeen.remove(partsSeen.keys.first())
        return bits.cardinality() == d.count
    }

    private companion object {
        const val MAX_TRACKED_SNAPSHOTS = 64
        const val MAX_PARTS = 4_096
    }
}
