package io.greengageport.entry

import io.greengageport.common.RequestId
import io.greengageport.routing.Backoff
import io.greengageport.settings.Organisation
import io.greengageport.settings.Rank
import io.greengageport.settings.RetrySettings
import io.greengageport.settings.Service

/**
 * What the request path knows of a request after authentication.
 *
 * [arrivedAt] and [deadlineAt] are milliseconds of the monotonic clock.
 */
internal class RequestContext(
    val id: RequestId,
    val organisation: Organisation,
    val rank: Rank,
    val service: Service,
    val arrivedAt: Long,
    val deadlineAt: Long,
    /** Whether the caller named the deadline, and so is willing to wait for it. */
    val hasOwnDeadline: Boolean = false
) {
    /** Whether the request is of the most urgent rank. */
    val isUrgent: Boolean get() = rank.settings.priority == 0

    /**
     * Latest useful time to start, if serving takes [serveMillis]. Without a deadline of the
     * caller the first token is due at the rank's target, of which a fifth is left to the engines;
     * a request that starts later takes capacity from one that can still be in time.
     */
    fun latestStart(serveMillis: Long): Long {
        val byDeadline = deadlineAt - minOf(serveMillis, deadlineAt - arrivedAt - 1)
        val byTarget = arrivedAt + (rank.settings.firstTokenMillis * QUEUE_SHARE).toLong()
        return if (hasOwnDeadline) byDeadline else minOf(byDeadline, byTarget)
    }

    /** Label of the organisation in metrics; names of organisations would be too many series. */
    val sizeClass: String get() = organisation.settings.sizeClass.name.lowercase()

    private companion object {
        const val QUEUE_SHARE = 0.8
    }
}

/** The backoff that the settings of a service ask for. */
internal fun RetrySettings.backoff(): Backoff =
    Backoff(baseDelayMillis.toLong(), maxDelayMillis.toLong())
