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

/** Nodes on loopback with short periods; the bounds of [await] are generous. */
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

    /** Starts nodes that know the first one and awaits that all see each other. */
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
            tick = 20.milliseconds,
            probePeriod = 100.milliseconds,
            probeTimeout = 200.milliseconds,
            suspicionTimeout = 500.milliseconds,
            syncPeriod = 500.milliseconds,
            failedRetryPeriod = 200.milliseconds,
            seedPeriod = 1.seconds,
            leaveSpread = 500.milliseconds
        )
    }
}

internal fun PeerNode.names(): List<String> = live().map { it.id.value }

internal suspend fun await(condition: suspend () -> Boolean) = withTimeout(60.seconds) {
    while (!condition()) delay(10.milliseconds)
}

/** Forwards TCP connections; [freeze] silences the open ones for good while new ones work. */
internal class Relay : AutoCloseable {
    private val ignore = CoroutineExceptionHandler { _, _ -> }
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.IO + ignore)
    private val selector = SelectorManager(Dispatchers.IO)
    private val links = ConcurrentLinkedQueue<AtomicBoolean>()
    private val seen = ByteArrayOutputStream()
    private var server: ServerSocket? = null

    @Volatile
    var target: String = ""

    val port: Int get() = (checkNotNull(server).localAddress as InetSocketAddress).port

    suspend fun start(): Relay = apply {
        val bound = aSocket(selector).tcp().bind("127.0.0.1", 0)
        server = bound
        scope.launch {
            while (true) {
                val near = bound.accept()
                scope.launch { link(near) }
            }
        }
    }

    fun freeze() = links.forEach { it.set(true) }

    fun forwarded(): ByteArray = synchronized(seen) { seen.toByteArray() }

    private suspend fun link(near: Socket) {
        val frozen = AtomicBoolean().also { links += it }
        val port = target.substringAfter(':').toInt()
        val far = aSocket(selector).tcp().connect("127.0.0.1", port)
        scope.launch { pump(near, far, frozen) }
        scope.launch { pump(far, near, frozen) }
    }

    private suspend fun pump(from: Socket, to: Socket, frozen: AtomicBoolean) {
        val input = from.openReadChannel()
        val output = to.openWriteChannel(autoFlush = true)
        val buffer = ByteArray(4_096)
        while (true) {
            val count = input.readAvailable(buffer)
            if (count < 0) break
            if (frozen.get()) continue
            synchronized(seen) { seen.write(buffer, 0, count) }
            output.writeFully(buffer, 0, count)
        }
        if (!frozen.get()) to.close()
    }

    override fun close() {
        scope.cancel()
        server?.close()
        selector.close()
    }
}
