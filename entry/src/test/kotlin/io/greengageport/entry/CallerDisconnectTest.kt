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
    /** Guards against a request that waits in the queue for a caller that has gone. */
    @Test
    fun `a call that has written nothing is cancelled when its connection ends`() =
        runBlocking<Unit> {
            expectThat(listOf(true, false).map { isCancelled(cancelOnClose = it) })
                .isEqualTo(listOf(true, false))
        }

    /** Whether the call was cancelled; a call that isn't goes on until the limit. */
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
            val limit = if (cancelOnClose) FAR_MILLIS else NEAR_MILLIS
            return withTimeoutOrNull(limit) { ended.await() } != null
        } finally {
            server.stop(0, 0)
        }
    }

    private companion object {
        const val NEAR_MILLIS = 500L
        const val FAR_MILLIS = 10_000L
    }
}
