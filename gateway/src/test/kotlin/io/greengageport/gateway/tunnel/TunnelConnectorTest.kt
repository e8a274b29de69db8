package io.greengageport.gateway.tunnel

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import io.greengageport.common.HostPort
import io.greengageport.common.InstanceId
import io.greengageport.common.SystemClock
import io.greengageport.gateway.RecordedLog
import io.greengageport.gateway.http.ConnectionObserver
import io.greengageport.gateway.http.EventLoop
import io.greengageport.gateway.http.HttpChannel
import io.greengageport.gateway.http.HttpFailure
import io.greengageport.gateway.peer.TunnelPeer
import io.greengageport.gateway.server
import io.netty.buffer.ByteBufUtil
import java.io.DataInputStream
import java.io.DataOutputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan

/** Guards against blaming a server for a tunnel that no peer took, and against waiting too long. */
class TunnelConnectorTest {
    private val loop = EventLoop(RecordedLog().log)
    private val peers = ArrayList<ServerSocket>()
    private val requests = AtomicInteger()
    private val connector = TunnelConnector(InstanceId("i"), loop, SystemClock, { true }) {
        peers.mapIndexed { i, p ->
            TunnelPeer(InstanceId("p$i"), HostPort("127.0.0.1", p.localPort))
        }
    }

    @AfterEach
    fun close() {
        peers.forEach { it.close() }
        loop.close()
    }

    /** Adds a peer that replies with [status], or not at all. */
    private fun addPeer(status: TunnelStatus?) {
        val listener = ServerSocket(0, 10, InetAddress.getLoopbackAddress())
        peers += listener
        thread(isDaemon = true) {
            while (!listener.isClosed) {
                val socket = runCatching { listener.accept() }.getOrNull() ?: break
                val input = DataInputStream(socket.getInputStream())
                input.readNBytes(input.readInt())
                requests.incrementAndGet()
                if (status == null) continue
                val reply = ByteBufUtil.getBytes(TunnelFormat.content(TunnelReply(status, "r")))
                val output = DataOutputStream(socket.getOutputStream())
                output.writeInt(reply.size)
                output.write(reply)
            }
        }
    }

    private fun connect(): Result<HttpChannel, HttpFailure.NotConnected> = runBlocking {
        withContext(loop.dispatcher) { connector.connect(server("s"), TIMEOUT_MILLIS) }
    }

    /** Returns who observed that no connection was opened, or null if one was. */
    private fun observer(): ConnectionObserver? = connect().fold({ null }, { it.observer })

    @Test
    fun `Another peer is tried if the first one refuses or does not reply, but no third one`() {
        addPeer(TunnelStatus.REFUSED)
        addPeer(TunnelStatus.OPEN)
        expectThat(observer()).isEqualTo(null)
        peers.removeFirst().close()
        peers.add(0, ServerSocket(0, 10, InetAddress.getLoopbackAddress()))
        expectThat(observer()).isEqualTo(null)
        peers.add(0, ServerSocket(0, 10, InetAddress.getLoopbackAddress()))
        expectThat(observer()).isEqualTo(ConnectionObserver.NOBODY)
    }

    @Test
    fun `A peer that does not reach the server is the last one that is tried`() {
        addPeer(TunnelStatus.SERVER_UNREACHABLE)
        addPeer(TunnelStatus.OPEN)
        expectThat(observer()).isEqualTo(ConnectionObserver.PEER)
        expectThat(requests.get()).isEqualTo(1)
    }

    @Test
    fun `Silent, closed and missing peers say nothing about the server`() {
        expectThat(observer()).isEqualTo(ConnectionObserver.NOBODY)
        addPeer(null)
        val startNanos = System.nanoTime()
        expectThat(observer()).isEqualTo(ConnectionObserver.NOBODY)
        expectThat((System.nanoTime() - startNanos) / 1_000_000).isLessThan(2 * TIMEOUT_MILLIS)
        peers.forEach { it.close() }
        expectThat(observer()).isEqualTo(ConnectionObserver.NOBODY)
    }

    private companion object {
        const val TIMEOUT_MILLIS = 300L
    }
}
