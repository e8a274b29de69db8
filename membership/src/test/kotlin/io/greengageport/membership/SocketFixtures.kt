package io.greengageport.membership

import com.github.michaelbull.result.getOrElse
import io.greengageport.common.DataCentre
import io.greengageport.common.InstanceId
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.readAvailable
import io.ktor.utils.io.writeFully
import java.io.ByteArrayOutputStream
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeout

/** Starts nodes on loopback with short periods. */
internal class SocketCluster : AutoCloseable {
    private val nodes = ConcurrentLinkedQueue<PeerNode>()

    suspend fun start(
        name: String,
        seeds: List<String> = emptyList(),
        secret: ByteArray = SECRET,
        advertisedPort: Int? = null,
        timings: PeerTimings = TIMINGS,
        dispatcher: CoroutineDispatcher = Dispatchers.Default
    ): Pair<PeerNode, String> {
        val settings = PeerSettings(
            InstanceId(name),
            DataCentre("dc-1"),
            "127.0.0.1",
            advertisedPort = advertisedPort,
            seeds = seeds
        )
        val node = PeerNode(
            settings,
            secret,
            random = Random(name.hashCode()),
            timings = timings,
            dispatcher = dispatcher
        )
        nodes += node
        return node to node.start().getOrElse { error("$it") }
    }

    /** Starts nodes with the first one as seed and waits until all are in all views. */
    suspend fun startAll(vararg names: String): List<PeerNode> {
        val (first, address) = start(names.first())
        val all = listOf(first) + names.drop(1).map { start(it, listOf(address)).first }
        await { all.all { it.names() == names.sorted() } }
        return all
    }

    override fun close() = nodes.forEach { it.stop() }

    companion object {
        val SECRET = "a shared secret of the tests".encodeToByteArray()
        val TIMINGS = PeerTimings(
            tickInterval = 20.milliseconds,
            probePeriod = 100.milliseconds,
            probeTimeout = 200.milliseconds,
            suspicionTimeout = 500.milliseconds,
            syncPeriod = 500.milliseconds,
            failedRetryPeriod = 200.milliseconds,
            seedPeriod = 1.seconds,
            leaveDelay = 500.milliseconds
        )
    }
}

internal fun PeerNode.names(): List<String> = live().map { it.id.value }

/** Polls until [condition] holds; fails after 60 s. */
internal suspend fun await(condition: suspend () -> Boolean) = withTimeout(60.seconds) {
    while (!condition()) delay(10.milliseconds)
}

/**
 * A TCP proxy. After [silenceOpenConnections], the open connections drop all data without being
 * closed, while connections opened later work.
 */
internal class TcpProxy : AutoCloseable {
    private val ignoreErrors = CoroutineExceptionHandler { _, _ -> }
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.IO + ignoreErrors)
    private val selector = SelectorManager(Dispatchers.IO)
    private val silencedFlags = ConcurrentLinkedQueue<AtomicBoolean>()
    private val recorded = ByteArrayOutputStream()
    private var server: ServerSocket? = null

    @Volatile
    var target: String = ""

    val port: Int get() = (checkNotNull(server).localAddress as InetSocketAddress).port

    suspend fun start(): TcpProxy = apply {
        val bound = aSocket(selector).tcp().bind("127.0.0.1", 0)
        server = bound
        scope.launch {
            while (true) {
                val clientSocket = bound.accept()
                scope.launch { proxyConnection(clientSocket) }
            }
        }
    }

    fun silenceOpenConnections() = silencedFlags.forEach { it.set(true) }

    /** All bytes forwarded so far, in either direction. */
    fun forwardedBytes(): ByteArray = synchronized(recorded) { recorded.toByteArray() }

    private suspend fun proxyConnection(clientSocket: Socket) {
        val isSilenced = AtomicBoolean().also { silencedFlags += it }
        val port = target.substringAfter(':').toInt()
        val targetSocket = aSocket(selector).tcp().connect("127.0.0.1", port)
        scope.launch { copyBytes(clientSocket, targetSocket, isSilenced) }
        scope.launch { copyBytes(targetSocket, clientSocket, isSilenced) }
    }

    private suspend fun copyBytes(from: Socket, to: Socket, isSilenced: AtomicBoolean) {
        val input = from.openReadChannel()
        val output = to.openWriteChannel(autoFlush = true)
        val buffer = ByteArray(4_096)
        while (true) {
            val byteCount = input.readAvailable(buffer)
            if (byteCount < 0) break
            if (isSilenced.get()) continue
            synchronized(recorded) { recorded.write(buffer, 0, byteCount) }
            output.writeFully(buffer, 0, byteCount)
        }
        if (!isSilenced.get()) to.close()
    }

    override fun close() {
        scope.cancel()
        server?.close()
        selector.close()
    }
}
