package io.greengageport.entry

import io.greengageport.common.RankName
import io.greengageport.common.RequestId
import io.greengageport.routing.Backoff
import io.greengageport.settings.Organisation
import io.greengageport.settings.Rank
import io.greengageport.settings.RetrySettings
import io.greengageport.settings.Service

/**
 * The data of a request that are known after authentication.
 *
 * [arrivedAtMillis] and [deadlineAtMillis] are in milliseconds of the monotonic clock.
 */
internal class RequestContext(
    val id: RequestId,
    val organisation: Organisation,
    val rank: Rank,
    val service: Service,
    val arrivedAtMillis: Long,
    val deadlineAtMillis: Long,
    /** Whether the caller set the deadline, and so accepts a wait up to it. */
    val hasOwnDeadline: Boolean = false
) {
    /**
     * The latest time at which a request that takes [serveMillis] should start, in milliseconds of
     * the monotonic clock. If the caller set no deadline, the first token is due at the rank's
     * target, and a fifth of that time is reserved for the engines. A request that starts later
     * would take capacity from requests that can still meet their targets.
     */
    fun latestStartMillis(serveMillis: Long): Long {
        val latestByDeadline =
            deadlineAtMillis - minOf(serveMillis, deadlineAtMillis - arrivedAtMillis - 1)
        val latestByTarget =
            arrivedAtMillis + (rank.settings.firstTokenMillis * QUEUE_SHARE_OF_TARGET).toLong()
        return if (hasOwnDeadline) latestByDeadline else minOf(latestByDeadline, latestByTarget)
    }

    /** Metric label of the organisation. Labels by name would create too many time series. */
    val sizeClass: String get() = organisation.settings.sizeClass.name.lowercase()

    private companion object {
        const val QUEUE_SHARE_OF_TARGET = 0.8
    }
}

/**
 * The share of the retry budget that is reserved for each rank. If the settings reserve none, half
 * is reserved for the most urgent rank, so that its answers can be resumed after a failure under
 * load.
 */
internal fun retryReserves(ranks: List<Rank>): Map<RankName, Double> {
    val shares = ranks.associate { it.name to it.settings.retryReserveShare }
        .filterValues { it > 0 }
    val mostUrgent = ranks.firstOrNull()?.name
    if (shares.isNotEmpty() || mostUrgent == null) return shares
    return mapOf(mostUrgent to DEFAULT_URGENT_RESERVE)
}

private const val DEFAULT_URGENT_RESERVE = 0.5

/** The backoff configured for a service. */
internal fun RetrySettings.backoff(): Backoff =
    Backoff(baseDelayMillis.toLong(), maxDelayMillis.toLong())
