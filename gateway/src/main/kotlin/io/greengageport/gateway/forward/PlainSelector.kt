package io.greengageport.gateway.forward

import io.greengageport.common.Clock
import io.greengageport.common.DataCentre
import io.greengageport.common.RunnerId
import io.greengageport.gateway.model.BackendServer
import io.greengageport.gateway.port.ReportedLoad
import io.greengageport.gateway.state.BackendDirectory
import io.greengageport.gateway.state.InFlightTable
import kotlin.random.Random

/**
 * Selects the least loaded server of a plain service.
 *
 * The load is the number of requests that this instance and, by estimate, its peers have in flight
 * at the server, or the load that the server reported in a recent response if that is higher.
 * Ejected servers are selected only if there is no other, since an attempt costs less than a
 * refusal.
 */
internal class PlainSelector(
    private val directory: BackendDirectory,
    private val inFlight: InFlightTable,
    private val ejectedServers: () -> Set<RunnerId>,
    private val ownDataCentre: DataCentre,
    private val clock: Clock,
    private val random: Random = Random.Default
) : ServerSelector {
    private class ReceivedLoad(val load: ReportedLoad, val atMillis: Long)

    private val reportedLoads = HashMap<RunnerId, ReceivedLoad>()

    /** Records the load that [server] reported in a response. */
    fun onLoad(server: RunnerId, load: ReportedLoad) {
        reportedLoads[server] = ReceivedLoad(load, clock.monotonicMillis())
    }

    /** Discards the load of a server that was removed or restarted. */
    fun forget(server: RunnerId) {
        reportedLoads.remove(server)
    }

    override fun select(context: RequestContext, excluded: Set<RunnerId>): Selection? {
        val ejected = ejectedServers()
        val candidates = directory.usableServers(context.service.name).filter { it.id !in excluded }
        return candidates
            .minByOrNull { cost(it) + if (it.id in ejected) EJECTED_COST else 0.0 }
            ?.let { Selection(it) }
    }

    /** Whether [server] is expected to run another request at once. */
    fun hasFreeSlot(server: BackendServer): Boolean = expectedRequests(server) < server.slots

    /**
     * Returns the expected number of requests ahead, relative to the slots of the server, with a
     * surcharge for another data centre and a small random part that breaks ties.
     */
    private fun cost(server: BackendServer): Double {
        val slots = maxOf(1, server.slots).toDouble()
        val remoteCost = if (server.dataCentre == ownDataCentre) 0.0 else REMOTE_COST
        return expectedRequests(server) / slots + remoteCost +
            random.nextDouble() * MAX_TIE_BREAK_COST
    }

    private fun expectedRequests(server: BackendServer): Int {
        val reportedRequests = reportedLoads[server.id]
            ?.takeIf { clock.monotonicMillis() - it.atMillis < MAX_REPORT_AGE_MILLIS }
            ?.let { it.load.running + it.load.waiting } ?: 0
        return maxOf(inFlight.fleetLoad(server.id).requests, reportedRequests)
    }

    private companion object {
        /** Requests of plain services take some ten ms, so an older report is out of date. */
        const val MAX_REPORT_AGE_MILLIS = 100L

        /** Traffic between data centres has a price, but a lower one than waiting. */
        const val REMOTE_COST = 0.15
        const val MAX_TIE_BREAK_COST = 0.05
        const val EJECTED_COST = 1_000.0
    }
}
