package io.greengageport.gateway.tunnel

import io.greengageport.common.HostPort
import io.greengageport.common.RunnerId
import io.greengageport.gateway.RecordedLog
import io.greengageport.gateway.SteppedClock
import io.greengageport.gateway.http.EventLoop
import io.greengageport.gateway.model.BackendServer
import io.greengageport.gateway.port.Change
import io.greengageport.gateway.server
import io.greengageport.gateway.state.BackendDirectory
import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import java.io.DataInputStream
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isTrue

/**
 * Guards against a tunnel that hides how a side has ended, that delivers bytes after the caller has
 * left or keeps them without limit, and against connections for others than peers.
 */
class TunnelListenerTest {
    private val loopback = InetAddress.getLoopbackAddress()
    private val server = ServerSocket(0, 10, loopback)
    private val directory = BackendDirectory(SteppedClock(), RecordedLog().log)
    private val loop = EventLoop(RecordedLog().log)
    private val failed = ArrayList<RunnerId>()
    private var isCutOff = false
    private var isRefusing = false
    private var isFailure = true
    private val paused = HashSet<RunnerId>()
    private val listener = TunnelListener(
        loop,
        TunnelAdmission(directory, paused::contains, { isCutOff }, { isRefusing }) {
            it == loopback
        }
    ) {
        if (isFailure) failed += it.id
        isFailure
    }
    private val port = listener.listen(HostPort(loopback.hostAddress, 0)).port

    init {
        put(server("s", port = server.localPort))
    }

    @AfterEach
    fun close() {
        server.close()
        loop.close()
    }

    private fun put(entry: BackendServer) = onLoop {
        directory.onSnapshot(listOf(Change.Put(entry.id.value, entry, 1)), 2)
    }

    private fun <T> onLoop(work: () -> T): T = runBlocking {
        withContext(loop.dispatcher) { work() }
    }

    /** The opener's end of a tunnel. */
    private inner class Opener(from: InetAddress = loopback) : AutoCloseable {
        val socket = Socket(loopback, port, from, 0).apply { soTimeout = 5_000 }
        private val input = DataInputStream(socket.getInputStream().buffered())

        fun request(address: String = "127.0.0.1:${server.localPort}"): TunnelReply {
            val frame = TunnelFormat.frame(TunnelRequest("i", "s", address, 200))
            socket.getOutputStream().write(ByteBufUtil.getBytes(frame))
            return readReply()
        }

        fun readReply() = TunnelFormat.decodeReply(Unpooled.wrappedBuffer(readFrame()))

        fun readFrame(): ByteArray = ByteArray(input.readInt()).also(input::readFully)

        /** Reads to the empty frame and returns the number of bytes before it. */
        fun readToEnd(): Long = generateSequence(::readFrame).map { it.size }
            .takeWhile { it > 0 }.sumOf { it.toLong() }

        fun reset() {
            socket.setSoLinger(true, 0)
            close()
        }

        override fun close() = socket.close()
    }

    private fun withTunnel(block: (Opener, Socket) -> Unit): Unit = Opener().use {
        expectThat(it.request().status).isEqualTo(TunnelStatus.OPEN)
        server.accept().use { s -> block(it, s.apply { soTimeout = 5_000 }) }
    }

    private fun refusal(from: InetAddress = loopback, address: String? = null): String? =
        Opener(from).use {
            val reply = if (address == null) it.request() else it.request(address)
            expectThat(reply.status).isEqualTo(TunnelStatus.REFUSED)
            reply.reason
        }

