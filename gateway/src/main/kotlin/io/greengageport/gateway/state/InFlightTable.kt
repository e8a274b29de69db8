package io.greengageport.gateway.state

import io.greengageport.common.RunnerId
import io.greengageport.common.ServiceName
import io.greengageport.routing.InFlight

/**
 * Counts the requests in flight at each backend server and the memory that they hold, for this
 * instance and, as an estimate, for the whole fleet.
 *
 * The fleet estimate adds the loads that live peers reported. While no such report is available,
 * every instance is assumed to have as much in flight as this one.
 */
public class InFlightTable(
    private val instanceCount: () -> Int,
    private val peerLoads: () -> Map<RunnerId, InFlight>?,
    private val peerRequests: () -> Map<ServiceName, Int>? = { null }
) {
    private class Entry(var requests: Int = 0, var tokenLayers: Long = 0)

    private val ownEntries = HashMap<RunnerId, Entry>()

    /** Counts a request at [server] that holds [tokenLayers] (tokens times layers). */
    public fun add(server: RunnerId, tokenLayers: Long) {
        val entry = ownEntries.getOrPut(server, ::Entry)
        entry.requests++
        entry.tokenLayers += tokenLayers
    }

    /** Removes a request that [add] counted with the same [tokenLayers]. */
    public fun remove(server: RunnerId, tokenLayers: Long) {
        val entry = ownEntries[server] ?: return
        entry.requests--
        entry.tokenLayers -= tokenLayers
        if (entry.requests <= 0) ownEntries.remove(server)
    }

    /** This instance's requests at [server]. */
    public fun ownLoad(server: RunnerId): InFlight =
        ownEntries[server]?.let { InFlight(it.requests, it.tokenLayers) } ?: InFlight.NONE

    /** This instance's requests at all servers, for the report to the peers. */
    public fun ownByServer(): Map<RunnerId, InFlight> =
        ownEntries.mapValues { InFlight(it.value.requests, it.value.tokenLayers) }

    /** Requests of [service] that the peers have in flight, or null while that is unknown. */
    public fun requestsOfPeers(service: ServiceName): Int? = peerRequests()?.get(service)

    /** The estimated requests of all instances at [server]. */
    public fun fleetLoad(server: RunnerId): InFlight {
        val load = ownLoad(server)
        val loads = peerLoads()
        if (loads != null) {
            val peerLoad = loads[server] ?: InFlight.NONE
            return InFlight(
                load.requests + peerLoad.requests,
                load.tokenLayers + peerLoad.tokenLayers
            )
        }
        val factor = maxOf(1, instanceCount())
        return InFlight(load.requests * factor, load.tokenLayers * factor)
    }
}
