package io.greengageport.gateway.peer

import io.greengageport.common.Clock
import io.greengageport.common.DataCentre
import io.greengageport.common.HostPort
import io.greengageport.common.InstanceId
import io.greengageport.common.LayerRange
import io.greengageport.common.RunnerId
import io.greengageport.common.ServiceName
import io.greengageport.gateway.model.BackendServer
import io.greengageport.gateway.port.Change
import io.greengageport.gateway.port.EpochNumber
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray

/**
 * A change of the list of servers as sent between instances; [server] is null if it was removed.
 */
@Serializable
@CborArray
internal class ServerChange(val id: String, val position: Long, val server: ServerEntry?)

/**
 * All changes of the list of servers from position [from] (inclusive) to [until] (exclusive). A
 * receiver that applies it does not read these positions any more, so no change may be missing.
 */
@Serializable
@CborArray
internal class ServerListDelta(val from: Long, val until: Long, val changes: List<ServerChange>)

/** How a [ServerListDelta] from a peer relates to the list that this instance knows. */
internal sealed interface DeltaOutcome {
    /**
     * The delta starts at or before this instance's position and extends beyond it; applying
     * [changes] advances the position to [until].
     */
    data class Applicable(val changes: List<Change<BackendServer>>, val until: Long) : DeltaOutcome

    /**
     * Earlier changes were missed, or the store was restored, so the list has to be read from the
     * store.
     */
    data object Gap : DeltaOutcome

    /**
     * There is nothing to apply: the peer reported no delta, the delta contains nothing new or is
     * of an earlier epoch, or this instance has not yet read a snapshot.
     */
    data object UpToDate : DeltaOutcome
}

/**
 * The entry of a server as sent between instances. Instances of an older version send no
 * [sequence], and cannot read reports with one.
 */
@Serializable
@CborArray
internal class ServerEntry(
    val service: String,
    val address: String,
    val dataCentre: String,
    val slots: Int,
    val isLeaving: Boolean,
    val startedAtMillis: Long,
    @SerialName("card")
    val accelerator: String?,
    val layers: LayerRange?,
    val modelVersion: Long?,
    val sequence: Long? = null
)

/**
 * Lets one instance read the store's list of servers often and relay the changes to the others.
 *
 * Each heartbeat of a server adds a record to the list, and each read is billed. The instance with
 * the reader duty reads every [readIntervalMillis] and sends the changes between two positions of
 * the list, also those of reads that it made before it had the duty. Changes are sent as they were
 * read, and each receiver decides when they take effect. The others read the list themselves when
 * such a delta leaves a gap, and also every [readIntervalMillis] once the reader's last read is no
 * longer fresh, that is, older than [freshnessMillis]. So neither the loss of the reader nor its
 * disconnection from the store delays them by more than [freshnessMillis]. Relays between data
 * centres forward the last delta that they received.
 */
