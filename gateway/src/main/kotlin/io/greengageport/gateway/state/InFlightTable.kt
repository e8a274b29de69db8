package io.greengageport.gateway.state

import io.greengageport.common.RunnerId
import io.greengageport.common.ServiceName
import io.greengageport.routing.InFlight

/**
 * Requests and the memory that they hold at each backend server: this instance's own, and an
 * estimate for all instances.
 *
 * What the peers told of themselves counts if it is fresh; without that, every instance is taken to
 * have as much in flight as this one.
 */
public class InFlightTable(
    private val instances: () -> Int,
    private val ofPeers: () -> Map<RunnerId, InFlight>?,
    private val requestsByService: () -> Map<ServiceName, Int>? = { null }
) {
    private class Entry(var requests: Int = 0, var tokenLayers: Long = 0)

    private val own = HashMap<RunnerId, Entry>()

    /** Counts a request that holds [tokenLayers], tokens times layers, at [server]. */
    public fun add(server: RunnerId, tokenLayers: Long) {
        val e = own.getOrPut(server, ::Entry)
        e.requests++
        e.tokenLayers += tokenLayers
    }

    /** Ends a request counted by [add]. */
    public fun remove(server: RunnerId, tokenLayers: Long) {
        val e = own[server] ?: return
        e.requests--
        e.tokenLayers -= tokenLayers
        if (e.requests <= 0) own.remove(server)
    }

    /** This instance's own requests at [server]. */
    public fun own(server: RunnerId): InFlight =
        own[server]?.let { InFlight(it.requests, it.tokenLayers) } ?: InFlight.NONE

    /** All of this instance's own, to tell the peers. */
    public fun ownByServer(): Map<RunnerId, InFlight> =
        own.mapValues { InFlight(it.value.requests, it.value.tokenLayers) }

    /** Requests of [service] that the peers have in flight, or null while that is not known. */
    public fun requestsOfPeers(service: ServiceName): Int? = requestsByService()?.get(service)

    /** The estimate for all instances together. */
    public fun total(server: RunnerId): InFlight {
        val mine = own(server)
        val peers = ofPeers()
        if (peers != null) {
            val others = peers[server] ?: InFlight.NONE
            return InFlight(mine.requests + others.requests, mine.tokenLayers + others.tokenLayers)
        }
        val n = maxOf(1, instances())
        return InFlight(mine.requests * n, mine.tokenLayers * n)
    }
}
