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
 * Keeps requests that crash backend servers from more of them, together with the peers.
 *
 * Evidence of a crash is a lost connection that is followed by a refused one or by a new start of
 * the server. Marks travel with the reports to the peers, again and again for [TELL_MILLIS], as a
 * report may be lost.
 */
internal class CrashSuspects(private val clock: Clock, private val log: DecisionLog) {
    private class Told(val state: SuspectState, val untilMillis: Long)

    private val suspects = SuspectRequests(clock)
    private val told = LinkedHashMap<Fingerprint, Told>()

    /** Whether the request may run, alone among suspects or not at all. */
    fun verdict(fingerprint: Fingerprint): SuspectVerdict = suspects.verdict(fingerprint)

    /** Servers on which a marked request runs. */
    fun markedBusy(): Set<RunnerId> = suspects.markedBusy()

    /** Registers an attempt on [servers]; false if it may not run there. */
    fun tryStart(
        request: RequestId,
        fingerprint: Fingerprint,
        servers: List<RunnerId>,
        events: () -> Int
    ): Boolean = suspects.tryStart(request, fingerprint, servers, events)

    /** The answer of [request] has reached [events] events. */
    fun progressed(request: RequestId, events: Int) {
        suspects.progressed(request, events)
    }

    /** The answer is complete, which clears the request. */
    fun completed(request: RequestId) {
        suspects.completed(request)?.let(::tell)
    }

    /** The attempt ended without a whole answer. */
    fun ended(request: RequestId): Unit = suspects.ended(request)

    /** A connection to [server] was lost, or a chain waits for it. */
    fun lost(server: RunnerId): Unit = suspects.connectionLost(server)

    /** [server] accepts no connection. */
    fun refused(server: RunnerId): Unit = suspects.connectionRefused(server).forEach(::tell)

    /** Takes in what the store's list says of a server. */
    fun onServer(id: RunnerId, now: BackendServer?) {
        when {
            now == null -> suspects.forget(id)

            now.isLeaving -> suspects.leaving(id)

            else -> suspects.bootId(id, now.startedAtMillis.toString(), clock.wallMillis())
                .forEach(::tell)
        }
    }

    /** Takes in a mark of a peer. */
    fun onPeer(state: SuspectState) {
        suspects.merge(state)?.let(::tell)
    }

    /** Marks to tell the peers now. */
    fun toTell(): List<SuspectState> {
        val now = clock.monotonicMillis()
        told.values.removeIf { it.untilMillis < now }
        return told.values.map { it.state }.takeLast(MAX_TOLD)
    }

    /** Drops what says nothing any more; to be called now and then. */
    fun expire() {
        suspects.expire()
    }

    private fun tell(state: SuspectState) {
        told.remove(state.fingerprint)
        told[state.fingerprint] = Told(state, clock.monotonicMillis() + TELL_MILLIS)
        log.record(
            "suspects",
            "state",
            "fingerprint" to state.fingerprint,
            "verdict" to suspects.verdict(state.fingerprint),
            "crashed" to state.marks.joinToString(",") { it.runner.value }.ifEmpty { null }
        )
    }

    private companion object {
        /** Some intervals of the reports to peers. */
        const val TELL_MILLIS = 3_000L

        /** A mark takes some 60 B; a report stays within one datagram on usual links. */
        const val MAX_TOLD = 8
    }
}
