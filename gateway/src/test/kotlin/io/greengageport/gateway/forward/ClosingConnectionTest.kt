package io.greengageport.gateway.forward

import io.greengageport.common.HostPort
import io.greengageport.common.SystemClock
import io.greengageport.gateway.http.ConnectionCloser
import io.greengageport.gateway.http.EventLoop
import io.greengageport.gateway.http.HttpChannel
import io.greengageport.gateway.http.HttpListener
import io.greengageport.gateway.model.CallerLimits
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultHttpHeaders
import java.net.InetSocketAddress
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.endsWith
import strikt.assertions.isFalse
import strikt.assertions.isTrue

/** Guards against answers that a close drops while a slow caller still reads them. */
class ClosingConnectionTest {
    private val loop = EventLoop()
    private val connection = CompletableFuture<CallerConnection>()
    private val service = CompletableFuture<Job>()
    private val written = CompletableFuture<HttpChannel>()

    @AfterEach
    fun close() = loop.close()

    /** Listens with a handler whose answers end while their last bytes wait in the process. */
    private fun listen(): HostPort {
        val listener = HttpListener(loop, { 8_192 }) { channel, marker ->
            val caller = CallerConnection(
                channel = channel,
                marker = marker,
                limits = { CallerLimits() },
                isStopping = { false },
                handler = { _, _, response ->
                    response.start(200, DefaultHttpHeaders())
                    // The buffers of the system grow for a while.
                    var unsentRounds = 0
                    while (unsentRounds < 20) {
                        channel.flushNow()
                        if (channel.isFlushed) {
                            unsentRounds = 0
                            response.send(Unpooled.wrappedBuffer(ByteArray(CHUNK_BYTES)))
                        }
                        delay(10)
                        if (!channel.isFlushed) unsentRounds++
                    }
                    response.finish()
                    written.complete(channel)
                },
                closer = ConnectionCloser(SystemClock),
                clock = SystemClock
            )
            connection.complete(caller)
            service.complete(loop.scope.launch { caller.run() })
        }
        return listener.listen(HostPort("127.0.0.1", 0))
    }

    private fun newCaller(address: HostPort, headers: String = "") = Socket().apply {
        receiveBufferSize = 4_096
        soTimeout = 5_000
        connect(InetSocketAddress(address.host, address.port))
        getOutputStream().write("GET / HTTP/1.1\r\nHost: h\r\n$headers\r\n".toByteArray())
    }

    private fun <T> onLoop(action: () -> T): T =
        runBlocking { withContext(loop.dispatcher) { action() } }

    @Test
    fun `An idle connection delivers its last answer to a slow caller before it closes`() {
        newCaller(listen()).use { socket ->
            val channel = written.get(15, TimeUnit.SECONDS)
            val caller = connection.get()
            TimeUnit.MILLISECONDS.sleep(100)
            expectThat(onLoop { !channel.isFlushed }).isTrue()
            onLoop { caller.closeIfIdle() }
            TimeUnit.MILLISECONDS.sleep(200)
            expectThat(socket.getInputStream().readAllBytes().decodeToString())
                .endsWith("\r\n0\r\n\r\n")
        }
    }

    /** Guards against a process that ends before an answer was sent to its end. */
    @Test
    fun `A connection is served until its last answer is sent`() {
        newCaller(listen(), "Connection: close\r\n").use { socket ->
            written.get(15, TimeUnit.SECONDS)
            TimeUnit.MILLISECONDS.sleep(200)
            expectThat(service.get().isActive).isTrue()
            expectThat(socket.getInputStream().readAllBytes().decodeToString())
                .endsWith("\r\n0\r\n\r\n")
        }
        TimeUnit.MILLISECONDS.sleep(200)
        expectThat(service.get().isActive).isFalse()
    }

    private companion object {
        const val CHUNK_BYTES = 32_000
    }
}
