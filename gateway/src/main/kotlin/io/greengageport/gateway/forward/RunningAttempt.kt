package io.greengageport.gateway.forward

import io.greengageport.common.RequestId
import io.greengageport.routing.RetryDecision
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Job

/**
 * An attempt of a request at the servers of [selection], beside which another one may run.
 *
 * [id] identifies the attempt among those of all requests. [memory] is for a large response to it.
 */
internal class RunningAttempt(
    val id: RequestId,
    val selection: Selection,
    val memory: ResponseMemory.Reservation
) {
    /** The work on the attempt, from its start. */
    lateinit var job: Job

    /** When the request was sent, in ms on the monotonic clock; 0 before. */
    var sentAtMillis = 0L

    val isSent: Boolean get() = sentAtMillis > 0

    /** The retry that was taken from the budget for the attempt, or null if it needed none. */
    var retry: RetryDecision.Allowed? = null

    /** The streamed response of the attempt, or null if the route has none or it was not sent. */
    var stream: AttemptStream? = null

    /** The last event id of the stream when the request was sent, or null if there was none. */
    var resumedAfterEvent: Long? = null

    /** Whether another attempt has advanced the stream in place of this one. */
    var isReplaced = false

    /** Whether it was cancelled, because the attempt that it was to replace went on. */
    var isSuperseded = false

    /**
     * Completes with true when the attempt has advanced the stream in place of another one, and
     * with false when it has ended without that.
     */
    val hasReplaced = CompletableDeferred<Boolean>()
}
