package io.greengageport.gateway.http

import io.greengageport.common.Clock
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull

/**
 * Closes connections of callers so that their answers arrive.
 *
 * Bytes that a slow caller has not taken yet are sent first. A connection on which an answer was
 * the last one then stays half open for up to [LINGER_MILLIS]: if the process closed a socket with
 * received bytes that it has not read, or bytes arrived later, the system would send a reset, which
 * can destroy an answer that the caller has not read. Callers usually close at once, so only those
 * that do not cost a descriptor; at most [MAX_LINGERING] may do so at a time.
 */
public class ConnectionCloser(private val clock: Clock) {
    private var lingering = 0

    /**
     * Sends what is left and closes [connection]; returns when it is closed. [isAnswered] tells
     * whether the caller knows by an answer that the connection ends.
     */
    public suspend fun close(connection: HttpChannel, isAnswered: Boolean) {
        try {
            if (isAnswered) connection.discardInput()
            if (awaitFlushed(connection) && isAnswered) linger(connection)
        } finally {
            connection.close()
        }
    }

    /**
     * Waits until what was written to [connection] is sent. Returns false if the connection closed,
     * or the caller took nothing for [HttpChannel.STALL_MILLIS].
     */
    public suspend fun awaitFlushed(connection: HttpChannel): Boolean {
        connection.flushNow()
        var unsent = connection.unsentBytes
        var progressAtMillis = clock.monotonicMillis()
        while (unsent > 0 && !connection.isClosed) {
            delay(FLUSH_CHECK_INTERVAL_MILLIS)
            val now = clock.monotonicMillis()
            if (connection.unsentBytes != unsent) {
                unsent = connection.unsentBytes
                progressAtMillis = now
            } else if (now - progressAtMillis >= HttpChannel.STALL_MILLIS) {
                return false
            }
        }
        return !connection.isClosed
    }

    private suspend fun linger(connection: HttpChannel) {
        if (lingering >= MAX_LINGERING) return
        lingering++
        try {
            connection.shutDownOutput()
            withTimeoutOrNull(LINGER_MILLIS) { connection.awaitClosed() }
        } finally {
            lingering--
        }
    }

    private companion object {
        const val FLUSH_CHECK_INTERVAL_MILLIS = 20L

        /** Several round trips, in which a caller reads its answer and closes. */
        const val LINGER_MILLIS = 1_000L

        /** A small part of the descriptors of an instance. */
        const val MAX_LINGERING = 256
    }
}
