package io.greengageport.gateway.state

import io.greengageport.common.Clock
import io.greengageport.common.HostPort
import io.greengageport.common.RunnerId
import io.greengageport.common.ServiceName
import io.greengageport.gateway.logging.DecisionLog
import io.greengageport.gateway.model.BackendServer
import io.greengageport.gateway.port.Change
import io.greengageport.gateway.port.EpochNumber

/**
 * The backend servers known from the store's list.
 *
 * A server is leaving when its entry says so or when one of its answers does. It stays leaving
 * until it restarts, even if the store lists it as ready: an answer may precede the entry, and a
 * store that was restored from an older copy has the entry from before.
 *
 * Entries that expired during an outage of the store, or that are missing in the copy from which it
 * was restored, reappear within about two seconds of its recovery. A removal that is read during
 * that time therefore takes effect only after [GRACE_MILLIS], unless the server renewed its entry
 * so recently that it cannot have expired.
 *
 * A store that was restored from an older copy lists servers as they were before. An entry that may
 * be older than what is known, also of a server that was gone, shows only that the server is
 * listed. It takes effect if a snapshot still has it after [CONFIRMATION_MILLIS].
 */
public class BackendDirectory(private val clock: Clock, private val log: DecisionLog) :
    FeedConsumer<BackendServer> {
    private val servers = HashMap<RunnerId, BackendServer>()
    private val removeAtMillis = HashMap<RunnerId, Long>()

    /**
     * Position of the last change of each server. Changes received from peers may be newer than
     * this instance's own reads.
     */
    private val positions = HashMap<RunnerId, Long>()
    private var graceEndMillis = Long.MIN_VALUE

    /** Time after which each server's last renewal that this instance read was written. */
    private val renewedAfterMillis = HashMap<RunnerId, Long>()

    /** Whether the list was requested to check the removals that wait for [graceEndMillis]. */
    private var isRemovalCheckRequested = false

    /** The last snapshot covers all changes before this position, including removals. */
    private var snapshotEnd = 0L

    /** The start of each server that announced in its entry or in an answer that it is leaving. */
    private val leavingStarts = HashMap<RunnerId, LeavingStart>()

    /** Entries that are possibly older than what is known of their servers, by server. */
    private val unconfirmed = HashMap<RunnerId, UnconfirmedEntry>()

    private class UnconfirmedEntry(
        val entry: BackendServer,
        val epoch: Long,
        val dueAtMillis: Long,
        var isCheckRequested: Boolean = false
    )

    /** Servers that are gone, as they were last known, with the epoch of their removal. */
    private val gone = HashMap<RunnerId, GoneServer>()

    private class GoneServer(val server: BackendServer, val epoch: Long, val goneAtMillis: Long)

    private class LeavingStart(val startedAtMillis: Long, val announcedAtMillis: Long)

    /** Whether a snapshot of the store's list has been read. */
    public var isLoaded: Boolean = false
        private set

    /** Called after a server was added, changed or removed; `now` is null for a removed server. */
    public var onChanged: (RunnerId, previous: BackendServer?, now: BackendServer?) -> Unit =
        { _, _, _ -> }

    /** Position in the store's list of the last change of the server, or 0 if none is known. */
    public fun position(id: RunnerId): Long = positions[id] ?: 0

    /** All known servers, including leaving ones. */
    public val all: Collection<BackendServer> get() = servers.values

    /** The server with [id], or null if it is unknown. */
    public fun find(id: RunnerId): BackendServer? = servers[id]

    /** The server at [address] that started last, or null if there is none. */
    public fun findByAddress(address: HostPort): BackendServer? =
        servers.values.filter { it.address == address }.maxByOrNull { it.startedAtMillis }

    /** Servers of [service] that are not leaving. */
    public fun usableServers(service: ServiceName): List<BackendServer> =
        servers.values.filter { it.service == service && !it.isLeaving }

    override fun onSnapshot(entries: List<Change<BackendServer>>, end: Long) {
        val present = entries.filterIsInstance<Change.Put<BackendServer>>()
            .mapTo(HashSet()) { RunnerId(it.key) }
        val isRestored =
            isLoaded && EpochNumber.epochOf(end) > EpochNumber.epochOf(snapshotEnd)
        snapshotEnd = end
        if (isRestored) {
            // The copy lacks renewals that were read, so entries can be missing soon after one.
            renewedAfterMillis.clear()
            startGracePeriod(clock.monotonicMillis())
        }
        // A snapshot may follow a loss of the store's history, after which positions restart.
        positions.clear()
        unconfirmed.keys.retainAll(present)
        for (id in servers.keys.toList()) if (id !in present) remove(id)
        for (change in entries) apply(change, isRestored)
        isLoaded = true
    }

    /**
     * Applies changes that a peer has read. Changes before the end of this instance's snapshot are
     * ignored because the snapshot already contains them; without a snapshot all changes are
     * ignored.
     */
    public fun onPeerChanges(changes: List<Change<BackendServer>>) {
        if (!isLoaded) return
        for (c in changes) if (c.position >= snapshotEnd) apply(c, isFromCopy = false)
    }

    /**
     * Marks the server with [id] as leaving for as long as its start time is [startedAtMillis]
     * (wall clock, in ms), because one of its answers said so.
     */
    public fun onLeaving(id: RunnerId, startedAtMillis: Long) {
        if (isLeavingStart(id, startedAtMillis)) return
        rememberLeaving(id, startedAtMillis)
        log.record("servers", "leaving", "id" to id, "started_at" to startedAtMillis)
        servers[id]?.let(::update)
    }

    override fun onChanges(changes: List<Change<BackendServer>>) {
        val writtenAfter = writtenAfterMillis()
        for (change in changes) {
            if (writtenAfter != null && change is Change.Put) {
                renewedAfterMillis[RunnerId(change.key)] = writtenAfter
            }
            apply(change, isFromCopy = false)
        }
    }

    /** Applies [change]; [isFromCopy] if it is of the first snapshot after a restore. */
    private fun apply(change: Change<BackendServer>, isFromCopy: Boolean) {
        val id = RunnerId(change.key)
        if (change.position < position(id)) return
        positions[id] = change.position
        when (change) {
            is Change.Put -> put(change.value, isFromCopy)

            is Change.Removed -> remove(id)

            is Change.Unreadable -> {
                log.record("servers", "unreadable", "id" to change.key, "why" to change.reason)
                remove(id)
            }
        }
    }

    /**
     * Called when entries that are possibly outdated have been listed for long enough, and shortly
     * before servers are removed whose entries were missing after an outage or a restore. A
     * snapshot shows what the list has; what peers report does not contain all changes of it.
     */
    public var onConfirmationDue: () -> Unit = {}

    /** Called when the store answers again after an outage. */
    public var onStoreRecovered: () -> Unit = {}

    /**
     * Whether the read of the list that [onConfirmationDue] requested has not been answered yet.
     * Until then no removal takes effect whose grace period is over.
     */
    public var isCheckPending: () -> Boolean = { false }

    /**
     * Called when the store answers again, for the time on the monotonic clock, in ms, at which an
     * outage ended in which entries of running servers may have expired; null if there was none.
     */
    public var outageEndMillis: () -> Long? = { clock.monotonicMillis() }

    /**
     * Time on the monotonic clock, in ms, after which the changes that are being read were written,
     * or null if it is unknown.
     */
    public var writtenAfterMillis: () -> Long? = { null }

    override fun onRecovered(downMillis: Long) {
        onStoreRecovered()
        outageEndMillis()?.let(::startGracePeriod)
    }

    /**
     * Defers removals until [GRACE_MILLIS] after [outageEndMillis], because entries of running
     * servers may have expired in that outage of the store.
     */
    public fun startGracePeriod(outageEndMillis: Long) {
        val now = clock.monotonicMillis()
        val endMillis = outageEndMillis + GRACE_MILLIS
        if (endMillis <= maxOf(now, graceEndMillis)) return
        graceEndMillis = endMillis
        removeAtMillis.replaceAll { _, _ -> endMillis }
        isRemovalCheckRequested = false
        log.record("servers", "grace_period", "ms" to endMillis - now)
    }

    /**
     * Removes servers whose grace period is over, and discards what is known of servers that left
     * or announced it long ago. Has to be called about every 500 ms.
     */
    public fun expire() {
        val now = clock.monotonicMillis()
        requestRemovalCheck(now)
        val due = removeAtMillis.filterValues { it <= now }.keys.toList()
        if (!isCheckPending()) due.forEach(::drop)
        requestDueConfirmation(now)
        leavingStarts.values.removeIf { now - it.announcedAtMillis > LEAVING_RETENTION_MILLIS }
        gone.values.removeIf { now - it.goneAtMillis > GONE_RETENTION_MILLIS }
    }

    private fun put(entry: BackendServer, isFromCopy: Boolean) {
        val previous = servers[entry.id]
        if (previous != null && entry.startedAtMillis < previous.startedAtMillis) {
            log.record("servers", "older_start_ignored", "id" to entry.id)
            return
        }
        if (entry.isLeaving) rememberLeaving(entry.id, entry.startedAtMillis)
        removeAtMillis.remove(entry.id)
        if (isDoubtful(entry, previous, isFromCopy) && !isConfirmed(entry)) {
            // The notice of a doubtful entry is true, since no server withdraws it.
            previous?.let(::update)
            return
        }
        unconfirmed.remove(entry.id)
        update(entry)
    }

    /** Whether [entry] may be older than what is known of its server. */
    private fun isDoubtful(
        entry: BackendServer,
        previous: BackendServer?,
        isFromCopy: Boolean
    ): Boolean {
        if (previous == null) return mayBeGone(entry)
        if (entry.hasSameContent(previous)) return false
        return entry.isOlderThan(previous) ?: (isFromCopy && !entry.isLeaving)
    }

    /**
     * Whether the server of [entry] was gone before the last restore and [entry] does not show that
     * it has returned since.
     */
    private fun mayBeGone(entry: BackendServer): Boolean {
        val last = gone[entry.id] ?: return false
        if (last.epoch == EpochNumber.epochOf(snapshotEnd)) return false
        return last.server.isOlderThan(entry) != true
    }

    /**
     * Whether the list has had the doubtful [entry] for [CONFIRMATION_MILLIS] in this epoch. If the
     * entry was not known as doubtful before, its time starts now.
     */
    private fun isConfirmed(entry: BackendServer): Boolean {
        val epoch = EpochNumber.epochOf(snapshotEnd)
        val now = clock.monotonicMillis()
        val known = unconfirmed[entry.id]
        if (known?.epoch == epoch && known.entry.hasSameContent(entry)) {
            return now >= known.dueAtMillis
        }
        unconfirmed[entry.id] = UnconfirmedEntry(entry, epoch, now + CONFIRMATION_MILLIS)
        log.record(
            "servers",
            "older_entry_deferred",
            "id" to entry.id,
            "sequence" to entry.sequence,
            "known" to (servers[entry.id] ?: gone[entry.id]?.server)?.sequence
        )
        return false
    }

    private fun update(entry: BackendServer) {
        val previous = servers[entry.id]
        val isLeaving = isLeavingStart(entry.id, entry.startedAtMillis)
        val server = if (isLeaving) entry.copy(isLeaving = true) else entry
        if (previous != null && previous.hasSameContent(server)) {
            // An older entry can have the content that is known from a newer one.
            if (server.isOlderThan(previous) == false) servers[server.id] = server
            return
        }
        servers[server.id] = server
        gone.remove(server.id)
        log.record(
            "servers",
            if (previous == null) "appeared" else "changed",
            "id" to server.id,
            "address" to server.address,
            "service" to server.service,
            "zone" to server.dataCentre,
            "card" to server.accelerator,
            "layers" to server.layers,
            "leaving" to server.isLeaving.takeIf { it },
            "started_at" to server.startedAtMillis
        )
        onChanged(server.id, previous, server)
    }

    /**
     * Has the list read shortly before servers are removed. Another instance may have read their
     * renewal, and it reports none that changes nothing.
     */
    private fun requestRemovalCheck(now: Long) {
        val isDue = removeAtMillis.values.any { it - now <= REMOVAL_CHECK_MILLIS }
        if (!isDue || isRemovalCheckRequested) return
        isRemovalCheckRequested = true
        onConfirmationDue()
    }

    private fun requestDueConfirmation(now: Long) {
        val due = unconfirmed.values.filter { !it.isCheckRequested && it.dueAtMillis <= now }
        if (due.isEmpty()) return
        due.forEach { it.isCheckRequested = true }
        onConfirmationDue()
    }

    private fun isLeavingStart(id: RunnerId, startedAtMillis: Long) =
        leavingStarts[id]?.startedAtMillis == startedAtMillis

    private fun rememberLeaving(id: RunnerId, startedAtMillis: Long) {
        leavingStarts[id] = LeavingStart(startedAtMillis, clock.monotonicMillis())
    }

    private fun remove(id: RunnerId) {
        unconfirmed.remove(id)
        val server = servers[id]
        if (server == null) {
            renewedAfterMillis.remove(id)
            gone[id]?.let { rememberGone(it.server) }
            return
        }
        if (!server.isLeaving && clock.monotonicMillis() < graceEndMillis && mayBeExpired(id)) {
            if (removeAtMillis.putIfAbsent(id, graceEndMillis) == null) {
                log.record("servers", "removal_deferred", "id" to id, "address" to server.address)
            }
            return
        }
        drop(id)
    }

    /** Whether the entry can be missing because its server did not renew it for too long. */
    private fun mayBeExpired(id: RunnerId): Boolean {
        val renewedAfter = renewedAfterMillis[id] ?: return true
        return clock.monotonicMillis() - renewedAfter >= EXPIRY_MILLIS
    }

    private fun drop(id: RunnerId) {
        removeAtMillis.remove(id)
        renewedAfterMillis.remove(id)
        val previous = servers.remove(id) ?: return
        rememberGone(previous)
        log.record("servers", "gone", "id" to id, "address" to previous.address)
        onChanged(id, previous, null)
    }

    private fun rememberGone(server: BackendServer) {
        gone[server.id] =
            GoneServer(server, EpochNumber.epochOf(snapshotEnd), clock.monotonicMillis())
    }

    private companion object {
        /**
         * Servers renew their entries every 1.2 s, and expired entries are guaranteed to reappear
         * within two seconds.
         */
        const val GRACE_MILLIS = 2_500L

        /** Time without a renewal after which the store removes an entry. */
        const val EXPIRY_MILLIS = 3_600L

        /** Longer than the interval between calls of [expire] and a read of the list together. */
        const val REMOVAL_CHECK_MILLIS = 700L

        /**
         * The store removes the entry of a silent server after 3.6 s, and entries that were lost
         * reappear within two seconds.
         */
        const val CONFIRMATION_MILLIS = 6_000L

        /**
         * A leaving server stops within a minute, but its entry may outlive it during an outage.
         */
        const val LEAVING_RETENTION_MILLIS = 3_600_000L

        /** Longer than the age of a copy and the outage before its restore. */
        const val GONE_RETENTION_MILLIS = 600_000L
    }
}
