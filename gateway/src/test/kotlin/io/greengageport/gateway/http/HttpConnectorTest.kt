package io.greengageport.gateway.http

import com.github.michaelbull.result.unwrap
import io.greengageport.common.HostPort
import io.netty.util.ReferenceCountUtil
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.concurrent.thread
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isTrue

class HttpConnectorTest {
    private val loop = EventLoop()
    private val server = ServerSocket(0, 1, InetAddress.getLoopbackAddress())

    @AfterEach
    fun close() {
        loop.close()
        server.close()
    }

    private fun connect(host: String) = runBlocking {
        withContext(loop.dispatcher) {
            HttpConnector(loop).connect(HostPort(host, server.localPort), timeoutMillis = 1_000)
        }
    }

    /**
     * Guards against the lookup of a name, for example of a peer. It blocks the thread of the
     * instance, for seconds if the name server does not answer.
     */
    @Test
    fun `connects to IP addresses only`() {
        expectThat(connect("127.0.0.1").isOk).isTrue()
        expectThat(connect("localhost").isErr).isTrue()
        expectThat(connect("127.0.0.1.").isErr).isTrue()
        expectThat(connect("256.0.0.1").isErr).isTrue()
    }

    @Test
    fun `a name has no socket address`() {
        expectThat(HttpConnector.socketAddress(HostPort("localhost", 80)).isUnresolved).isTrue()
        expectThat(HttpConnector.socketAddress(HostPort("383.0.0.1", 80)).isUnresolved).isTrue()
    }

    /** Guards against a heap that some tens of endless responses fill. */
    @Test
    fun `small chunks that are read ahead take little memory`() {
        val connection = connect("127.0.0.1").unwrap()
        server.accept().use { peer ->
            val chunks = "1\r\nx\r\n".repeat(100_000)
            val head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            thread(isDaemon = true) { peer.getOutputStream().write((head + chunks).toByteArray()) }
            val parts = runBlocking {
                withContext(loop.dispatcher) {
                    // Reads grow while all that has arrived is taken.
                    repeat(50_000) { ReferenceCountUtil.release(connection.receive()) }
                    delay(100)
                    connection.receivedCount.also { connection.reset() }
                }
            }
            expectThat(parts).isGreaterThan(0).isLessThan(MAX_READ_AHEAD_BYTES / PART_BYTES)
        }
    }

    private companion object {
        /** The bound that [HttpChannel.READ_AHEAD] states. */
        const val MAX_READ_AHEAD_BYTES = 262_144

        /** Estimated size of a part of one byte with its buffer. */
        const val PART_BYTES = 100
    }
}
