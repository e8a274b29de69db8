package io.greengageport.gateway.state

import io.greengageport.common.Clock
import io.greengageport.common.RequestId
import io.greengageport.common.RunnerId
import io.greengageport.gateway.logging.DecisionLog
import io.greengageport.gateway.model.BackendServer
import io.greengageport.routing.Fingerprint
import io.greengageport.routing.SuspectRequests
import io.greengageport.routing.SuspectState
import io.greengageport.routing.SuspectVerdict

/**
 * Limits the damage of requests that crash backend servers, in cooperation with the peers.
 *
 * A crash is inferred from a lost connection that is followed by a refused one or by a restart of
 * the server. The resulting marks are sent with the reports to peers, repeatedly for
 * [REPEAT_MILLIS], because a report may be lost.
 */
internal class CrashSuspects(private val clock: Clock, private val log: DecisionLog) {
    private class Announcement(val state: SuspectState, val untilMillis: Long)

    private val suspects = SuspectRequests(clock)
    private val announcements = LinkedHashMap<Fingerprint, Announcement>()

    /**
     * Whether the request can run without restriction, only apart from other suspects, or not at
     * all.
     */
    fun verdict(fingerprint: Fingerprint): SuspectVerdict = suspects.verdict(fingerprint)

    /** Servers that are running a marked request. */
    fun runnersWithMarkedRequests(): Set<RunnerId> = suspects.runnersWithMarkedRequests()

    /**
     * Registers an attempt of [request] on [servers]; returns false if it must not run there.
     * [events] returns the number of events of the answer so far.
     */
    fun tryStart(
        request: RequestId,
        fingerprint: Fingerprint,
        servers: List<RunnerId>,
        events: () -> Int
    ): Boolean = suspects.tryStart(request, fingerprint, servers, events)

    /** Records that the answer to [request] has reached [events] events. */
    fun recordProgress(request: RequestId, events: Int) {
        suspects.recordProgress(request, events)
    }

    /** Records that the answer to [request] is complete, which clears the request. */
    fun recordCompletion(request: RequestId) {
        suspects.recordCompletion(request)?.let(::announce)
    }

    /** Records that the attempt ended without a complete answer. */
    fun recordEnd(request: RequestId): Unit = suspects.recordEnd(request)

    /** Records that a connection to [server] was lost, or that a chain stalls on it. */
    fun recordLostConnection(server: RunnerId): Unit = suspects.recordLostConnection(server)

    /** Records that [server] accepts no connection. */
    fun recordRefusedConnection(server: RunnerId): Unit =
        suspects.recordRefusedConnection(server).forEach(::announce)

    /**
     * Applies a change of a server in the store's list; [now] is null if the server was removed.
     */
    fun onServerChanged(id: RunnerId, now: BackendServer?) {
        when {
            now == null -> suspects.forget(id)

            now.isLeaving -> suspects.recordLeaving(id)

            else -> suspects.recordBootId(id, now.startedAtMillis.toString(), clock.wallMillis())
                .forEach(::announce)
        }
    }

    /** Merges a mark that a peer reported. */
    fun mergePeerState(state: SuspectState) {
        suspects.merge(state)?.let(::announce)
    }

    /** Marks to include in the next report to the peers; the latest [MAX_ANNOUNCED] of them. */
    fun statesToReport(): List<SuspectState> {
        val now = clock.monotonicMillis()
        announcements.values.removeIf { it.untilMillis < now }
        return announcements.values.map { it.state }.takeLast(MAX_ANNOUNCED)
    }

    /** Discards outdated evidence; called periodically. */
    fun expire() {
        suspects.expire()
    }

    private fun announce(state: SuspectState) {
        announcements.remove(state.fingerprint)
        announcements[state.fingerprint] =
            Announcement(state, clock.monotonicMillis() + REPEAT_MILLIS)
        log.record(
            "suspects",
            "state",
            "fingerprint" to state.fingerprint,
            "verdict" to suspects.verdict(state.fingerprint),
            "crashed" to state.marks.joinToString(",") { it.runner.value }.ifEmpty { null }
        )
    }

    private companion object {
        /** A multiple of the interval between reports to peers. */
        const val REPEAT_MILLIS = 3_000L

        /**
         * A mark takes about 60 bytes; the limit keeps a report within one datagram on common
         * links.
         */
        const val MAX_ANNOUNCED = 8
    }
}
