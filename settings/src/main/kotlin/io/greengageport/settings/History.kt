package io.greengageport.settings

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.serialization.Serializable

/**
 * An accepted change. [value] is null for a removal; [size] is the size of the record in bytes.
 */
@Serializable
public data class HistoryEntry(
    val version: Long,
    val appendedAtMillis: Long,
    val id: ChangeId,
    val author: String,
    val path: SettingsPath,
    val value: Map<SettingsPath, SettingsDocument>?,
    val size: Int
)

/** The latest accepted changes, oldest first, limited by [MAX_ENTRIES] and [MAX_BYTES]. */
internal class History(val entries: PersistentList<HistoryEntry>, private val sizeBytes: Long) {
    /** Appends [entry], and evicts the oldest entries if a limit is exceeded. */
    fun plus(entry: HistoryEntry): History {
        var kept = entries.add(entry)
        var sum = sizeBytes + entry.size
        while (kept.size > MAX_ENTRIES || sum > MAX_BYTES) {
            sum -= kept.first().size
            kept = kept.removeAt(0)
        }
        return History(kept, sum)
    }

    /** Returns the change that produced [version], or null if it is not in the history. */
    fun changeAt(version: Long): HistoryEntry? =
        entries.binarySearchBy(version) { it.version }.let { if (it < 0) null else entries[it] }

    companion object {
        const val MAX_ENTRIES = 512
        const val MAX_BYTES = 512L * 1024

        val EMPTY = of(emptyList())

        fun of(entries: List<HistoryEntry>): History = History(
            persistentListOf<HistoryEntry>().addAll(entries),
            entries.sumOf {
                it.size.toLong()
            }
        )
    }
}
