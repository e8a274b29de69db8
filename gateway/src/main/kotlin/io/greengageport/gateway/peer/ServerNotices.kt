package io.greengageport.gateway.peer

import io.greengageport.common.Clock
import io.greengageport.common.RunnerId
import io.greengageport.gateway.logging.DecisionLog
import io.greengageport.gateway.model.BackendServer
import io.greengageport.gateway.state.BackendDirectory
import io.greengageport.gateway.state.ServerPauses

/**
 * What servers stated about themselves in responses through tunnels, to be reported to peers.
 *
 * Such a server has seen the address of the peer that served the tunnel, so its statement concerns
 * that peer too, which does not read the response. [onNew] is called when there is something new to
 * report. A relay passes on what other instances report.
 */
internal class ServerNotices(
    private val directory: BackendDirectory,
    private val pauses: ServerPauses,
    private val isRelay: () -> Boolean,
    private val clock: Clock,
    private val log: DecisionLog,
    private val onNew: () -> Unit
) {
    private class Recorded(
        val startedAtMillis: Long,
        val isLeaving: Boolean,
        val pauseEndMillis: Long,
        val atMillis: Long
    )

    private val recorded = HashMap<RunnerId, Recorded>()

    /** Records that [server] stated that it is leaving, or wants a pause of [pauseMillis]. */
    fun record(server: BackendServer, isLeaving: Boolean, pauseMillis: Long?) {
        if (!isLeaving && pauseMillis == null) return
        val now = clock.monotonicMillis()
        val endMillis = now + (pauseMillis ?: 0)
        val last = recorded[server.id]?.takeIf { it.startedAtMillis == server.startedAtMillis }
        val isNew = last == null || now - last.atMillis > REPORTED_MILLIS ||
            (isLeaving && !last.isLeaving) ||
            endMillis - last.pauseEndMillis > TOLERANCE_MILLIS
        if (!isNew) return
        recorded[server.id] = Recorded(
            server.startedAtMillis,
            isLeaving || last?.isLeaving == true,
            maxOf(endMillis, last?.pauseEndMillis ?: endMillis),
            now
        )
        onNew()
    }

    /** The notices of the last [REPORTED_MILLIS], with what is left of the pauses. */
    fun toReport(): List<ServerNotice> {
        if (recorded.isEmpty()) return emptyList()
        val now = clock.monotonicMillis()
        recorded.values.removeIf { now - it.atMillis > REPORTED_MILLIS }
        return recorded.entries.sortedByDescending { it.value.atMillis }.take(MAX_REPORTED)
            .map { (id, n) ->
                val leftMillis = (n.pauseEndMillis - now).takeIf { it > 0 }
                ServerNotice(id.value, n.startedAtMillis, n.isLeaving, leftMillis)
            }
    }

    /** Applies the notices in the report of the peer [from]. */
    fun onPeerNotices(from: String, notices: List<ServerNotice>) {
        for (notice in notices) {
            val server = directory.find(RunnerId(notice.server)) ?: continue
            // The server has restarted since, or this instance knows an earlier start of it.
            if (server.startedAtMillis != notice.startedAtMillis) continue
            val pauseMillis = notice.pauseMillis?.coerceAtMost(MAX_PAUSE_MILLIS)
            val isLeavingNew = notice.isLeaving && !server.isLeaving
            val isPauseNew = pauseMillis != null && isLongerPause(server.id, pauseMillis)
            if (!isLeavingNew && !isPauseNew) continue
            log.record("servers", "notice_of_peer", "id" to server.id, "from" to from)
            if (isLeavingNew) directory.onLeaving(server.id, server.startedAtMillis)
            if (isPauseNew) pauses.onPause(server.id, checkNotNull(pauseMillis))
            if (isRelay()) record(server, notice.isLeaving, pauseMillis)
        }
    }

    /** Whether a pause ends later than the known one by more than the delay of a report. */
    private fun isLongerPause(server: RunnerId, millis: Long): Boolean {
        val leftMillis = pauses.millisUntilFirstEnd(listOf(server)) ?: 0
        return millis - leftMillis > TOLERANCE_MILLIS
    }

    private companion object {
        /** Several reports, since single ones are lost. */
        const val REPORTED_MILLIS = 3_000L

        /** The same pause seems to end later with each report, by the delay of that report. */
        const val TOLERANCE_MILLIS = 100L

        /** Servers ask for some seconds. */
        const val MAX_PAUSE_MILLIS = 60_000L

        /** Keeps a report small while all servers of a large fleet leave together. */
        const val MAX_REPORTED = 64
    }
}
