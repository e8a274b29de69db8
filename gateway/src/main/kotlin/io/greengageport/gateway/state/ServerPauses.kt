package io.greengageport.gateway.state

import io.greengageport.common.Clock
import io.greengageport.common.RunnerId
import io.greengageport.gateway.logging.DecisionLog

/**
 * Tracks backend servers that asked for a pause when they refused a request.
 *
 * A pause applies to this instance only. It ends when its time is over or when the server restarts.
 * Unlike an ejected server, a paused one is not used as a last resort.
 */
internal class ServerPauses(private val clock: Clock, private val log: DecisionLog) {
    private val endsAtMillis = HashMap<RunnerId, Long>()

    /**
     * Pauses [server] for [millis] from now; has no effect if a longer pause is already in force.
     */
    fun onPause(server: RunnerId, millis: Long) {
        val endMillis = clock.monotonicMillis() + millis
        if (endMillis <= (endsAtMillis[server] ?: Long.MIN_VALUE)) return
        endsAtMillis[server] = endMillis
        log.record("servers", "pause", "id" to server, "ms" to millis)
    }

    /** Servers that are paused now. */
    fun pausedServers(): Set<RunnerId> {
        if (endsAtMillis.isEmpty()) return emptySet()
        val now = clock.monotonicMillis()
        endsAtMillis.values.removeIf { it <= now }
        return endsAtMillis.keys.toSet()
    }

    /** Whether [server] is paused now. */
    fun isPaused(server: RunnerId): Boolean =
        clock.monotonicMillis() < (endsAtMillis[server] ?: Long.MIN_VALUE)

    /** Time in ms until the first pause among [servers] ends, or null if none of them is paused. */
    fun millisUntilFirstEnd(servers: Collection<RunnerId>): Long? {
        val now = clock.monotonicMillis()
        return servers.mapNotNull { endsAtMillis[it] }.filter { it > now }.minOrNull()?.minus(now)
    }

    /** Ends the pause of a server that was removed or restarted. */
    fun forget(server: RunnerId) {
        endsAtMillis.remove(server)
    }
}
