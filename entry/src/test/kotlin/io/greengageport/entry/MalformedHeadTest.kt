package io.greengageport.entry

import io.greengageport.common.OrganisationName
import io.greengageport.common.RankName
import io.greengageport.common.RequestId
import io.greengageport.common.RunnerId
import io.greengageport.common.ServiceName
import io.greengageport.common.SystemClock
import io.greengageport.ports.GenerateRequest
import io.greengageport.ports.RouteHop
import io.greengageport.settings.Organisation
import io.greengageport.settings.OrganisationSettings
import io.greengageport.settings.Rank
import io.greengageport.settings.RankSettings
import io.greengageport.settings.Service
import io.greengageport.settings.ServiceSettings
import io.ktor.network.selector.SelectorManager
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.Semaphore
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Tag
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue

/** Guards against responses that are no HTTP and reach callers as answers. */
internal class MalformedHeadTest {
    private val server = ServerSocket(0, 10, InetAddress.getLoopbackAddress())
    private val address = "127.0.0.1:${server.localPort}"
    private val clients = HttpClients()
    private val selector = SelectorManager(Dispatchers.IO)

    /** What the server sends after each request. */
    @Volatile
    private var response = ""
    private val requests = AtomicInteger()
    private val closes = Semaphore(0)

    init {
        thread(isDaemon = true) {
            while (!server.isClosed) {
                val socket = try {
                    server.accept()
                } catch (e: java.io.IOException) {
                    return@thread
                }
                thread(isDaemon = true) {
                    socket.use(::serve)
                    closes.release()
                }
            }
        }
    }

    private fun serve(socket: Socket) {
        while (hasRequest(socket)) {
            requests.incrementAndGet()
            socket.getOutputStream().write(response.toByteArray())
        }
    }

    /** Reads a head; returns false if the connection is closed before. */
    private fun hasRequest(socket: Socket): Boolean {
        val head = StringBuilder()
        while (!head.endsWith("\r\n\r\n")) {
            val b = try {
                socket.getInputStream().read()
            } catch (e: java.io.IOException) {
                return false
            }
            if (b < 0) return false
            head.append(b.toChar())
        }
        return true
    }

    @AfterEach
    fun close() {
        clients.close()
        selector.close()
        server.close()
    }

    @Nested
    inner class `A call of a plain service` {
        private val client =
            PlainClient(clients.backend, clients.singleUse, selector, connectMillis = 2_000)

        private fun send(head: String, key: CallKey?): SendEnd {
            response = "$head\r\nContent-Length: 2\r\n\r\nok"
            val now = SystemClock.monotonicMillis()
            val context = RequestContext(
                id = RequestId("request-1"),
                organisation = Organisation(
                    OrganisationName("small"),
                    "team",
                    OrganisationSettings(keyHashes = emptyList())
                ),
                rank = Rank(RankName("urgent"), RankSettings(0, 340, 57, 30_000)),
                service = Service(ServiceName("parts"), "team", ServiceSettings()),
                arrivedAtMillis = now,
                deadlineAtMillis = now + 5_000
            )
            val call = PlainCall(context, "GET", "/", emptyMap(), ByteArray(0), key)
            return runBlocking { client.send(call, address) }
        }

        @ParameterizedTest
        @ValueSource(
            strings = [
                "HTTP/1.1 000 OK",
                "HTTP/1.1 000",
                "HTTP/1.1 099 OK",
                "HTTP/1.1 20 OK",
                "HTTP/1.1 2000 OK",
                "HTTP/1.1 2000",
                "HTTP/1.1 +20 OK",
                "HTTP/1.1 2OO OK",
                "HTTP/9.9 200 OK",
                "HTTP/1.1 200 OK\r\nX Note: a",
                "HTTP/1.1 200 OK\r\nX\tNote: a",
                "HTTP/1.1 200 OK\r\nX-Note : a",
                "HTTP/1.1 200 OK\r\nX Note a",
                "HTTP/1.1 200 OK\r\n: a",
                "HTTP/1.1 200 OK\r\nX\u0001Note: a",
                "HTTP/1.1 200 OK\r\nX\u007fNote: a",
                "HTTP/1.1 200 OK\r\nX\u00e9Note: a",
                "HTTP/1.1 200 OK\r\nX(Note): a"
            ]
        )
        fun `has no answer if the head is malformed`(head: String) {
            expectThat(send(head, key = null)).isA<SendEnd.Lost>()
            expectThat(send(head, CallKey("key", 1))).isA<SendEnd.Lost>()
            expectThat(requests.get()).isEqualTo(2)
            // The connections are closed.
            expectThat(closes.tryAcquire(2, 5, TimeUnit.SECONDS)).isTrue()
        }

        /** The library drops zeros of a status, and ends a response after an informational head. */
        @ParameterizedTest
        @Tag("known-red")
        @ValueSource(
            strings = ["HTTP/1.1 0200 OK", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 099 OK"]
        )
        fun `has no answer if the library reads another status`(head: String) {
            expectThat(send(head, key = null)).isA<SendEnd.Lost>()
        }

        @ParameterizedTest
        @ValueSource(
            strings = [
                "HTTP/1.1 200",
                "HTTP/1.1 200 ",
                "HTTP/1.0 200 OK",
                "HTTP/1.1 418 I'm a teapot",
                "HTTP/1.1 599 Unassigned",
                "HTTP/1.1 999 Unassigned"
            ]
        )
        fun `has the answer if the head is unusual but valid`(statusLine: String) {
            val end = send("$statusLine\r\n$TOKEN: \tblanks around \t", key = null)
            expectThat(end).isA<SendEnd.Answered>().get { answer }.and {
                get { status }.isEqualTo(statusLine.split(' ')[1].toInt())
                get { headers[TOKEN]?.map { it.trim() } }.isEqualTo(listOf("blanks around"))
                get { body.decodeToString() }.isEqualTo("ok")
            }
        }
    }

    @Nested
    inner class `A stream of an engine` {
        private val client =
            EngineClient(clients.backend, SystemClock, CoroutineScope(Dispatchers.IO))

        private fun stream(head: String): StreamEnd {
            response = "$head\r\nContent-Length: 0\r\n\r\n"
            val request = GenerateRequest(
                RequestId("request-1"),
                attempt = 1,
                service = ServiceName("model"),
                prompt = "a prompt",
                maxTokens = 1,
                route = listOf(RouteHop(RunnerId("r1"), address, 0, 4))
            )
            val timeouts = StreamTimeouts(2_000, firstFrameMillis = 2_000, frameMillis = 2_000)
            return runBlocking { client.stream(request, timeouts) { FrameUse.ACCEPTED } }
        }

        /** Guards against a refusal, after which the request is said not to have run. */
        @ParameterizedTest
        @ValueSource(
            strings = ["HTTP/1.1 000 OK", "HTTP/1.1 503 Full\r\nX\u007f: a", "HTTP/9.9 503 Full"]
        )
        fun `is broken if the head is malformed`(head: String) {
            expectThat(stream(head)).isA<StreamEnd.Broken>()
        }
    }

    private companion object {
        const val TOKEN = "!#$%&'*+-.^_`|~09AZaz"
    }
}