    @Nested
    inner class `An open tunnel` {
        @Test
        fun `ends with an empty frame if the server ended its output`() = withTunnel { o, s ->
            s.getOutputStream().write(ByteArray(20_000))
            s.shutdownOutput()
            expectThat(o.readToEnd()).isEqualTo(20_000L)
        }

        @Test
        fun `has no end if the server resets the connection`() = withTunnel { o, s ->
            s.getOutputStream().write(ByteArray(100))
            expectThat(o.readFrame().size).isEqualTo(100)
            s.setSoLinger(true, 0)
            s.close()
            expectThat(runCatching { o.readFrame() }.exceptionOrNull() is IOException).isTrue()
        }

        @Test
        fun `has no end if it is reset for a stop`() = withTunnel { o, _ ->
            onLoop { listener.resetAll() }
            expectThat(runCatching { o.readFrame() }.exceptionOrNull() is IOException).isTrue()
        }

        /** The bytes that the server has not read would be a request that nobody waits for. */
        @Test
        fun `delivers nothing more once the opener has left`() {
            for (isReset in listOf(true, false)) {
                withTunnel { o, s ->
                    o.socket.getOutputStream().write(ByteArray(REQUEST_BYTES))
                    if (isReset) o.reset() else o.close()
                    await { onLoop { listener.openTunnels } == 0 }
                    val input = s.getInputStream()
                    var received = 0L
                    val end = runCatching {
                        while (true) {
                            val n = input.read(ByteArray(65_536))
                            if (n < 0) break
                            received += n
                        }
                    }
                    expectThat(end.isFailure).isTrue()
                    expectThat(received).isLessThan(REQUEST_BYTES.toLong())
                }
            }
        }

        @Test
        fun `slows the server down while the opener does not read`() = withTunnel { o, s ->
            val written = AtomicLong()
            thread(isDaemon = true) {
                val part = ByteArray(65_536)
                while (written.get() < RESPONSE_BYTES) {
                    s.getOutputStream().write(part)
                    written.addAndGet(part.size.toLong())
                }
                s.shutdownOutput()
            }
            TimeUnit.MILLISECONDS.sleep(700)
            expectThat(written.get()).isGreaterThan(0L).isLessThan(RESPONSE_BYTES)
            expectThat(o.readToEnd()).isEqualTo(RESPONSE_BYTES)
        }
    }

    @Nested
    inner class `A tunnel is refused` {
        @Test
        fun `for an unknown address of a server`() {
            expectThat(refusal(address = "127.0.0.1:1")).isEqualTo("the server has another address")
        }

        @Test
        fun `for a server that is unknown, leaving or paused`() {
            paused += RunnerId("s")
            expectThat(refusal()).isEqualTo("the server is paused")
            put(server("s", port = server.localPort, isLeaving = true, startedAtMillis = 6))
            expectThat(refusal()).isEqualTo("the server is leaving")
            put(server("other"))
            expectThat(refusal()).isEqualTo("unknown server")
        }

        @Test
        fun `by an instance that is cut off or stopping`() {
            isCutOff = true
            expectThat(refusal()).isEqualTo("no path to servers")
            isRefusing = true
            expectThat(Opener().use { it.readReply().reason }).isEqualTo("stopping")
        }

        @Test
        fun `for an address of no peer`() {
            val reply = Opener(InetAddress.getByName("127.0.0.2")).use { it.readReply() }
            expectThat(reply.reason).isEqualTo("not an address of a peer")
        }

        @Test
        fun `beyond the limit`() {
            val open = List(TunnelAdmission.MAX_TUNNELS) { Opener() }
            await { onLoop { listener.openTunnels } == TunnelAdmission.MAX_TUNNELS }
            expectThat(Opener().use { it.readReply().status }).isEqualTo(TunnelStatus.REFUSED)
            open.forEach { it.close() }
        }

        @Test
        fun `if no request arrives`() {
            val end = CompletableFuture.supplyAsync {
                Opener().use { runCatching { it.readReply() }.isFailure }
            }
            expectThat(end.get(3, TimeUnit.SECONDS)).isTrue()
        }
    }

    /** Guards against a loss of this instance's path that is taken for a failure of the server. */
    @Test
    fun `A server counts as unreachable only if that is confirmed`() {
        server.close()
        expectThat(Opener().use { it.request().status }).isEqualTo(TunnelStatus.SERVER_UNREACHABLE)
        isFailure = false
        expectThat(refusal()?.substringBefore(':')).isEqualTo("not connected")
        expectThat(failed).isEqualTo(arrayListOf(RunnerId("s")))
    }

    private fun await(condition: () -> Boolean) {
        val deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(5)
        while (!condition()) {
            check(System.nanoTime() < deadlineNanos) { "the condition was not met within 5 s" }
            TimeUnit.MILLISECONDS.sleep(10)
        }
    }

    private companion object {
        const val REQUEST_BYTES = 8_000_000
        const val RESPONSE_BYTES = 64L * 1_024 * 1_024
    }
}
