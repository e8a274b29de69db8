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
 * the duty reads every time; the others read seldom while its reports say that its last read is
 * fresh, and as often as it does otherwise, so that neither its loss nor its being cut off from the
 * store delays them by more than [freshMillis].
 */
internal class ServerListRelay(
    private val clock: Clock,
    private val isReader: () -> Boolean,
    private val readMillis: Long,
    private val freshMillis: Long
) {
    private class Sent(val change: ServerChange, val untilMillis: Long)

    private val sent = LinkedHashMap<String, Sent>()
    private var lastOwnRead: Long? = null
    private var freshUntil = Long.MIN_VALUE

    /** Time until this instance's next read of the list. */
    val pauseMillis: Long get() = if (isSpared) SELDOM_MILLIS else readMillis

    /** Whether a peer's reads are fresh, so that this instance need not read often itself. */
    val isSpared: Boolean get() = !isReader() && clock.monotonicMillis() < freshUntil

    /** Whether changes wait to be told at once. */
    var hasNews: Boolean = false
        private set

    /**
     * Whether a read has to be reported at once. The reader reports each read: the load reports of
     * a large fleet come so seldom that the others would take its list for stale between them.
     */
    val isReportDue: Boolean get() = hasNews || isReader()

    /** This instance has read the list. */
    fun onOwnRead() {
        lastOwnRead = clock.monotonicMillis()
    }

    /** This instance's read showed a change of a server. */
    fun onOwnChange(id: RunnerId, server: BackendServer?, position: Long) {
        if (!isReader()) return
        sent[id.value] = Sent(
            ServerChange(id.value, position, server?.let(::entry)),
            clock.monotonicMillis() + TELL_MILLIS
        )
        hasNews = true
    }

    /** Age of the last read, if this instance has the duty to read. */
    fun readAgeMillis(): Long? =
        if (isReader()) lastOwnRead?.let { clock.monotonicMillis() - it } else null

    /** Changes to tell the peers now; each is told again for a while, as reports may be lost. */
    fun toTell(): List<ServerChange> {
        hasNews = false
        val now = clock.monotonicMillis()
        sent.values.removeIf { it.untilMillis < now }
        return sent.values.map { it.change }
    }

    /** Takes in a peer's report of its read, [ageMillis] old, and returns the changes in it. */
    fun onReport(ageMillis: Long?, changes: List<ServerChange>): List<Change<BackendServer>> {
        if (ageMillis != null) {
            freshUntil = maxOf(freshUntil, clock.monotonicMillis() + freshMillis - ageMillis)
        }
        return changes.mapNotNull { c ->
            val server = c.server
            if (server == null) {
                Change.Removed(c.id, c.position)
            } else {
                decode(c.id, server)?.let { Change.Put(c.id, it, c.position) }
            }
        }
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
        /** Reads of an instance that is told of changes; they find what reports may have missed. */
        const val SELDOM_MILLIS = 10_000L

        /** Some intervals of the reports, also in a large fleet. */
        const val TELL_MILLIS = 4_000L
    }
}
