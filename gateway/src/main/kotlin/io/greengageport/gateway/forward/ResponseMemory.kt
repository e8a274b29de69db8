package io.greengageport.gateway.forward

import kotlin.coroutines.resume
import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.suspendCancellableCoroutine

/**
 * The memory for large responses that are buffered, from their first bytes until they were sent to
 * their callers.
 *
 * A reservation that does not fit waits until others are released, in order of arrival. Meanwhile
 * nothing is read from the backend server, so its connection holds the rest of the response back.
 * Must be used on the thread of the event loop only.
 */
internal class ResponseMemory(private val capacityBytes: Long) {
    private class Waiter(
        val reservation: Reservation,
        val bytes: Long,
        val continuation: CancellableContinuation<Unit>
    )

    private val waiters = ArrayDeque<Waiter>()
    private var reservedBytes = 0L

    /** The memory of one request; it holds nothing until [reserve] is called. */
    inner class Reservation : AutoCloseable {
        internal var bytes = 0L

        /**
         * Replaces what this reservation holds by [bytes] and waits until that much is free. Throws
         * [IllegalArgumentException] if it exceeds the capacity.
         */
        suspend fun reserve(bytes: Long) {
            require(bytes <= capacityBytes) { "$bytes B exceed the capacity of $capacityBytes B" }
            // Holding a part while it waits for more could block all reservations at once.
            close()
            if (waiters.isEmpty() && reservedBytes + bytes <= capacityBytes) {
                grant(this, bytes)
                return
            }
            suspendCancellableCoroutine { c ->
                val waiter = Waiter(this, bytes, c)
                waiters += waiter
                c.invokeOnCancellation {
                    if (waiters.remove(waiter)) grantWaiting()
                }
            }
        }

        /** Releases all that is reserved; may be called repeatedly. */
        override fun close() {
            reservedBytes -= bytes
            bytes = 0
            grantWaiting()
        }
    }

    private fun grant(reservation: Reservation, bytes: Long) {
        reservation.bytes = bytes
        reservedBytes += bytes
    }

    private fun grantWaiting() {
        while (true) {
            val next = waiters.firstOrNull() ?: return
            if (reservedBytes + next.bytes > capacityBytes) return
            waiters.removeFirst()
            grant(next.reservation, next.bytes)
            next.continuation.resume(Unit)
        }
    }
}
