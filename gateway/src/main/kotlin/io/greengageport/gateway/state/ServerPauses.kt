package io.greengageport.gateway.state

import io.greengageport.common.Clock
import io.greengageport.common.RunnerId
import io.greengageport.gateway.logging.DecisionLog

/**
 * Backend servers that have asked for a pause with a refusal.
 *
 * A pause binds this instance alone and ends with its time or with the server's next start. Unlike
 * an ejected server, one that pauses is not used as a last resort.
 */
internal class ServerPauses(private val clock: Clock, private val log: DecisionLog) {
    private val until = HashMap<RunnerId, Long>()

    /** [server] wants no work for [millis] from now; a longer pause that it asked for stays. */
    fun onPause(server: RunnerId, millis: Long) {
        val end = clock.monotonicMillis() + millis
        if (end <= (until[server] ?: Long.MIN_VALUE)) return
        until[server] = end
        log.record("servers", "pause", "id" to server, "ms" to millis)
    }

    /** Servers that want no work now. */
    fun paused(): Set<RunnerId> {
        if (until.isEmpty()) return emptySet()
        val now = clock.monotonicMillis()
        until.values.removeIf { it <= now }
        return until.keys.toSet()
    }

    /** Whether [server] wants no work now. */
    fun isPaused(server: RunnerId): Boolean =
        clock.monotonicMillis() < (until[server] ?: Long.MIN_VALUE)

    /** Time until the first pause among [servers] ends, in ms; null if none of them pauses. */
    fun soonestMillis(servers: Collection<RunnerId>): Long? {
        val now = clock.monotonicMillis()
        return servers.mapNotNull { until[it] }.filter { it > now }.minOrNull()?.minus(now)
    }

    /** Forgets a server that is gone or was started anew. */
    fun forget(server: RunnerId) {
        until.remove(server)
    }
}
