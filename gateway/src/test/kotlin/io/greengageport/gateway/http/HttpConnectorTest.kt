package io.greengageport.gateway.http

import io.greengageport.common.HostPort
import java.net.InetAddress
import java.net.ServerSocket
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isTrue

/**
 * Guards against the lookup of a name, for example of a peer. It blocks the thread of the instance,
 * for seconds if the name server does not answer.
 */
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
}
