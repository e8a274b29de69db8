package io.greengageport.gateway.peer

import io.greengageport.common.Clock
import io.greengageport.common.DataCentre
import io.greengageport.common.HostPort
import io.greengageport.common.LayerRange
import io.greengageport.common.RunnerId
import io.greengageport.common.ServiceName
import io.greengageport.gateway.model.BackendServer
import io.greengageport.gateway.port.Change
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray

/** A change of the list of servers as one instance tells it to another; no server if it is gone. */
@Serializable
@CborArray
internal class ServerChange(val id: String, val position: Long, val server: ServerEntry?)

/** All changes of the list of servers from position [from] until before [until]. */
@Serializable
@CborArray
internal class ServerNews(val from: Long, val until: Long, val changes: List<ServerChange>)

/** What a peer's news of the list of servers mean to an instance. */
internal sealed interface NewsEnd {
    /** They go on from the own position: the list is now known until [until]. */
    data class Taken(val changes: List<Change<BackendServer>>, val until: Long) : NewsEnd

    /** Earlier ones were missed, so the list has to be read. */
    data object Missed : NewsEnd

    /** There are none that are not known yet. */
    data object Known : NewsEnd
}

/** The entry of a server between instances. */
@Serializable
@CborArray
internal class ServerEntry(
    val service: String,
    val address: String,
    val dataCentre: String,
    val slots: Int,
    val isLeaving: Boolean,
    val startedAtMillis: Long,
    val card: String?,
    val layers: LayerRange?,
    val modelVersion: Long?
)

/**
 * Lets one instance read the store's list of servers often and tell the others what changed.
 *
 * Each heartbeat of each server is a record of the list, and each read is priced. The instance with
 * the duty reads every time and tells what changed between two positions of the list. The others
 * read themselves where such news leave a gap to what they know, and as often as the reader does
 * once its last read is fresh no more, so that neither its loss nor its being cut off from the
 * store delays them by more than [freshMillis]. Relays pass on what they heard last.
 */
internal class ServerListRelay(
    private val clock: Clock,
    private val isReader: () -> Boolean,
    private val readMillis: Long,
    private val freshMillis: Long,
    private val isRelay: () -> Boolean = { false }
) {
    private class Read(val news: ServerNews, val atMillis: Long)

    private val reads = ArrayDeque<Read>()
    private val changed = LinkedHashMap<String, ServerChange>()
    private var heard: Read? = null
    private var freshUntil = Long.MIN_VALUE

    /** Time until this instance's next read of the list. */
    val pauseMillis: Long get() = if (isSpared) SELDOM_MILLIS else readMillis

    /** Whether a peer's reads are fresh, so that this instance need not read often itself. */
    val isSpared: Boolean get() = !isReader() && clock.monotonicMillis() < freshUntil

    /**
     * Whether what was read or heard last has to be told at once. The load reports of a large fleet
     * come so seldom that the others would take the list for stale between them.
     */
    var isReportDue: Boolean = false
        private set

    /**
     * This instance has read the list from [from] until before [until]; a snapshot has no [from].
     * What a snapshot shows as changed is not told: each instance reads one of its own.
     */
    fun onOwnRead(from: Long?, until: Long) {
        val now = clock.monotonicMillis()
        if (from == null || from != reads.lastOrNull()?.news?.until) reads.clear()
        if (from != null) reads += Read(ServerNews(from, until, changed.values.toList()), now)
        changed.clear()
        while (reads.size > 1 && now - reads.first().atMillis > TELL_MILLIS) reads.removeFirst()
        isReportDue = isReader()
    }

    /** An entry of the list changed for this instance, by its own read or by what it heard. */
    fun onOwnChange(id: RunnerId, server: BackendServer?, position: Long) {
        if (isReader()) {
            changed[id.value] = ServerChange(id.value, position, server?.let(::entry))
        }
    }

    /** Age of the read that [toTell] tells of. */
    fun readAgeMillis(): Long? = told()?.let { clock.monotonicMillis() - it.atMillis }

    /** News to tell the peers now. Each change is told for a while, as reports may be lost. */
    fun toTell(): ServerNews? {
        isReportDue = false
        val last = told() ?: return null
        if (!isReader()) return last.news
        val changes = ArrayDeque<ServerChange>()
        var from = last.news.until
        // Who lacks more than fits into a report reads the list itself.
        for (r in reads.reversed()) {
            if (changes.size + r.news.changes.size > MAX_CHANGES) break
            changes.addAll(0, r.news.changes)
            from = r.news.from
        }
        return ServerNews(from, last.news.until, changes)
    }

    private fun told(): Read? = when {
        isReader() -> reads.lastOrNull()
        isRelay() -> heard?.takeIf { clock.monotonicMillis() - it.atMillis < TELL_MILLIS }
        else -> null
    }

    /**
     * Takes in a peer's [news] of a read that is [ageMillis] old, while this instance knows the
     * list until [position], or not at all.
     */
    fun onReport(ageMillis: Long?, news: ServerNews?, position: Long?): NewsEnd {
        if (ageMillis == null || news == null || position == null) return NewsEnd.Known
        val readAt = clock.monotonicMillis() - ageMillis
        hear(news, readAt)
        if (news.from > position) return NewsEnd.Missed
        freshUntil = maxOf(freshUntil, readAt + freshMillis)
        if (news.until <= position) return NewsEnd.Known
        return NewsEnd.Taken(
            news.changes.filter {
                it.position >= position
            }.mapNotNull(::change),
            news.until
        )
    }

    /** Keeps the latest read to pass it on; one that found nothing new shows the list as fresh. */
    private fun hear(news: ServerNews, readAtMillis: Long) {
        val last = heard
        val isNewer = last == null || news.until > last.news.until ||
            (
                news.until == last.news.until &&
                    readAtMillis - last.atMillis >= SAME_READ_MILLIS
                )
        if (!isNewer) return
        heard = Read(news, readAtMillis)
        if (isRelay()) isReportDue = true
    }

    private fun change(c: ServerChange): Change<BackendServer>? {
        val server = c.server ?: return Change.Removed(c.id, c.position)
        return decode(c.id, server)?.let { Change.Put(c.id, it, c.position) }
    }

    private fun entry(s: BackendServer) = ServerEntry(
        service = s.service.value,
        address = s.address.toString(),
        dataCentre = s.dataCentre.value,
        slots = s.slots,
        isLeaving = s.isLeaving,
        startedAtMillis = s.startedAtMillis,
        card = s.card,
        layers = s.layers,
        modelVersion = s.modelVersion
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
            card = e.card,
            layers = e.layers,
            modelVersion = e.modelVersion
        )
    }

    private companion object {
        /** Reads of an instance that is told of all changes; they only show that it is. */
        const val SELDOM_MILLIS = 30_000L

        /** Reports of one read differ in its age by the time on their ways. */
        const val SAME_READ_MILLIS = 200L

        /** Some 200 B each; a report stays well within one datagram. */
        const val MAX_CHANGES = 64

        /** Some intervals of the reports, also in a large fleet. */
        const val TELL_MILLIS = 4_000L
    }
}
