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
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.endsWith

/**
 * Guards against a request that is read but not answered, because it arrives while an idle
 * connection closes and a slow caller still takes the answer before it.
 */
class PipelinedRequestAtCloseTest {
    private val loop = EventLoop()
    private val connection = CompletableFuture<CallerConnection>()
    private val written = CompletableFuture<HttpChannel>()

    @AfterEach
    fun close() = loop.close()

    /** Listens with a handler whose first answer ends while its last bytes wait in the process. */
    private fun listen(): HostPort {
        val listener = HttpListener(loop, { 8_192 }) { channel, marker ->
            val caller = CallerConnection(
                channel = channel,
                marker = marker,
                limits = { CallerLimits() },
                isStopping = { written.isDone },
                handler = { head, _, response ->
                    if (head.uri() == "/second") {
                        response.respond(200, DefaultHttpHeaders(), "second".toByteArray())
                    } else {
                        respondUnsent(channel, response)
                    }
                },
                closer = ConnectionCloser(SystemClock),
                clock = SystemClock
            )
            connection.complete(caller)
            loop.scope.launch { caller.run() }
        }
        return listener.listen(HostPort("127.0.0.1", 0))
    }

    private suspend fun respondUnsent(channel: HttpChannel, response: CallerResponse) {
        response.start(200, DefaultHttpHeaders())
        // The buffers of the system grow for a while.
        var unsentRounds = 0
        while (unsentRounds < 20) {
            channel.flushNow()
            if (channel.isFlushed) {
                unsentRounds = 0
                response.send(Unpooled.wrappedBuffer(ByteArray(32_000)))
            }
            delay(10)
            if (!channel.isFlushed) unsentRounds++
        }
        response.finish()
        written.complete(channel)
    }

    @Test
    fun `A request that arrives while an idle connection sends its last answer is answered`() {
        val address = listen()
        Socket().use { socket ->
            socket.receiveBufferSize = 4_096
            socket.soTimeout = 5_000
            socket.connect(InetSocketAddress(address.host, address.port))
            val output = socket.getOutputStream()
            output.write("GET / HTTP/1.1\r\nHost: h\r\n\r\n".toByteArray())
            written.get(15, TimeUnit.SECONDS)
            TimeUnit.MILLISECONDS.sleep(100)
            runBlocking { withContext(loop.dispatcher) { connection.get().closeIfIdle() } }
            TimeUnit.MILLISECONDS.sleep(100)
            output.write("GET /second HTTP/1.1\r\nHost: h\r\n\r\n".toByteArray())
            TimeUnit.MILLISECONDS.sleep(100)
            expectThat(socket.getInputStream().readAllBytes().decodeToString().takeLast(100))
                .endsWith("second")
        }
    }
}
