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
 *
 * Two attempts of a request that run at the same time have a reservation each. Once one of them
 * holds memory, the other one gets its own at once, also beyond the capacity: if it waited,
 * requests that each hold memory for one attempt could block each other. New ones wait meanwhile.
 *
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

    /** What the attempts of one request hold together. */
    class RequestShare {
        internal var bytes = 0L
    }

    /**
     * The memory of one attempt of a request, or of several that follow each other; it holds
     * nothing until [reserve] is called. Attempts that run at the same time have the same [share].
     */
    inner class Reservation(internal val share: RequestShare = RequestShare()) : AutoCloseable {
        internal var bytes = 0L

        /**
         * Replaces what this reservation holds by [bytes] and waits until that much is free. Throws
         * [IllegalArgumentException] if it exceeds the capacity.
         */
        suspend fun reserve(bytes: Long) {
            require(bytes <= capacityBytes) { "$bytes B exceed the capacity of $capacityBytes B" }
            // Holding a part while it waits for more could block all reservations at once.
            close()
            val fits = waiters.isEmpty() && reservedBytes + bytes <= capacityBytes
            if (fits || share.bytes > 0) {
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
            share.bytes -= bytes
            bytes = 0
            grantWaiting()
        }
    }

    private fun grant(reservation: Reservation, bytes: Long) {
        reservation.bytes = bytes
        reservation.share.bytes += bytes
        reservedBytes += bytes
    }

    private fun grantWaiting() {
        while (true) {
            val next = waiters.firstOrNull { it.reservation.share.bytes > 0 }
                ?: waiters.firstOrNull()?.takeIf { reservedBytes + it.bytes <= capacityBytes }
                ?: return
            waiters.remove(next)
            grant(next.reservation, next.bytes)
            next.continuation.resume(Unit)
        }
    }
}
