package io.greengageport.gateway.http

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.map
import io.greengageport.common.HostPort
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpMethod
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketException
import kotlin.concurrent.thread
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.assertThrows
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue

/**
 * Guards against calls that a slow peer receives and executes after the instance has given them up.
 */
class HttpCallerTest {
    private val loop = EventLoop()
    private val server = ServerSocket(0, 1, InetAddress.getLoopbackAddress())
    private val caller =
        HttpCaller(HttpConnector(loop), HostPort("127.0.0.1", server.localPort))

    @AfterEach
    fun close() {
        loop.close()
        server.close()
    }

    /** Makes a call that fails, and checks that the server's next read fails with a reset. */
    private fun expectReset(answer: (Socket) -> Unit) {
        val request = OutgoingRequest(HttpMethod.POST, "/", DefaultHttpHeaders(), ByteArray(0))
        runBlocking {
            coroutineScope {
                val call = async {
                    withContext(loop.dispatcher) { caller.call(request, timeoutMillis = 300) }
                }
                withContext(Dispatchers.IO) {
                    server.accept().use {
                        it.soTimeout = 2_000
                        readHead(it)
                        answer(it)
                        expectThat(call.await().isErr).isTrue()
                        assertThrows<SocketException> { it.getInputStream().read() }
                    }
                }
            }
        }
    }

    /** Reads the head, so that no unread bytes make the system reset the connection by itself. */
    private fun readHead(socket: Socket) {
        val head = StringBuilder()
        while (!head.endsWith("\r\n\r\n")) head.append(socket.getInputStream().read().toChar())
    }

    @Test
    fun `a call that times out resets the connection`() = expectReset { }

    @Test
    fun `an undecodable response resets the connection`() =
        expectReset { it.getOutputStream().write("nonsense\r\n\r\n".toByteArray()) }

    /** Guards against a response that is read although its head is invalid, and a reused connection. */
    @ParameterizedTest
    @ValueSource(
        strings = [
            "HTTP/1.1 000 OK",
            "HTTP/1.1 099 OK",
            "HTTP/1.1 2000 OK",
            "HTTP/1.1 0200 OK",
            "HTTP/9.9 200 OK",
            "HTTP/1.1 000 OK\r\n\r\nHTTP/1.1 200 OK",
            "HTTP/1.1 200 OK\r\nX Note: a",
            "HTTP/1.1 200 OK\r\nX-Note\t: a",
            "HTTP/1.1 103 Hints\r\nX Note: a\r\n\r\nHTTP/1.1 200 OK",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX Note: a"
        ]
    )
    fun `a response with a malformed head resets the connection`(head: String) = expectReset {
        it.getOutputStream().write("$head\r\nContent-Length: 2\r\n\r\nok".toByteArray())
    }

    /** Makes a call whose response is [text], after which the connection is closed or reset. */
    private fun call(text: String, isReset: Boolean, body: ByteArray = ByteArray(0)) = runBlocking {
        coroutineScope {
            val call = async {
                val request = OutgoingRequest(HttpMethod.POST, "/", DefaultHttpHeaders(), body)
                withContext(loop.dispatcher) { caller.call(request, timeoutMillis = 2_000) }
            }
            withContext(Dispatchers.IO) {
                server.accept().use {
                    readHead(it)
                    it.getOutputStream().write(text.toByteArray())
                    // The caller reads what was sent, since a reset discards it.
                    delay(100)
                    if (isReset) it.setSoLinger(true, 0)
                }
            }
            call.await()
        }
    }

    /** Guards against a part of a response that is taken for the whole one. */
    @ParameterizedTest
    @ValueSource(
        strings = [
            "HTTP/1.1 200 OK\r\nContent-Length: 1",
            "HTTP/1.1 200 OK\r\n",
            "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\npart",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n1",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n",
            "HTTP/1.1 100 Continue\r\n\r\n"
        ]
    )
    fun `a response that was cut is a failure`(text: String) {
        expectThat(call(text, isReset = false).isErr).isTrue()
        expectThat(call(text, isReset = true).isErr).isTrue()
    }

    /** Guards against a part of a response whose length only the end of its connection tells. */
    @Test
    fun `a response without length is whole if its connection is closed, not if it is reset`() {
        val text = "HTTP/1.1 200 OK\r\n\r\nbody"
        expectThat(call(text, isReset = false).map { it.body.decodeToString() })
            .isEqualTo(Ok("body"))
        expectThat(call(text, isReset = true).isErr).isTrue()
    }

    /**
     * Guards against a part of a response that is taken for the whole one, because the reset shows
     * in the write of a long body, and the next read sees an orderly end.
     */
    @Test
    fun `a response without length that is reset during the request body is a failure`() {
        val text = "HTTP/1.1 200 OK\r\n\r\nbody"
        expectThat(call(text, isReset = true, body = ByteArray(LONG_BODY_BYTES)).isErr).isTrue()
    }

    /** Guards against an informational response that is taken for the answer. */
    @Test
    fun `an informational response is skipped`() {
        val text = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"
        expectThat(call(text, isReset = false).map { it.status to it.body.decodeToString() })
            .isEqualTo(Ok(200 to "body"))
    }

    /** Guards against a response that begins with bytes that followed the one before. */
    @Test
    fun `a connection with bytes after a response is not used again`() {
        val answers = ArrayDeque(
            listOf(
                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nX: ",
                "HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n"
            )
        )
        thread(isDaemon = true) {
            while (answers.isNotEmpty()) {
                server.accept().use {
                    while (answers.isNotEmpty() && hasRequest(it)) {
                        it.getOutputStream().write(answers.removeFirst().toByteArray())
                    }
                }
            }
        }
        val request = OutgoingRequest(HttpMethod.GET, "/", DefaultHttpHeaders(), ByteArray(0))
        val statuses = runBlocking {
            withContext(loop.dispatcher) {
                List(2) { caller.call(request, timeoutMillis = 2_000).map { it.status } }
            }
        }
        expectThat(statuses).isEqualTo(listOf(Ok(200), Ok(500)))
    }

    /** Reads a head; returns false if the connection is closed before. */
    private fun hasRequest(socket: Socket): Boolean {
        val head = StringBuilder()
        while (!head.endsWith("\r\n\r\n")) {
            val b = socket.getInputStream().read()
            if (b < 0) return false
            head.append(b.toChar())
        }
        return true
    }

    private companion object {
        /** More than the buffers between two sockets hold. */
        const val LONG_BODY_BYTES = 20_000_000
    }
}
