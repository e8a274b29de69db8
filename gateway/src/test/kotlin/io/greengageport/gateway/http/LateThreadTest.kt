package io.greengageport.gateway.http

import com.github.michaelbull.result.unwrap
import io.greengageport.common.HostPort
import io.netty.channel.IoHandle
import io.netty.channel.IoHandler
import io.netty.channel.IoHandlerContext
import io.netty.channel.IoRegistration
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlinx.coroutines.async
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isNotNull

/** Guards against timeouts that fire, after a delay of the thread, before bytes that have arrived. */
class LateThreadTest {
    private val loop = EventLoop()
    private val server = ServerSocket(0, 2, InetAddress.getLoopbackAddress())

    @AfterEach
    fun close() {
        loop.close()
        server.close()
    }

    @Test
    fun `bytes that arrive while the thread is blocked are read before the timeout`() {
        val connector = HttpConnector(loop)
        val address = HostPort("127.0.0.1", server.localPort)
        runBlocking {
            val (blocking, blockingPeer) = withContext(loop.dispatcher) {
                connector.connect(address, 1_000).unwrap() to server.accept()
            }
            val (waiting, waitingPeer) = withContext(loop.dispatcher) {
                connector.connect(address, 1_000).unwrap() to server.accept()
            }
            val response = async {
                withContext(loop.dispatcher) {
                    blocking.onClosed = { TimeUnit.MILLISECONDS.sleep(500) }
                    withTimeoutOrNull(200) { waiting.receive() }
                }
            }
            thread {
                val bytes = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".toByteArray()
                TimeUnit.MILLISECONDS.sleep(50)
                blockingPeer.close()
                TimeUnit.MILLISECONDS.sleep(200)
                waitingPeer.getOutputStream().write(bytes)
            }
            expectThat(response.await()).isNotNull()
        }
    }

    /** An interrupted wait reports no events, although the sockets have some. */
    @Test
    fun `a wait that ends late is followed by another poll`() {
        val calls = ArrayList<String>()
        var nanos = 0L
        val interrupted = object : IoHandler {
            override fun run(context: IoHandlerContext): Int {
                calls += if (context.canBlock()) "wait" else "poll"
                if (context.canBlock()) nanos += TimeUnit.MILLISECONDS.toNanos(waitMillis)
                return 0
            }

            var waitMillis = 3_000L

            override fun register(handle: IoHandle): IoRegistration = error("not called")

            override fun wakeup() = Unit

            override fun isCompatible(handleType: Class<out IoHandle>) = true
        }
        val timerIn100Millis = object : IoHandlerContext {
            override fun canBlock() = true

            override fun delayNanos(currentTimeNanos: Long) = TimeUnit.MILLISECONDS.toNanos(100)

            override fun deadlineNanos() = TimeUnit.MILLISECONDS.toNanos(100)
        }
        val handler = LateThreadIoHandler(interrupted) { nanos }
        handler.run(timerIn100Millis)
        interrupted.waitMillis = 101
        handler.run(timerIn100Millis)
        expectThat(calls).containsExactly("wait", "poll", "wait")
    }
}
