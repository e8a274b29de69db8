package io.greengageport.entry

import io.ktor.server.routing.post
import java.net.Socket
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class CallerDisconnectTest {
    /** Guards against requests that stay in the queue after their caller has disconnected. */
    @Test
    fun `a call is cancelled when its connection closes before the response started`() =
        runBlocking<Unit> {
            expectThat(listOf(true, false).map { isCancelled(cancelOnClose = it) })
                .isEqualTo(listOf(true, false))
        }

    /** Whether a call is cancelled within the time limit after its connection closes. */
    private suspend fun isCancelled(cancelOnClose: Boolean): Boolean {
        val started = CompletableDeferred<Unit>()
        val ended = CompletableDeferred<Unit>()
        val (server, at) = startServer("127.0.0.1:0", BoundsConfig(), cancelOnClose) {
            post("/") {
                started.complete(Unit)
                try {
                    awaitCancellation()
                } finally {
                    ended.complete(Unit)
                }
            }
        }
        try {
            Socket(at.host, at.port).use { caller ->
                val head = "POST / HTTP/1.1\r\nHost: entry\r\nContent-Length: 2\r\n\r\n{}"
                caller.getOutputStream().write(head.encodeToByteArray())
                started.await()
            }
            val limitMillis = if (cancelOnClose) LONG_TIMEOUT_MILLIS else SHORT_TIMEOUT_MILLIS
            return withTimeoutOrNull(limitMillis) { ended.await() } != null
        } finally {
            server.stop(0, 0)
        }
    }

    private companion object {
        const val SHORT_TIMEOUT_MILLIS = 500L
        const val LONG_TIMEOUT_MILLIS = 10_000L
    }
}
