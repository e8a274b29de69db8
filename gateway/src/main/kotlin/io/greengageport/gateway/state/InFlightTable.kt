package io.greengageport.gateway.state

import io.greengageport.common.RunnerId
import io.greengageport.routing.InFlight

/**
 * Requests and tokens in flight at each backend server: this instance's own, and an estimate for
 * all instances.
 *
 * What the peers told of themselves counts if it is fresh; without that, every instance is taken to
 * have as much in flight as this one.
 */
public class InFlightTable(
    private val instances: () -> Int,
    private val ofPeers: () -> Map<RunnerId, InFlight>?
) {
    private class Entry(var requests: Int = 0, var tokens: Int = 0)

    private val own = HashMap<RunnerId, Entry>()

    /** Counts a request with [tokens] at [server]. */
    public fun add(server: RunnerId, tokens: Int) {
        val e = own.getOrPut(server, ::Entry)
        e.requests++
        e.tokens += tokens
    }

    /** Ends a request counted by [add]. */
    public fun remove(server: RunnerId, tokens: Int) {
        val e = own[server] ?: return
        e.requests--
        e.tokens -= tokens
        if (e.requests <= 0) own.remove(server)
    }

    /** This instance's own requests at [server]. */
    public fun own(server: RunnerId): InFlight =
        own[server]?.let { InFlight(it.requests, it.tokens) } ?: InFlight.NONE

    /** All of this instance's own, to tell the peers. */
    public fun ownByServer(): Map<RunnerId, InFlight> =
        own.mapValues { InFlight(it.value.requests, it.value.tokens) }

    /** The estimate for all instances together. */
    public fun total(server: RunnerId): InFlight {
        val mine = own(server)
        val peers = ofPeers()
        if (peers != null) {
            val others = peers[server] ?: InFlight.NONE
            return InFlight(mine.requests + others.requests, mine.tokens + others.tokens)
        }
        val n = maxOf(1, instances())
        return InFlight(mine.requests * n, mine.tokens * n)
    }
}
