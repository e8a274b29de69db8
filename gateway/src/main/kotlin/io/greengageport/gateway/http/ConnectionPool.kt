package io.greengageport.gateway.http

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import io.greengageport.common.Clock
import io.greengageport.common.HostPort

/**
 * Kept connections to backend servers.
 *
 * A connection is reused only for part of the time for which its server keeps it, and never after
 * anything was received on it while idle.
 */
public class ConnectionPool(private val connector: HttpConnector, private val clock: Clock) {
    private class Idle(val channel: HttpChannel, val untilMillis: Long)

    private val idle = HashMap<HostPort, ArrayDeque<Idle>>()

    /** A connection and whether it served a request before. */
    public class Lease(
        public val address: HostPort,
        public val channel: HttpChannel,
        public val isReused: Boolean
    )

    /**
     * Takes a kept connection, or opens one within [timeoutMillis]. With [fresh], only a new one
     * will do: a request on a kept connection may meet the server's close, and it then cannot be
     * told whether it ran.
     */
    public suspend fun acquire(
        address: HostPort,
        timeoutMillis: Long,
        fresh: Boolean = false
    ): Result<Lease, HttpFailure.NotConnected> {
        if (!fresh) takeIdle(address)?.let { return Ok(Lease(address, it, isReused = true)) }
        return connector.connect(address, timeoutMillis).map {
            Lease(address, it, isReused = false)
        }
    }

    /** Keeps the connection of [lease], which its server closes after [keepAliveMillis]. */
    public fun release(lease: Lease, keepAliveMillis: Long?) {
        val c = lease.channel
        val queue = idle.getOrPut(lease.address, ::ArrayDeque)
        val isDoubtful = c.isClosed || c.hasReceived || !c.isFlushed
        if (isDoubtful || queue.size >= MAX_IDLE_PER_SERVER) {
            c.close()
            return
        }
        val keep = keepAliveMillis?.let { (it * KEEP_SHARE).toLong() } ?: DEFAULT_KEEP_MILLIS
        queue.addLast(Idle(c, clock.monotonicMillis() + keep))
        c.onClosed = { queue.removeAll { it.channel === c } }
        // Nothing is expected now: an extra answer must not meet the next request.
        c.onReceived = c::close
    }

    /** Closes the idle connections whose time is over; to be called every second or so. */
    public fun closeExpired() {
        val now = clock.monotonicMillis()
        val expired = idle.values.flatten().filter { it.untilMillis <= now }
        for (e in expired) e.channel.close()
        idle.values.forEach { queue -> queue.removeAll { it.untilMillis <= now } }
        idle.values.removeIf { it.isEmpty() }
    }

    /** Closes the idle connections to [address], whose server is gone or restarted. */
    public fun forget(address: HostPort) {
        idle.remove(address)?.toList()?.forEach { it.channel.close() }
    }

    private fun takeIdle(address: HostPort): HttpChannel? {
        val queue = idle[address] ?: return null
        val now = clock.monotonicMillis()
        while (queue.isNotEmpty()) {
            val i = queue.removeLast()
            i.channel.onClosed = null
            i.channel.onReceived = null
            if (i.untilMillis > now && !i.channel.isClosed && !i.channel.hasReceived) {
                return i.channel
            }
            i.channel.close()
        }
        return null
    }

    private companion object {
        const val MAX_IDLE_PER_SERVER = 32

        /** Part of the server's idle timeout; the rest allows for the way and slow timers. */
        const val KEEP_SHARE = 0.5

        /** For servers that state no idle timeout. */
        const val DEFAULT_KEEP_MILLIS = 1_000L
    }
}
