package io.greengageport.gateway.placement

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import io.greengageport.common.Clock
import io.greengageport.common.LayerRange
import io.greengageport.common.RunnerId
import io.greengageport.gateway.http.HttpCaller
import io.greengageport.gateway.http.HttpConnector
import io.greengageport.gateway.logging.DecisionLog
import io.greengageport.gateway.model.BackendServer
import io.greengageport.gateway.model.Configuration
import io.greengageport.gateway.model.Service
import io.greengageport.gateway.port.BackendProtocol
import io.greengageport.gateway.port.BackendReport
import io.greengageport.gateway.state.BackendDirectory
import io.greengageport.gateway.state.DutyKeeper
import io.greengageport.routing.CardHolder
import io.greengageport.routing.CopyPlacement
import io.greengageport.routing.EngineProfile
import io.greengageport.routing.LayerAssignment
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

/**
 * Orders engines to hold layers, while this instance has the duty.
 *
 * An order is valid only in the state that the engine's report showed, so one that is carried out
 * late, after a newer one, has no effect. An engine counts as holding what it was ordered until it
 * registers that, or until [PENDING_MILLIS] have passed; then it is asked and ordered again.
 */
internal class LayerPlacer(
    private val configuration: () -> Configuration?,
    private val directory: BackendDirectory,
    private val duty: DutyKeeper,
    private val connector: HttpConnector,
    private val protocol: BackendProtocol,
    private val lost: () -> Set<RunnerId>,
    private val log: DecisionLog,
    private val clock: Clock
) {
    private class Pending(val layers: LayerRange, val startedAtMillis: Long, val untilMillis: Long)

    private val pending = HashMap<RunnerId, Pending>()
    private var seen = emptySet<RunnerId>()
    private var changedAt = Long.MIN_VALUE
    private val divisions = DivisionPacer(clock)

    /** Places layers until cancelled. */
    suspend fun run() {
        while (true) {
            delay(PAUSE_MILLIS)
            val token = duty.placementToken()
            if (token == null) {
                pending.clear()
                continue
            }
            val services = configuration()?.services?.values ?: continue
            for (s in services) s.engine?.let { place(s, it, token) }
        }
    }

    private suspend fun place(service: Service, engine: EngineProfile, token: Long) {
        val servers = directory.usable(service.name)
        val holders = servers.mapNotNull { holder(it, engine) }
        if (!isSettled(holders)) return
        val room = MIN_REQUESTS * (engine.usualPromptTokens + engine.usualAnswerTokens)
        // The store lists a crashed engine for some seconds; others should take its place at once.
        val out = lost()
        val usable = holders.filter { it.id !in out }
        val plan = divisions.paced(
            plan = CopyPlacement(engine, room.toDouble()).plan(usable),
            isServed = isServed(usable, engine),
            centreOf = { directory.find(it)?.dataCentre },
            isOpen = { centre -> pending.keys.any { directory.find(it)?.dataCentre == centre } }
        )
        if (plan.isEmpty()) return
        coroutineScope {
            for (a in plan) order(this, a, token)
        }
    }

    private fun holder(server: BackendServer, engine: EngineProfile): CardHolder? {
        val card = engine.cards[server.card] ?: return null
        val p = pending[server.id]
        val isOpen = p != null && p.startedAtMillis == server.startedAtMillis &&
            p.layers != server.layers && clock.monotonicMillis() < p.untilMillis
        if (!isOpen) pending.remove(server.id)
        val layers = if (isOpen) p?.layers else server.layers
        return CardHolder(server.id, server.dataCentre, card, layers)
    }

    /** Whether half of the data centres or more have engines for all layers. */
    private fun isServed(holders: List<CardHolder>, engine: EngineProfile): Boolean {
        val centres = holders.groupBy { it.dataCentre }.values
        val whole = centres.count { group ->
            (0 until engine.layers).all { layer ->
                group.any { h -> h.layers?.let { layer in it.from until it.until } == true }
            }
        }
        return 2 * whole >= centres.size
    }

    /**
     * While nothing is placed, waits until the list of engines has stopped growing, since copies
     * that are planned with a part of the engines cross data centres needlessly.
     */
    private fun isSettled(holders: List<CardHolder>): Boolean {
        if (holders.any { it.layers != null }) return true
        val ids = holders.mapTo(HashSet()) { it.id }
        if (ids != seen) {
            seen = ids
            changedAt = clock.monotonicMillis()
        }
        return ids.isNotEmpty() && clock.monotonicMillis() - changedAt >= SETTLE_MILLIS
    }

    private fun order(scope: CoroutineScope, assignment: LayerAssignment, token: Long) {
        val server = directory.find(assignment.id) ?: return
        pending[server.id] = Pending(
            assignment.layers,
            server.startedAtMillis,
            clock.monotonicMillis() + PENDING_MILLIS
        )
        scope.launch {
            val result = send(server, assignment, token)
            log.record(
                "placement",
                "ordered",
                "server" to server.id,
                "address" to server.address,
                "held" to server.layers,
                "layers" to assignment.layers,
                "reason" to assignment.reason,
                "token" to token,
                "result" to result
            )
        }
    }

    private suspend fun send(
        server: BackendServer,
        assignment: LayerAssignment,
        token: Long
    ): String {
        val caller = HttpCaller(connector, server.address)
        try {
            val reply = caller.call(protocol.reportRequest(), CALL_MILLIS)
                .getOrElse { return "no_report($it)" }
            val report = protocol.readReport(reply) ?: return "unreadable_report"
            if (isOtherStart(server, report)) return "restarted"
            if (report.isBusy) return "busy"
            if (report.layers == assignment.layers) return "holds_already"
            if (duty.placementToken() != token) return "duty_lost"
            val order =
                protocol.placementOrder(assignment.layers, token, report.acceptedOrders)
            return caller.call(order, CALL_MILLIS).fold(
                { status(it.status, token) },
                { "no_answer($it)" }
            )
        } finally {
            caller.closeIdle()
        }
    }

    private fun isOtherStart(server: BackendServer, report: BackendReport) =
        report.startedAtMillis != null && report.startedAtMillis != server.startedAtMillis

    private fun status(status: Int, token: Long): String = when (status) {
        ACCEPTED -> "accepted"

        HOLDS -> "done"

        OTHER_STATE -> "other_state"

        FENCED -> {
            duty.onFenced(token)
            "fenced"
        }

        else -> "status_$status"
    }

    private companion object {
        const val PAUSE_MILLIS = 300L

        /** Engines register within some seconds; the list is read about each second. */
        const val SETTLE_MILLIS = 3_000L

        /** Loading takes some seconds, and the engine's entry is renewed about each second. */
        const val PENDING_MILLIS = 6_000L
        const val CALL_MILLIS = 1_000L

        /** Requests for which a copy has to have memory to be worth its weights. */
        const val MIN_REQUESTS = 30
        const val ACCEPTED = 202
        const val HOLDS = 200
        const val OTHER_STATE = 409
        const val FENCED = 412
    }
}
