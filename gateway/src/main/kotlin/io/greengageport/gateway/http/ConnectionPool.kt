package io.greengageport.gateway.http

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import io.greengageport.common.Clock
import io.greengageport.common.HostPort
import io.greengageport.gateway.model.BackendServer

/**
 * Pool of keep-alive connections to backend servers.
 *
 * An idle connection is reused only for part of the keep-alive time of its server, and never after
 * bytes were received that belong to no request. While direct connections fail, connections are
 * opened through [tunnels]; such a connection carries one request.
 */
public class ConnectionPool
internal constructor(
    private val connector: HttpConnector,
    private val clock: Clock,
    private val tunnels: ServerTunnels? = null
) {
    private class IdleConnection(val channel: HttpChannel, val expiresAtMillis: Long)

    private val idle = HashMap<HostPort, ArrayDeque<IdleConnection>>()

    /**
     * A connection taken from the pool; [isReused] tells whether it carried a request before, and
     * [isTunnelled] whether it leads through a peer.
     */
    public class Lease(
        public val address: HostPort,
        public val channel: HttpChannel,
        public val isReused: Boolean,
        public val isTunnelled: Boolean = false
    )

    private val needsTunnels: Boolean get() = tunnels?.isNeeded == true

    /**
     * Takes an idle connection to [server], or opens one within [timeoutMillis]. With
     * [shouldBeNew], it always opens one: the server may close an idle connection while the request
     * is being sent, and it is then unknown whether the request ran.
     */
    public suspend fun acquire(
        server: BackendServer,
        timeoutMillis: Long,
        shouldBeNew: Boolean = false
    ): Result<Lease, HttpFailure.NotConnected> {
        val address = server.address
        if (tunnels != null && tunnels.isNeeded) {
            closeIdle()
            return tunnels.connect(server, timeoutMillis).map {
                Lease(address, it, isReused = false, isTunnelled = true)
            }
        }
        if (!shouldBeNew) takeIdle(address)?.let { return Ok(Lease(address, it, isReused = true)) }
        return connector.connect(address, timeoutMillis).map {
            Lease(address, it, isReused = false)
        }
    }

    /**
     * Returns the connection of [lease] to the pool, or closes it if it is not to be reused.
     * [keepAliveMillis] is the idle timeout that the server stated, if any.
     */
    public fun release(lease: Lease, keepAliveMillis: Long?) {
        val connection = lease.channel
        if (lease.isTunnelled || needsTunnels) {
            connection.close()
            return
        }
        val queue = idle.getOrPut(lease.address, ::ArrayDeque)
        if (!connection.isReusable || queue.size >= MAX_IDLE_PER_SERVER) {
            connection.close()
            return
        }
        val keepMillis = keepAliveMillis?.let { (it * KEEP_ALIVE_SHARE).toLong() }
            ?: DEFAULT_KEEP_ALIVE_MILLIS
        queue.addLast(IdleConnection(connection, clock.monotonicMillis() + keepMillis))
        connection.onClosed = { queue.removeAll { it.channel === connection } }
        connection.keepIdle()
    }

    /** Closes idle connections whose keep-alive time is over; to be called about every second. */
    public fun closeExpired() {
        val now = clock.monotonicMillis()
        val expired = idle.values.flatten().filter { it.expiresAtMillis <= now }
        for (connection in expired) connection.channel.close()
        idle.values.forEach { queue -> queue.removeAll { it.expiresAtMillis <= now } }
        idle.values.removeIf { it.isEmpty() }
    }

    /** Closes all idle connections, which may be dead once new ones cannot be opened directly. */
    public fun closeIdle() {
        if (idle.isEmpty()) return
        val connections = idle.values.flatten()
        idle.clear()
        connections.forEach { it.channel.close() }
    }

    /** Closes the idle connections to [address], whose server was removed or restarted. */
    public fun forget(address: HostPort) {
        idle.remove(address)?.toList()?.forEach { it.channel.close() }
    }

    private fun takeIdle(address: HostPort): HttpChannel? {
        val queue = idle[address] ?: return null
        val now = clock.monotonicMillis()
        while (queue.isNotEmpty()) {
            val next = queue.removeLast()
            next.channel.onClosed = null
            if (next.expiresAtMillis > now && next.channel.isReusable) return next.channel
            next.channel.close()
        }
        return null
    }

    private companion object {
        const val MAX_IDLE_PER_SERVER = 32

        /** Share of the server's idle timeout; the rest covers network delay and late timers. */
        const val KEEP_ALIVE_SHARE = 0.5

        /** Keep-alive time for servers that state no idle timeout. */
        const val DEFAULT_KEEP_ALIVE_MILLIS = 1_000L
    }
}
