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
 * The connections of a node: at most one in use for sending per peer, opened on demand.
 *
 * A connection accepted from a peer replaces the one in use, since the peer opens a new one when
 * the old one went silent. The dialler closes an idle connection; the acceptor waits three times as
 * long, so that it does not close one on which a request is on its way.
 */
internal class ConnectionPool(
    private val self: InstanceId,
    secret: ByteArray,
    private val timings: PeerTimings,
    private val clock: Clock,
    private val scope: CoroutineScope,
    private val onFrame: (Connection, Frame) -> Unit
) : ConnectionHandler {
    val traffic = Traffic()
    private val handshake = Handshake(self, secret)
    private val selector = SelectorManager(Dispatchers.IO)
    private val current = ConcurrentHashMap<InstanceId, Connection>()
    private val all = ConcurrentHashMap.newKeySet<Connection>()
    private val opening =
        ConcurrentHashMap<String, Deferred<Result<Connection, ConnectionError>>>()
    private val unauthenticated = AtomicInteger()
    private val refusals = LogLimiter(clock)
    private var server: ServerSocket? = null

    @Volatile
    private var isClosing = false

    val size: Int get() = all.size

    /** Listens at the address and returns the bound port. */
    suspend fun listen(host: String, port: Int): Int {
        val bound = aSocket(selector).tcp().bind(host, port) { reuseAddress = true }
        server = bound
        scope.launch { acceptAll(bound) }
        return (bound.localAddress as InetSocketAddress).port
    }

    fun find(peer: InstanceId): Connection? = current[peer]?.takeIf { it.isOpen }

    /** Opens a connection to [address], or joins an attempt that is under way. */
    suspend fun open(peer: InstanceId?, address: String): Result<Connection, ConnectionError> {
        peer?.let { find(it) }?.let { return Ok(it) }
        val key = "${peer?.value}@$address"
        val created = scope.async(start = CoroutineStart.LAZY) { dial(peer, address) }
        val attempt = opening.putIfAbsent(key, created) ?: created
        if (attempt === created) {
            created.invokeOnCompletion { opening.remove(key, created) }
        } else {
            created.cancel()
        }
        return try {
            attempt.await()
        } catch (e: CancellationException) {
            // A stopped node cancels the attempt; that must not look like a cancelled caller.
            currentCoroutineContext().ensureActive()
            Err(ConnectionError.Refused("the node is stopped"))
        }
    }

    /** Closes the connection in use to [peer], which did not answer a probe. */
    fun replace(peer: InstanceId) {
        val old = current.remove(peer) ?: return
        traffic.replaced.increment()
        Logger.info { "membership: connection to $peer replaced, a probe on it had no answer" }
        old.close()
    }

    /** Closes idle connections and those that went silent while requests wait on them. */
    fun maintain(now: Long, neighbours: Set<InstanceId>) {
        val idle = timings.idleConnection.inWholeMilliseconds
        val silence = timings.probeTimeout.inWholeMilliseconds * SILENT_TIMEOUTS
        for (connection in all) {
            if (connection.isSilent(now, silence)) {
                traffic.replaced.increment()
                Logger.info { "membership: silent connection to ${connection.peer} closed" }
                connection.close()
            }
            val isKept = connection.peer in neighbours && current[connection.peer] === connection
            val limit = if (connection.isDialled) idle else ACCEPTOR_IDLE_FACTOR * idle
            if (!isKept && !connection.isBusy && now - connection.lastUse > limit) {
                connection.close()
            }
        }
    }

    fun close() {
        isClosing = true
        server?.close()
        all.forEach { it.close() }
        selector.close()
    }

    override fun onFrame(connection: Connection, frame: Frame) {
        connection.received(clock.monotonicMillis())
        onFrame.invoke(connection, frame)
    }

    override fun onClosed(connection: Connection, error: ConnectionError?) {
        all.remove(connection)
        current.remove(connection.peer, connection)
        if (error is ConnectionError.BadFrame) {
            traffic.badFrames.increment()
            Logger.warn { "membership: connection to ${connection.peer} closed, bad frame: $error" }
        }
    }

    private suspend fun dial(
        peer: InstanceId?,
        address: String
    ): Result<Connection, ConnectionError> {
        val port = address.substringAfterLast(':').toIntOrNull()
            ?: return Err(ConnectionError.Refused("no port in address $address"))
        val host = address.substringBeforeLast(':')
        return attempt {
            val socket = aSocket(selector).tcp().connect(host, port) { noDelay = true }
            closingOnFailure(socket) { input, output ->
                handshake.dial(input, output, peer)
                    .map { id -> connection(id, true, socket, input, output) }
            }
        }
    }

    private suspend fun acceptAll(server: ServerSocket) {
        while (!isClosing) {
            val socket = acceptOne(server) ?: continue
            val isCrowded = unauthenticated.incrementAndGet() > MAX_UNAUTHENTICATED
            if (isCrowded || all.size > MAX_CONNECTIONS) {
                unauthenticated.decrementAndGet()
                socket.close()
                continue
            }
            val address = socket.remoteAddress
            scope.launch {
                val result = attempt {
                    closingOnFailure(socket) { input, output ->
                        handshake.accept(input, output)
                            .map { id -> connection(id, false, socket, input, output) }
                    }
                }
                unauthenticated.decrementAndGet()
                result.fold(success = {}, failure = { refused("$address", it) })
            }
        }
    }

    /** A failure to accept, such as too many open files, must not end the accept loop. */
    private suspend fun acceptOne(server: ServerSocket): Socket? = try {
        server.accept()
    } catch (e: CancellationException) {
        throw e
    } catch (e: Exception) {
        if (!isClosing) {
            refusals.log { Logger.warn { "membership: no connection accepted: ${e.message}" } }
            delay(timings.tick)
        }
        null
    }

    private fun connection(
        id: InstanceId,
        isDialled: Boolean,
        socket: Socket,
        input: ByteReadChannel,
        output: ByteWriteChannel
    ): Connection {
        val now = clock.monotonicMillis()
        val connection =
            Connection(id, isDialled, socket, input, output, traffic, handler = this, now)
        traffic.opened.increment()
        all += connection
        if (id != self) current[id] = connection
        connection.run(scope)
        // A cancelled scope does not start the reader, which would close the socket.
        if (isClosing) connection.close()
        return connection
    }

    private fun refused(address: String, error: ConnectionError) {
        traffic.refused.increment()
        if (error is ConnectionError.BadFrame) traffic.badFrames.increment()
        refusals.log {
            Logger.warn { "membership: connection from $address refused: $error" }
        }
    }

    private suspend fun <T> closingOnFailure(
        socket: Socket,
        work: suspend (
            ByteReadChannel,
            ByteWriteChannel
        ) -> Result<T, ConnectionError>
    ): Result<T, ConnectionError> {
        var isKept = false
        try {
            return work(socket.openReadChannel(), socket.openWriteChannel(autoFlush = false))
                .onSuccess { isKept = true }
        } finally {
            if (!isKept) socket.close()
        }
    }

    private suspend fun <T> attempt(
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
        const val SILENT_TIMEOUTS = 4
        const val MAX_UNAUTHENTICATED = 256
        const val MAX_CONNECTIONS = 1_024
    }
}
