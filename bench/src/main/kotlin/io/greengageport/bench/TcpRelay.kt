package io.greengageport.bench

import java.io.IOException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.time.Duration
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.locks.LockSupport

/**
 * Forwards TCP connections to one process and induces faults between it and chosen senders.
 *
 * A connection to a process that has ended is accepted and then closed, not refused; a connection
 * across a partition is accepted and silent, where a network would leave it unanswered.
 *
 * ```
 * relay.silence("entry-1")                       // its open connections, for good
 * relay.set("b1", LinkFault(requestDelayMillis = 5))
 * ```
 */
public class TcpRelay internal constructor(
    private val name: String,
    private val senderOf: (fromPort: Int, toPort: Int) -> String?
) : AutoCloseable {
    private val server = ServerSocket(0, BACKLOG, InetAddress.getByName(HOST))
    private val connections = ConcurrentHashMap.newKeySet<Connection>()
    private val faults = ConcurrentHashMap<String, LinkFault>()
    private val accepted = ConcurrentHashMap<String, AtomicInteger>()

    /** Address of the process behind the relay; null until it listens. */
    @Volatile
    internal var target: String? = null

    init {
        start("accept") { acceptAll() }
    }

    /** The address under which others reach the process. */
    public val address: String = "$HOST:${server.localPort}"

    /** Connections that [sender] opened so far. */
    public fun opened(sender: String): Int = accepted[sender]?.get() ?: 0

    /** Open connections of [sender] that still forward. */
    public fun open(sender: String): Int = connections.count { it.sender == sender && !it.isSilent }

    /** Silences the open connections of [sender] for good; later ones work. Returns how many. */
    public fun silence(sender: String): Int =
        connections.filter { it.sender == sender && !it.isSilent }
            .onEach { it.isSilent = true }.size

    /** Closes the open connections of [sender]; later ones work. */
    public fun cut(sender: String): Unit =
        connections.filter { it.sender == sender }.forEach { it.close() }

    /** Applies [fault] to all open and later connections of [sender]. */
    public fun set(sender: String, fault: LinkFault) {
        faults[sender] = fault
    }

    override fun close() {
        server.close()
        connections.forEach { it.close() }
    }

    private fun acceptAll() {
        while (!server.isClosed) {
            val near = try {
                server.accept()
            } catch (e: IOException) {
                return
            }
            start("connection") { connect(near) }
        }
    }

    private fun connect(near: Socket) {
        val sender = senderOf(near.port, near.localPort).orEmpty()
        accepted.computeIfAbsent(sender) { AtomicInteger() }.incrementAndGet()
        val far = Socket()
        val c = Connection(sender, near, far)
        connections += c
        try {
            val to = checkNotNull(target) { "$name does not listen yet" }.split(':')
            near.tcpNoDelay = true
            far.tcpNoDelay = true
            far.connect(InetSocketAddress(to[0], to[1].toInt()))
        } catch (e: IOException) {
            c.close()
            return
        }
        start("replies") { c.forwardReplies() }
        c.forwardRequests()
    }

    private inner class Connection(
        val sender: String,
        private val near: Socket,
        private val far: Socket
    ) {
        @Volatile
        var isSilent = false

        private val directionsLeft = AtomicInteger(2)

        fun forwardRequests(): Unit =
            forward(near, far, { it.requestDelayMillis }, { it.requestsSilent })

        fun forwardReplies(): Unit =
            forward(far, near, { it.replyDelayMillis }, { it.repliesSilent })

        private fun forward(
            from: Socket,
            to: Socket,
            delay: (LinkFault) -> Long,
            silent: (LinkFault) -> Boolean
        ) {
            val buffer = ByteArray(BUFFER_BYTES)
            try {
                while (true) {
                    val count = from.getInputStream().read(buffer)
                    if (count < 0) break
                    val fault = faults[sender] ?: LinkFault.NONE
                    LockSupport.parkNanos(Duration.ofMillis(delay(fault)).toNanos())
                    // A lost segment is never made up for, so the connection stays silent.
                    if (silent(fault)) isSilent = true
                    if (!isSilent) to.getOutputStream().write(buffer, 0, count)
                }
                if (!isSilent) to.shutdownOutput()
            } catch (e: IOException) {
                if (!isSilent) close()
            }
            if (directionsLeft.decrementAndGet() == 0) close()
        }

        fun close() {
            connections -= this
            near.close()
            far.close()
        }
    }

    private fun start(what: String, action: () -> Unit) {
        Thread(action, "relay $name $what").apply { isDaemon = true }.start()
    }

    private companion object {
        const val HOST = "127.0.0.1"
        const val BACKLOG = 512
        const val BUFFER_BYTES = 16_384
    }
}
