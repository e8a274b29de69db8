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
 * Chooses the least loaded server of a plain service.
 *
 * Load is what this instance and, by estimate, its peers have in flight there, or what the server
 * itself told with a recent answer if that is more. Ejected servers come last; they are still
 * chosen where there is no other, since a try costs less than a refusal.
 */
internal class PlainSelector(
    private val directory: BackendDirectory,
    private val inFlight: InFlightTable,
    private val ejected: () -> Set<RunnerId>,
    private val own: DataCentre,
    private val clock: Clock,
    private val random: Random = Random.Default
) : ServerSelector {
    private class Reported(val load: ReportedLoad, val atMillis: Long)

    private val reported = HashMap<RunnerId, Reported>()

    /** Takes in the load that [server] told with an answer. */
    fun onLoad(server: RunnerId, load: ReportedLoad) {
        reported[server] = Reported(load, clock.monotonicMillis())
    }

    /** Forgets a server that is gone. */
    fun forget(server: RunnerId) {
        reported.remove(server)
    }

    override fun select(context: RequestContext, excluded: Set<RunnerId>): Selection? {
        val out = ejected()
        val candidates = directory.usable(context.service.name).filter { it.id !in excluded }
        return candidates.minByOrNull { cost(it) + if (it.id in out) EJECTED_COST else 0.0 }
            ?.let { Selection(it) }
    }

    /** Expected requests ahead, in parts of the server's slots. */
    private fun cost(server: BackendServer): Double {
        val slots = maxOf(1, server.slots).toDouble()
        val estimated = inFlight.total(server.id).requests.toDouble()
        val told = reported[server.id]
            ?.takeIf { clock.monotonicMillis() - it.atMillis < FRESH_MILLIS }
            ?.let { (it.load.running + it.load.waiting).toDouble() } ?: 0.0
        val remote = if (server.dataCentre == own) 0.0 else REMOTE_COST
        return maxOf(estimated, told) / slots + remote + random.nextDouble() * TIE_BREAK
    }

    private companion object {
        /** Work of plain services takes some ten ms, so a report says little for longer. */
        const val FRESH_MILLIS = 100L

        /** Bytes between data centres are priced, but less than a wait. */
        const val REMOTE_COST = 0.15
        const val TIE_BREAK = 0.05
        const val EJECTED_COST = 1_000.0
    }
}
