package io.greengageport.settings

import io.greengageport.ports.LogRecord
import java.util.BitSet

/**
 * Watches the log for complete snapshots and tells when a new one is due.
 *
 * It keeps no bytes of parts and is no part of the state: instances may disagree on it, which can
 * only lead to a snapshot too many or a late one.
 */
internal class SnapshotTracker(private val config: SettingsStoreConfig) {
    private data class Key(val through: Long, val count: Int)

    private val seen = LinkedHashMap<Key, BitSet>()
    private val changesSince = ArrayDeque<Long>()
    private var lastThrough = 0L
    private var lastAtMillis: Long? = null

    /** Log time of the newest part of any snapshot. */
    @get:Synchronized
    var lastPartAtMillis: Long? = null
        private set

    @Synchronized
    fun onRecord(record: LogRecord, decision: Decision) {
        if (lastAtMillis == null) lastAtMillis = record.appendedAtMillis
        if (decision !is Decision.Snapshot) {
            changesSince += record.offset
            if (changesSince.size > config.snapshotEvery + 1) changesSince.removeFirst()
            return
        }
        lastPartAtMillis = record.appendedAtMillis
        if (isComplete(decision)) onStart(decision.through, record.appendedAtMillis)
    }

    /** Notes that a snapshot as of [through] is complete in the log or was taken from a peer. */
    @Synchronized
    fun onStart(through: Long, atMillis: Long) {
        if (through < lastThrough) return
        lastThrough = through
        lastAtMillis = atMillis
        while (changesSince.isNotEmpty() && changesSince.first() <= through) {
            changesSince.removeFirst()
        }
        seen.keys.removeIf { it.through <= through }
    }

    /** Whether many records, or half of the retention time, have passed since the last one. */
    @Synchronized
    fun isDue(wallMillis: Long): Boolean {
        val last = lastAtMillis ?: return false
        return changesSince.size > config.snapshotEvery ||
            wallMillis - last > config.retention.inWholeMilliseconds / 2
    }

    private fun isComplete(d: Decision.Snapshot): Boolean {
        if (d.index !in 0 until d.count || d.count > MAX_PARTS) return false
        val bits = seen.getOrPut(Key(d.through, d.count)) { BitSet() }
        bits.set(d.index)
        if (seen.size > MAX_SEEN) seen.remove(seen.keys.first())
        return bits.cardinality() == d.count
    }

    private companion object {
        const val MAX_SEEN = 64
        const val MAX_PARTS = 4_096
    }
}
