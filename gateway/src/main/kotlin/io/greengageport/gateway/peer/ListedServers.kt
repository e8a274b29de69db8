package io.greengageport.gateway.peer

import io.greengageport.gateway.model.BackendServer
import io.greengageport.gateway.port.Change

/**
 * The entries of the store's list of servers as this instance's own reads showed them, to tell
 * records that change an entry from heartbeats, which repeat it.
 *
 * What is in force in the directory does not tell them apart: a removal may be deferred, and a
 * server may be known as leaving from an answer. A record about an entry that this instance has not
 * read itself counts as a change.
 */
internal class ListedServers {
    private val entries = HashMap<String, BackendServer>()

    /** The end of the changes received from peers, which may extend beyond the next own read. */
    private var peerEnd = Long.MIN_VALUE

    /** Replaces all entries by those of a snapshot. */
    fun onSnapshot(records: List<Change<BackendServer>>) {
        entries.clear()
        peerEnd = Long.MIN_VALUE
        records.forEach(::keep)
    }

    /** Applies the [records] of a read and returns those that change an entry. */
    fun onRead(records: List<Change<BackendServer>>): List<Change<BackendServer>> =
        records.filterNot(::isHeartbeat)

    private fun isHeartbeat(record: Change<BackendServer>): Boolean {
        val known = entries[record.key]
        if (record is Change.Put && known?.hasSameContent(record.value) == true) return true
        // Peers may have reported a later record of this server.
        if (record.position < peerEnd) entries.remove(record.key) else keep(record)
        return false
    }

    private fun keep(record: Change<BackendServer>) {
        when (record) {
            is Change.Put -> entries[record.key] = record.value
            is Change.Removed, is Change.Unreadable -> entries.remove(record.key)
        }
    }

    /** Applies the [changes] before position [until] that a peer reported. */
    fun onPeerChanges(changes: List<Change<BackendServer>>, until: Long) {
        changes.forEach { entries.remove(it.key) }
        peerEnd = maxOf(peerEnd, until)
    }
}
