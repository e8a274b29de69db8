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
 * Forwards TCP connections to one process and injects faults for selected senders.
 *
 * It differs from a network in two ways. A connection to a process that has ended is accepted and
 * then closed instead of refused. A connection across a partition is accepted and then silent,
 * where a network would not answer the connection request.
 *
 * ```
 * relay.silence("entry-1")  // permanently silences its open connections
 * relay.setFault("b1", LinkFault(requestDelayMillis = 5))
 * ```
 */
public class TcpRelay internal constructor(
    private val name: String,
    private val senderOf: (fromPort: Int, toPort: Int) -> String?
) : AutoCloseable {
    private val server = ServerSocket(0, BACKLOG, InetAddress.getByName(HOST))
    private val connections = ConcurrentHashMap.newKeySet<Connection>()
    private val faults = ConcurrentHashMap<String, LinkFault>()
    private val acceptedCounts = ConcurrentHashMap<String, AtomicInteger>()

    /** Address of the process behind the relay; null until it listens. */
    @Volatile
    internal var target: String? = null

    init {
        startThread("accept") { acceptConnections() }
    }

    /** Address at which other processes reach the process behind the relay. */
    public val address: String = "$HOST:${server.localPort}"

    /** Number of connections that [sender] has opened so far. */
    public fun openedConnections(sender: String): Int = acceptedCounts[sender]?.get() ?: 0

    /** Number of open connections of [sender] that are not silent. */
    public fun open(sender: String): Int = connections.count { it.sender == sender && !it.isSilent }

    /**
     * Permanently drops all bytes on the open connections of [sender]; returns their number.
     *
     * Later connections are not affected.
     */
    public fun silence(sender: String): Int =
        connections.filter { it.sender == sender && !it.isSilent }
            .onEach { it.isSilent = true }.size

    /** Closes the open connections of [sender]; later ones are not affected. */
    public fun closeConnections(sender: String): Unit =
        connections.filter { it.sender == sender }.forEach { it.close() }

    /**
     * Applies [fault] to all open and future connections of [sender], instead of an earlier fault.
     *
     * A connection that dropped bytes of a silent direction stays silent under a later fault.
     */
    public fun setFault(sender: String, fault: LinkFault) {
        faults[sender] = fault
    }

    override fun close() {
        server.close()
        connections.forEach { it.close() }
    }

    private fun acceptConnections() {
        while (!server.isClosed) {
            val senderSocket = try {
                server.accept()
            } catch (e: IOException) {
                return
            }
            startThread("connection") { handleConnection(senderSocket) }
        }
    }

    private fun handleConnection(senderSocket: Socket) {
        val sender = senderOf(senderSocket.port, senderSocket.localPort).orEmpty()
        acceptedCounts.computeIfAbsent(sender) { AtomicInteger() }.incrementAndGet()
        val targetSocket = Socket()
        val c = Connection(sender, senderSocket, targetSocket)
        connections += c
        try {
            val to = checkNotNull(target) { "$name is not listening yet" }.split(':')
            senderSocket.tcpNoDelay = true
            targetSocket.tcpNoDelay = true
            targetSocket.connect(InetSocketAddress(to[0], to[1].toInt()))
        } catch (e: IOException) {
            c.close()
            return
        }
        startThread("replies") { c.forwardReplies() }
        c.forwardRequests()
    }

    private inner class Connection(
        val sender: String,
        private val senderSocket: Socket,
        private val targetSocket: Socket
    ) {
        @Volatile
        var isSilent = false

        private val openDirections = AtomicInteger(2)

        fun forwardRequests(): Unit =
            forward(senderSocket, targetSocket, { it.requestDelayMillis }, { it.requestsSilent })

        fun forwardReplies(): Unit =
            forward(targetSocket, senderSocket, { it.replyDelayMillis }, { it.repliesSilent })

        private fun forward(
            from: Socket,
            to: Socket,
            directionDelayMillis: (LinkFault) -> Long,
            isDirectionSilent: (LinkFault) -> Boolean
        ) {
            val buffer = ByteArray(BUFFER_BYTES)
            try {
                while (true) {
                    val count = from.getInputStream().read(buffer)
                    if (count < 0) break
                    val fault = faults[sender] ?: LinkFault.NONE
                    LockSupport.parkNanos(Duration.ofMillis(directionDelayMillis(fault)).toNanos())
                    // The relay does not retransmit dropped bytes, so the connection stays silent.
                    if (isDirectionSilent(fault)) isSilent = true
                    if (!isSilent) to.getOutputStream().write(buffer, 0, count)
                }
                if (!isSilent) to.shutdownOutput()
            } catch (e: IOException) {
                if (!isSilent) close()
            }
            if (openDirections.decrementAndGet() == 0) close()
        }

        fun close() {
            connections -= this
            senderSocket.close()
            targetSocket.close()
        }
    }

    private fun startThread(what: String, action: () -> Unit) {
        Thread(action, "relay $name $what").apply { isDaemon = true }.start()
    }

    private companion object {
        const val HOST = "127.0.0.1"
        const val BACKLOG = 512
        const val BUFFER_BYTES = 16_384
    }
}
