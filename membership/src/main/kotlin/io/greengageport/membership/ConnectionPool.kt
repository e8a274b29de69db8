package io.greengageport.membership

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.map
import com.github.michaelbull.result.onSuccess
import io.greengageport.common.Clock
import io.greengageport.common.InstanceId
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.tinylog.kotlin.Logger

/**
 * The connections of a node, opened on demand. Per peer, at most one is active, that is, used for
 * sending.
 *
 * A connection accepted from a peer replaces the active one, because a peer opens a new connection
 * when the previous one went silent. The dialler closes an idle connection; the acceptor waits
 * three times as long, so that it does not close a connection while a request is in transit.
 */
internal class ConnectionPool(
    private val self: InstanceId,
    secret: ByteArray,
    private val timings: PeerTimings,
    private val clock: Clock,
    private val scope: CoroutineScope,
    private val onFrame: (Connection, Frame) -> Unit
) : ConnectionHandler {
    val traffic = TrafficCounters()
    private val handshake = Handshake(self, secret)
    private val selector = SelectorManager(Dispatchers.IO)
    private val activeByPeer = ConcurrentHashMap<InstanceId, Connection>()
    private val connections = ConcurrentHashMap.newKeySet<Connection>()
    private val dialAttempts =
        ConcurrentHashMap<String, Deferred<Result<Connection, ConnectionError>>>()
    private val pendingHandshakes = AtomicInteger()
    private val refusalLogLimiter = LogLimiter(clock)
    private var server: ServerSocket? = null

    @Volatile
    private var isClosing = false

    /** Number of open connections, active or not. */
    val size: Int get() = connections.size

    /** Binds to the address, starts accepting connections and returns the bound port. */
    suspend fun listen(host: String, port: Int): Int {
        val bound = aSocket(selector).tcp().bind(host, port) { reuseAddress = true }
        server = bound
        scope.launch { acceptAll(bound) }
        return (bound.localAddress as InetSocketAddress).port
    }

    /** Returns the active connection to [peer], or null if none is open. */
    fun find(peer: InstanceId): Connection? = activeByPeer[peer]?.takeIf { it.isOpen }

    /**
     * Returns the active connection to [peer], or dials [address]. Concurrent calls for the same
     * peer and address share one attempt. [peer] is null for a seed of unknown id.
     */
    suspend fun connect(peer: InstanceId?, address: String): Result<Connection, ConnectionError> {
        peer?.let { find(it) }?.let { return Ok(it) }
        val key = "${peer?.value}@$address"
        val newAttempt = scope.async(start = CoroutineStart.LAZY) { dial(peer, address) }
        val attempt = dialAttempts.putIfAbsent(key, newAttempt) ?: newAttempt
        if (attempt === newAttempt) {
            newAttempt.invokeOnCompletion { dialAttempts.remove(key, newAttempt) }
        } else {
            newAttempt.cancel()
        }
        return try {
            attempt.await()
        } catch (e: CancellationException) {
            // Stopping the node cancels the attempt; rethrow only if the caller is cancelled.
            currentCoroutineContext().ensureActive()
            Err(ConnectionError.Refused("the node is stopped"))
        }
    }

    /** Closes the active connection to [peer] after a probe on it had no answer. */
    fun closeUnresponsive(peer: InstanceId) {
        val connection = activeByPeer.remove(peer) ?: return
        traffic.replacedConnections.increment()
        Logger.info { "membership: closing the connection to $peer: no answer to a probe" }
        connection.close()
    }

    /** Closes silent connections with pending requests, and idle ones not to a neighbour. */
    fun closeIdleAndSilent(now: Long, neighbours: Set<InstanceId>) {
        val idleMillis = timings.connectionIdleTimeout.inWholeMilliseconds
        val silenceMillis = timings.probeTimeout.inWholeMilliseconds * SILENCE_PROBE_TIMEOUTS
        for (connection in connections) {
            if (connection.detectSilence(now, silenceMillis)) {
                traffic.replacedConnections.increment()
                Logger.info { "membership: closing the silent connection to ${connection.peer}" }
                connection.close()
            }
            val isToNeighbour =
                connection.peer in neighbours && activeByPeer[connection.peer] === connection
            val limitMillis =
                if (connection.isDialled) idleMillis else ACCEPTOR_IDLE_FACTOR * idleMillis
            if (!isToNeighbour && !connection.isBusy &&
                now - connection.lastUsedMillis > limitMillis
            ) {
                connection.close()
            }
        }
    }

    fun close() {
        isClosing = true
        server?.close()
        connections.forEach { it.close() }
        selector.close()
    }

    override fun onFrame(connection: Connection, frame: Frame) {
        connection.markReceived(clock.monotonicMillis())
        onFrame.invoke(connection, frame)
    }

    override fun onClosed(connection: Connection, error: ConnectionError?) {
        connections.remove(connection)
        activeByPeer.remove(connection.peer, connection)
        if (error is ConnectionError.BadFrame) {
            traffic.badFrames.increment()
            Logger.warn { "membership: closed the connection to ${connection.peer}: $error" }
        }
    }

    private suspend fun dial(
        peer: InstanceId?,
        address: String
    ): Result<Connection, ConnectionError> {
        val port = address.substringAfterLast(':').toIntOrNull()
            ?: return Err(ConnectionError.Refused("address $address has no port"))
        val host = address.substringBeforeLast(':')
        return withConnectTimeout {
            val socket = aSocket(selector).tcp().connect(host, port) { noDelay = true }
            closeOnFailure(socket) { input, output ->
                handshake.dial(input, output, peer)
                    .map { id -> registerConnection(id, true, socket, input, output) }
            }
        }
    }

    private suspend fun acceptAll(server: ServerSocket) {
        while (!isClosing) {
            val socket = acceptOne(server) ?: continue
            val hasTooManyHandshakes = pendingHandshakes.incrementAndGet() > MAX_PENDING_HANDSHAKES
            if (hasTooManyHandshakes || connections.size > MAX_CONNECTIONS) {
                pendingHandshakes.decrementAndGet()
                socket.close()
                continue
            }
            val address = socket.remoteAddress
            scope.launch {
                val result = withConnectTimeout {
                    closeOnFailure(socket) { input, output ->
                        handshake.accept(input, output)
                            .map { id -> registerConnection(id, false, socket, input, output) }
                    }
                }
                pendingHandshakes.decrementAndGet()
                result.fold(success = {}, failure = { recordRefusal("$address", it) })
            }
        }
    }

    /** Returns null if accepting fails, for example on too many open files; the loop continues. */
    private suspend fun acceptOne(server: ServerSocket): Socket? = try {
        server.accept()
    } catch (e: CancellationException) {
        throw e
    } catch (e: Exception) {
        if (!isClosing) {
            refusalLogLimiter.log {
                Logger.warn { "membership: no connection accepted: ${e.message}" }
            }
            delay(timings.tickInterval)
        }
        null
    }

    /** Starts an authenticated connection and makes it the active one of its peer. */
    private fun registerConnection(
        id: InstanceId,
        isDialled: Boolean,
        socket: Socket,
        input: ByteReadChannel,
        output: ByteWriteChannel
    ): Connection {
        val now = clock.monotonicMillis()
        val connection =
            Connection(id, isDialled, socket, input, output, traffic, handler = this, now)
        traffic.openedConnections.increment()
        connections += connection
        if (id != self) activeByPeer[id] = connection
        connection.start(scope)
        // If the scope is already cancelled, the reader does not start and cannot close the socket.
        if (isClosing) connection.close()
        return connection
    }

    private fun recordRefusal(address: String, error: ConnectionError) {
        traffic.refusedConnections.increment()
        if (error is ConnectionError.BadFrame) traffic.badFrames.increment()
        refusalLogLimiter.log {
            Logger.warn { "membership: refused the connection from $address: $error" }
        }
    }

    /** Runs [work] on [socket]; closes the socket unless [work] succeeds. */
    private suspend fun <T> closeOnFailure(
        socket: Socket,
        work: suspend (
            ByteReadChannel,
            ByteWriteChannel
        ) -> Result<T, ConnectionError>
    ): Result<T, ConnectionError> {
        var isSuccessful = false
        try {
            return work(socket.openReadChannel(), socket.openWriteChannel(autoFlush = false))
                .onSuccess { isSuccessful = true }
        } finally {
            if (!isSuccessful) socket.close()
        }
    }

    /** Runs [work] within [PeerTimings.connectTimeout]; exceptions become errors. */
    private suspend fun <T> withConnectTimeout(
        work: suspend () -> Result<T, ConnectionError>
    ): Result<T, ConnectionError> = try {
        withTimeoutOrNull(timings.connectTimeout) { work() } ?: Err(ConnectionError.TimedOut)
    } catch (e: ConnectionException) {
        Err(e.error)
    } catch (e: CancellationException) {
        throw e
    } catch (e: Exception) {
        Err(ConnectionError.Refused(e.message ?: e.javaClass.simpleName))
    }

    private companion object {
        const val ACCEPTOR_IDLE_FACTOR = 3

        /** Silence, in probe timeouts, after which a connection with pending requests is pinged. */
        const val SILENCE_PROBE_TIMEOUTS = 4

        /** Limits accepted connections whose peer is not authenticated yet. */
        const val MAX_PENDING_HANDSHAKES = 256
        const val MAX_CONNECTIONS = 1_024
    }
}
