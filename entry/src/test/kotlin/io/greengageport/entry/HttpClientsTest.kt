package io.greengageport.entry

import com.sun.net.httpserver.HttpServer
import io.ktor.client.HttpClient
import io.ktor.client.plugins.timeout
import io.ktor.client.request.get
import io.ktor.client.statement.bodyAsText
import java.io.IOException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CountDownLatch
import java.util.concurrent.Executors
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo

class HttpClientsTest {
    private val clients = HttpClients()
    private val executor = Executors.newCachedThreadPool()

    /** Ports of the connections on which calls came. */
    private val connections = ConcurrentHashMap.newKeySet<Int>()
    private val silent = ConcurrentHashMap.newKeySet<Int>()
    private val end = CountDownLatch(1)
    private val server =
        HttpServer.create(InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0).also { s ->
            s.executor = executor
            s.createContext("/") { e ->
                connections += e.remoteAddress.port
                if (e.remoteAddress.port in silent) end.await()
                e.sendResponseHeaders(200, 2)
                e.responseBody.use { it.write("ok".encodeToByteArray()) }
            }
            s.start()
        }

    @AfterEach
    fun stop() {
        end.countDown()
        clients.close()
        server.stop(0)
        executor.shutdownNow()
    }

    /** Guards against polls that open a connection each, which took most of their CPU time. */
    @Test
    fun `polls of the platform share a connection`() = runBlocking<Unit> {
        expectThat(List(5) { get(clients.platform) }).isEqualTo(List(5) { "ok" })
        expectThat(connections).hasSize(1)
    }

    /** Guards against a long poll that delays the calls after it on the same connection. */
    @Test
    fun `a call beside a waiting one has a connection of its own`() = runBlocking<Unit> {
        get(clients.platform)
        silent += connections
        val waiting = async { get(clients.platform, LONG_MILLIS) }
        expectThat(List(3) { async { get(clients.platform) } }.awaitAll())
            .isEqualTo(List(3) { "ok" })
        end.countDown()
        expectThat(waiting.await()).isEqualTo("ok")
    }

    /** Guards against calls that go on to a kept connection which no longer answers. */
    @Test
    fun `a kept connection that went silent is replaced`() = runBlocking<Unit> {
        get(clients.platform)
        silent += connections
        val answers = listOf(get(clients.platform, SHORT_MILLIS), get(clients.platform))
        expectThat(answers).isEqualTo(listOf("no answer", "ok"))
    }

    /** Guards against an append or a plain call that is sent on a connection that has ended. */
    @Test
    fun `calls that may not be repeated open a connection each`() = runBlocking<Unit> {
        repeat(3) { get(clients.once) }
        expectThat(connections).hasSize(3)
    }

    private suspend fun get(client: HttpClient, limit: Long = LONG_MILLIS): String = try {
        client.get("http://127.0.0.1:${server.address.port}/") {
            timeout { requestTimeoutMillis = limit }
        }.bodyAsText()
    } catch (e: IOException) {
        "no answer"
    }

    private companion object {
        const val SHORT_MILLIS = 200L
        const val LONG_MILLIS = 20_000L
    }
}
