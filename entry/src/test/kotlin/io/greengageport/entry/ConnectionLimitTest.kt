package io.greengageport.entry

import io.greengageport.common.HostPort
import io.ktor.server.response.respondText
import io.ktor.server.routing.get
import java.net.Socket
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.job
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/**
 * Guards against an unlimited number of connections, also after an update of the HTTP library that
 * arranges its jobs differently.
 */
class ConnectionLimitTest {
    private val limit = ConnectionLimit(max = 2)
    private val opened = mutableListOf<AutoCloseable>(limit)

    @AfterEach
    fun close() = opened.reversed().forEach { it.close() }

    @Test
    fun `calls on a connection above the limit are refused until another one closes`() =
        runBlocking<Unit> {
            val at = start()
            val (first, second, third) = List(3) { connect(at) }
            val answers = listOf(first, second, third, first, third).map { isAdmitted(it) }
            second.close()
            await { limit.openCount == 2 }
            expectThat(answers + isAdmitted(third))
                .isEqualTo(listOf(true, true, false, true, false, true))
        }

    @Test
    fun `connections without a call are closed if there are too many`() = runBlocking<Unit> {
        val at = start()
        val busy = connect(at)
        isAdmitted(busy)
        val silent = List(4) { connect(at) }
        await { limit.openCount == 5 }
        await {
            limit.sweep()
            limit.openCount == 2
        }
        val ended = withContext(Dispatchers.IO) {
            silent.count {
                it.soTimeout = SHORT_TIMEOUT_MILLIS
                runCatching { it.getInputStream().read() }.getOrNull() == -1
            }
        }
        expectThat(ended to isAdmitted(busy)).isEqualTo(3 to true)
    }

    private suspend fun start(): HostPort {
        val (server, at) = startServer("127.0.0.1:0", BoundsConfig(), connections = limit) {
            get("/") { call.respondText("${limit.admit(currentCoroutineContext().job)}") }
        }
        opened += AutoCloseable { server.stop(0, 0) }
        return at
    }

    private fun connect(at: HostPort) = Socket(at.host, at.port).also { opened += it }

    /** Sends a call on [connection] and returns whether it was admitted. */
    private suspend fun isAdmitted(connection: Socket): Boolean = withContext(Dispatchers.IO) {
        connection.getOutputStream().write(
            "GET / HTTP/1.1\r\nHost: entry\r\n\r\n".encodeToByteArray()
        )
        val lines = connection.getInputStream().bufferedReader()
        val head = generateSequence { lines.readLine() }.takeWhile { it.isNotEmpty() }.toList()
        val size = head.first { it.startsWith("Content-Length", ignoreCase = true) }
            .substringAfter(':').trim().toInt()
        String(CharArray(size).also { lines.read(it) }) == "true"
    }

    private suspend fun await(condition: () -> Boolean) =
        withTimeout(LONG_TIMEOUT_MILLIS) { while (!condition()) delay(10) }

    private companion object {
        const val SHORT_TIMEOUT_MILLIS = 500
        const val LONG_TIMEOUT_MILLIS = 10_000L
    }
}