internal class ServerListRelay(
    private val clock: Clock,
    private val isReader: () -> Boolean,
    private val readIntervalMillis: Long,
    private val freshnessMillis: Long,
    private val isRelay: () -> Boolean = { false }
) {
    private class Read(val delta: ServerListDelta, val atMillis: Long)

    /** This instance's reads that are still reported, oldest first. */
    private val reads = ArrayDeque<Read>()

    /** The entries that this instance's own reads showed. */
    private val listed = ListedServers()

    /** Changes of the directory for the delta of the next read as the reader, by server. */
    private val pendingChanges = LinkedHashMap<String, ServerChange>()

    private class LateChange(val change: ServerChange, val atMillis: Long)

    /**
     * Changes that took effect after their record was read, by server. The receivers have passed
     * the position of the record, so such a change is reported with the last position of each later
     * read: a receiver that has to read a part of the list itself does not find it there.
     */
    private val lateChanges = LinkedHashMap<String, LateChange>()

    /** The latest read received from a peer. */
    private var lastPeerRead: Read? = null

    /** The peer that sent [lastPeerRead]. */
    private var lastSender: InstanceId? = null

    /** Time on the monotonic clock, in ms, until which the reads of peers are fresh. */
    private var freshUntilMillis = Long.MIN_VALUE

    /** Time in ms between two reads of the list by this instance. */
    val pauseMillis: Long
        get() = if (hasFreshPeerRead) RELAYED_READ_INTERVAL_MILLIS else readIntervalMillis

    /** Whether a peer's reads are fresh, so that this instance can read rarely. */
    val hasFreshPeerRead: Boolean get() = !isReader() && clock.monotonicMillis() < freshUntilMillis

    /**
     * Whether the last read, own or received, has to be reported at once. The load reports of a
     * large fleet are so rare that the receivers would consider the list stale between them.
     */
    var isReportDue: Boolean = false
        private set

    /**
     * Records that this instance read [records] of the list, from [from] to before [until]; [from]
     * is null for a snapshot. The entries of a snapshot are not sent, because each instance reads a
     * snapshot of its own.
     */
    fun onOwnRead(from: Long?, until: Long, records: List<Change<BackendServer>> = emptyList()) {
        val now = clock.monotonicMillis()
        if (from == null || from != reads.lastOrNull()?.delta?.until) reads.clear()
        if (from == null) {
            pendingChanges.clear()
            listed.onSnapshot(records)
        } else {
            val changes = takeChanges(from, until, listed.onRead(records))
            reads += Read(ServerListDelta(from, until, changes), now)
        }
        while (reads.size > 1 && now - reads.first().atMillis > REPEAT_MILLIS) reads.removeFirst()
        isReportDue = isReader()
    }

    /**
     * Returns the changes of a read from [from] to before [until] with the [records] that change an
     * entry, and keeps the changes of the directory that took effect after the read that contained
     * their record, for instance a removal after a grace period.
     */
    private fun takeChanges(
        from: Long,
        until: Long,
        records: List<Change<BackendServer>>
    ): List<ServerChange> {
        val now = clock.monotonicMillis()
        lateChanges.values.removeIf { now - it.atMillis > REPEAT_MILLIS }
        val changes = LinkedHashMap<String, ServerChange>()
        for (c in pendingChanges.values) {
            if (c.position in from until until) changes[c.id] = c
            if (c.position < from) lateChanges[c.id] = LateChange(c, now)
        }
        pendingChanges.clear()
        for (r in records) {
            lateChanges.remove(r.key)
            val pending = changes[r.key]
            if (pending == null || pending.position < r.position) changes[r.key] = encode(r)
        }
        return changes.values.toList()
    }

    /**
     * Records a change of the directory, whether read by this instance or received from a peer;
     * [server] is null if it was removed. It is reported only if this instance is the reader.
     */
    fun onOwnChange(id: RunnerId, server: BackendServer?, position: Long) {
        lateChanges.remove(id.value)
        pendingChanges.remove(id.value)
        if (!isReader()) return
        pendingChanges[id.value] = ServerChange(id.value, position, server?.let(::encode))
    }

    /**
     * Records that a report of the last read was requested. The report may wait, but contains the
     * last read when it is sent, so it need not be requested again.
     */
    fun onReportRequested() {
        isReportDue = false
    }

    /** Age in ms of the read that [deltaToReport] returns, or null if it returns none. */
    fun readAgeMillis(): Long? = readToReport()?.let { clock.monotonicMillis() - it.atMillis }

    /**
     * The changes to include in the next report, or null if this instance reports none. Each change
     * is repeated for [REPEAT_MILLIS], because reports may be lost.
     */
    fun deltaToReport(): ServerListDelta? {
        isReportDue = false
        val last = readToReport() ?: return null
        if (!isReader()) return last.delta
        val until = last.delta.until
        val changes = ArrayDeque<ServerChange>()
        lateChanges.values.take(MAX_LATE_CHANGES)
            .mapTo(changes) { ServerChange(it.change.id, until - 1, it.change.server) }
        var from = until
        // An instance that lacks more changes than fit into a report reads the list itself.
        for (r in reads.reversed()) {
            if (changes.size + r.delta.changes.size > MAX_CHANGES) break
            changes.addAll(0, r.delta.changes)
            from = r.delta.from
        }
        return ServerListDelta(from, until, changes)
    }

    private fun readToReport(): Read? = when {
        isReader() -> reads.lastOrNull()
        isRelay() -> lastPeerRead?.takeIf { clock.monotonicMillis() - it.atMillis < REPEAT_MILLIS }
        else -> null
    }

    /**
     * Processes the [delta] that [sender] reports of a read that is [ageMillis] old; [position] is
     * the end of the list as known to this instance, or null before its first snapshot.
     */
    fun onReport(
        sender: InstanceId,
        ageMillis: Long?,
        delta: ServerListDelta?,
        position: Long?
    ): DeltaOutcome {
        if (ageMillis == null || delta == null || position == null) return DeltaOutcome.UpToDate
        // A read from the future would count as fresh for as long.
        if (ageMillis < 0) return DeltaOutcome.UpToDate
        val epoch = EpochNumber.epochOf(position)
        // The sender has not yet read the list of the restored store.
        if (EpochNumber.epochOf(delta.until) < epoch) return DeltaOutcome.UpToDate
        val readAtMillis = clock.monotonicMillis() - ageMillis
        val known = keepLatest(sender, Read(delta, readAtMillis))
        val isLaterEpoch = EpochNumber.epochOf(delta.until) > epoch
        if (isLaterEpoch || delta.from > position) return DeltaOutcome.Gap
        // A repeated or echoed report of a read must not make the list appear fresher.
        freshUntilMillis =
            maxOf(freshUntilMillis, minOf(readAtMillis, known.atMillis) + freshnessMillis)
        if (delta.until <= position) return DeltaOutcome.UpToDate
        // A change with a later position would hide the next changes of its server.
        val changes = delta.changes.filter { it.position in position until delta.until }
            .mapNotNull(::decodeChange)
        listed.onPeerChanges(changes, delta.until)
        return DeltaOutcome.Applicable(changes, delta.until)
    }

    /**
     * Keeps [read] to forward it if it is the latest, and returns the latest. A read without
     * changes counts too, since it shows that the list is fresh.
     */
    private fun keepLatest(sender: InstanceId, read: Read): Read {
        val last = lastPeerRead
        if (last != null && !isNewer(sender, read, last)) return last
        lastPeerRead = read
        lastSender = sender
        if (isRelay()) isReportDue = true
        return read
    }

    /**
     * Whether [read] is newer than [last].
     *
     * The time of a read is estimated at the arrival of its report, so with the same end, a report
     * that was long on its way looks like a newer read. Therefore half of the interval between
     * reads has to have passed, and a relay accepts newer reads with the same end only from the
     * peer that it got the first one from. That peer had the first one before, so these reads
     * cannot return to a relay that forwarded them, whatever the transit time.
     */
    private fun isNewer(sender: InstanceId, read: Read, last: Read): Boolean = when {
        read.delta.until != last.delta.until -> read.delta.until > last.delta.until
        isRelay() && sender != lastSender -> false
        else -> read.atMillis - last.atMillis >= readIntervalMillis / 2
    }

    private fun decodeChange(c: ServerChange): Change<BackendServer>? {
        val server = c.server ?: return Change.Removed(c.id, c.position)
        return decode(c.id, server)?.let { Change.Put(c.id, it, c.position) }
    }

    private fun encode(c: Change<BackendServer>) = when (c) {
        is Change.Put -> ServerChange(c.key, c.position, encode(c.value))
        is Change.Removed, is Change.Unreadable -> ServerChange(c.key, c.position, null)
    }

    private fun encode(s: BackendServer) = ServerEntry(
        service = s.service.value,
        address = s.address.toString(),
        dataCentre = s.dataCentre.value,
        slots = s.slots,
        isLeaving = s.isLeaving,
        startedAtMillis = s.startedAtMillis,
        accelerator = s.accelerator,
        layers = s.layers,
        modelVersion = s.modelVersion,
        sequence = s.sequence
    )

    private fun decode(id: String, e: ServerEntry): BackendServer? {
        val address = HostPort.parseOrNull(e.address) ?: return null
        return BackendServer(
            id = RunnerId(id),
            service = ServiceName(e.service),
            address = address,
            dataCentre = DataCentre(e.dataCentre),
            slots = e.slots,
            isLeaving = e.isLeaving,
            startedAtMillis = e.startedAtMillis,
            accelerator = e.accelerator,
            layers = e.layers,
            modelVersion = e.modelVersion,
            sequence = e.sequence
        )
    }

    private companion object {
        /**
         * Interval of an instance that receives all changes from a peer; its reads only verify
         * that.
         */
        const val RELAYED_READ_INTERVAL_MILLIS = 30_000L

        /** A change takes about 200 bytes; the limit keeps a report well within one datagram. */
        const val MAX_CHANGES = 64

        /** Leaves room for the changes of the last reads. */
        const val MAX_LATE_CHANGES = 32

        /** Spans several reports, even in a large fleet. */
        const val REPEAT_MILLIS = 4_000L
    }
}
