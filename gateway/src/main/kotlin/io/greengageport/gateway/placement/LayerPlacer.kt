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
import io.greengageport.gateway.port.EpochNumber
import io.greengageport.gateway.state.BackendDirectory
import io.greengageport.gateway.state.DutyLease
import io.greengageport.routing.CopyPlacement
import io.greengageport.routing.EngineProfile
import io.greengageport.routing.LayerAssignment
import io.greengageport.routing.PlaceableEngine
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

/**
 * Orders engines to load layers while this instance holds the placement duty.
 *
 * An order is valid only in the state that the engine's report showed, so an order that arrives
 * after a newer one has no effect. An engine is assumed to hold the layers that it was ordered to
 * load until it registers them or [PENDING_MILLIS] have passed; then its report is requested and it
 * is ordered again.
 *
 * An instance without a path to servers sends no order, also none that it planned before. What it
 * ordered or was reported in an earlier term of the duty is not used in a later one.
 *
 * [findUnreachable] returns servers that were found unreachable by an instance that had a path. An
 * observation that may be due to this instance's own network must not be among them: layers of a
 * sound engine would be taken from another one.
 */
internal class LayerPlacer(
    private val configuration: () -> Configuration?,
    private val directory: BackendDirectory,
    private val dutyLease: DutyLease,
    private val connector: HttpConnector,
    private val protocol: BackendProtocol,
    private val findUnreachable: () -> Set<RunnerId>,
    private val isCutOff: () -> Boolean,
    private val log: DecisionLog,
    private val clock: Clock
) {
    /**
     * The [layers] that an engine of the given start was ordered to load, or that its report showed
     * while its entry was older.
     */
    private class Pending(val layers: LayerRange?, val startedAtMillis: Long, val untilMillis: Long)

    private val pending = HashMap<RunnerId, Pending>()

    /** The term of the placement duty to which [pending] belongs. */
    private var pendingTerm = 0
    private var seenEngines = emptySet<RunnerId>()
    private var enginesChangedAtMillis = Long.MIN_VALUE
    private val redivisionPacer = RedivisionPacer(clock)

    /** Places layers until cancelled. */
    suspend fun run() {
        while (true) {
            delay(PLACEMENT_INTERVAL_MILLIS)
            val token = currentToken()
            // The duty may have been lost and acquired again while orders were being sent.
            if (token == null || dutyLease.placementTerm != pendingTerm) {
                pending.clear()
                redivisionPacer.reset()
            }
            pendingTerm = dutyLease.placementTerm
            val services = configuration()?.services?.values ?: continue
            for (s in services) s.engine?.let { placeIfSettled(s, it, token) }
        }
    }

    /** The token under which orders can be sent now, or null if this instance must send none. */
    private fun currentToken(): Long? = if (isCutOff()) null else dutyLease.placementToken()

    /**
     * Places the layers of [service] if its engines are settled. Without a [token] the list is only
     * observed, so that a new holder need not observe it again.
     */
    private suspend fun placeIfSettled(service: Service, engine: EngineProfile, token: Long?) {
        val servers = directory.usableServers(service.name)
        val placeableEngines = servers.mapNotNull { placeableEngine(it, engine) }
        if (isSettled(placeableEngines) && token != null) place(placeableEngines, engine, token)
    }

    /** Plans the layers of [placeableEngines] and sends the orders that the plan needs now. */
    private suspend fun place(
        placeableEngines: List<PlaceableEngine>,
        engine: EngineProfile,
        token: Long
    ) {
        val minTokens =
            MIN_REQUESTS_PER_COPY * (engine.typicalPromptTokens + engine.typicalAnswerTokens)
        // The store lists a crashed engine for some seconds; excluding it lets others replace it at
        // once.
        val unreachable = findUnreachable()
        val usable = placeableEngines.filter { it.id !in unreachable }
        val plan = redivisionPacer.admit(
            plan = CopyPlacement(engine, minTokens.toDouble()).plan(usable),
            hasEnoughCopies = hasEnoughCopies(usable, engine),
            dataCentreOf = { directory.find(it)?.dataCentre },
            hasPendingOrders = { centre ->
                pending.keys.any { directory.find(it)?.dataCentre == centre }
            }
        )
        if (plan.isEmpty()) return
        coroutineScope {
            for (a in plan) order(this, a, token, unreachable)
        }
    }

    /**
     * Returns the engine with the layers that it holds or is expected to load; null if its
     * accelerator is unknown.
     */
    private fun placeableEngine(server: BackendServer, engine: EngineProfile): PlaceableEngine? {
        val accelerator = engine.accelerators[server.accelerator] ?: return null
        val expected = pending[server.id]
        val isPending =
            expected != null && expected.startedAtMillis == server.startedAtMillis &&
                expected.layers != server.layers && clock.monotonicMillis() < expected.untilMillis
        if (!isPending) pending.remove(server.id)
        val layers = if (isPending) expected.layers else server.layers
        return PlaceableEngine(server.id, server.dataCentre, accelerator, layers)
    }

    /** Whether at least half of the data centres have engines for all layers. */
    private fun hasEnoughCopies(
        placeableEngines: List<PlaceableEngine>,
        engine: EngineProfile
    ): Boolean {
        val centres = placeableEngines.groupBy { it.dataCentre }.values
        val completeCopies = centres.count { group ->
            (0 until engine.layers).all { layer ->
                group.any { e -> e.layers?.let { layer in it.from until it.until } == true }
            }
        }
        return 2 * completeCopies >= centres.size
    }

    /**
     * Whether layers can be placed now. Before anything is placed, the list of engines has to have
     * been unchanged for [SETTLE_DELAY_MILLIS]: copies that are planned with only some of the
     * engines needlessly span data centres.
     */
    private fun isSettled(placeableEngines: List<PlaceableEngine>): Boolean {
        if (placeableEngines.any { it.layers != null }) return true
        val ids = placeableEngines.mapTo(HashSet()) { it.id }
        if (ids != seenEngines) {
            seenEngines = ids
            enginesChangedAtMillis = clock.monotonicMillis()
        }
        return ids.isNotEmpty() &&
            clock.monotonicMillis() - enginesChangedAtMillis >= SETTLE_DELAY_MILLIS
    }

    /**
     * Launches the order in [scope] and assumes from now on that the engine carries it out. It was
     * planned without the [unreachable] servers.
     */
    private fun order(
        scope: CoroutineScope,
        assignment: LayerAssignment,
        token: Long,
        unreachable: Set<RunnerId>
    ) {
        val server = directory.find(assignment.id) ?: return
        val plannedWith = pending[server.id].let { if (it == null) server.layers else it.layers }
        pending[server.id] = Pending(
            assignment.layers,
            server.startedAtMillis,
            clock.monotonicMillis() + PENDING_MILLIS
        )
        scope.launch {
            val result = send(server, plannedWith, assignment, token, unreachable)
            log.record(
                "placement",
                "ordered",
                "server" to server.id,
                "address" to server.address,
                "held" to server.layers,
                "layers" to assignment.layers,
                "reason" to assignment.reason,
                "token" to EpochNumber.describe(token),
                "result" to result
            )
        }
    }

    /**
     * Sends the order if the engine's report allows it; returns the result for the log. If the
     * engine holds other layers than those with which it was planned, its entry is out of date and
     * the order might make it drop layers, so the next plan uses the report instead.
     */
    private suspend fun send(
        server: BackendServer,
        plannedWith: LayerRange?,
        assignment: LayerAssignment,
        token: Long,
        unreachable: Set<RunnerId>
    ): String {
        val caller = HttpCaller(connector, server.address)
        try {
            if (currentToken() != token) return "duty_lost"
            val reply = caller.call(protocol.reportRequest(), CALL_TIMEOUT_MILLIS)
                .getOrElse { return "no_report($it)" }
            val report = protocol.parseReport(reply) ?: return "unreadable_report"
            if (hasRestarted(server, report)) return "restarted"
            if (report.isBusy) return "busy"
            if (report.layers == assignment.layers) return "holds_already"
            if (report.layers != plannedWith) {
                pending[server.id] = Pending(
                    report.layers,
                    server.startedAtMillis,
                    clock.monotonicMillis() + ENTRY_DELAY_MILLIS
                )
                return "holds_other(${report.layers})"
            }
            if (currentToken() != token) return "duty_lost"
            if (!findUnreachable().containsAll(unreachable)) {
                // A server that was to be replaced has been reached, or the observation withdrawn.
                pending.remove(server.id)
                return "plan_outdated"
            }
            val order =
                protocol.placementOrder(assignment.layers, token, report.acceptedOrders)
            return caller.call(order, CALL_TIMEOUT_MILLIS).fold(
                { handleStatus(it.status, token) },
                { "no_answer($it)" }
            )
        } finally {
            caller.closeIdle()
        }
    }

    private fun hasRestarted(server: BackendServer, report: BackendReport) =
        report.startedAtMillis != null && report.startedAtMillis != server.startedAtMillis

    /**
     * Returns the result of an order for the log; records in [dutyLease] that an engine rejected
     * [token].
     */
    private fun handleStatus(status: Int, token: Long): String = when (status) {
        ACCEPTED -> "accepted"

        ALREADY_HELD -> "done"

        STATE_CONFLICT -> "other_state"

        FENCED -> {
            dutyLease.onFenced(token)
            "fenced"
        }

        else -> "status_$status"
    }

    private companion object {
        const val PLACEMENT_INTERVAL_MILLIS = 300L

        /** Engines register within a few seconds, and the list is read about once a second. */
        const val SETTLE_DELAY_MILLIS = 3_000L

        /** Loading takes a few seconds, and the engine renews its entry about once a second. */
        const val PENDING_MILLIS = 6_000L

        /** Time in which an entry becomes as new as the engine's report. */
        const val ENTRY_DELAY_MILLIS = 2_500L
        const val CALL_TIMEOUT_MILLIS = 1_000L

        /** Requests that a copy has to have memory for to justify the memory of its weights. */
        const val MIN_REQUESTS_PER_COPY = 30
        const val ACCEPTED = 202
        const val ALREADY_HELD = 200
        const val STATE_CONFLICT = 409
        const val FENCED = 412
    }
}
