package io.greengageport.gateway.forward

import io.greengageport.gateway.model.Repeatability

/**
 * Decides whether a request may be retried, based on the outcomes of its previous attempts.
 *
 * An attempt that certainly did not run can be retried for every kind of request. An attempt that
 * may have run can be retried only if the request may run more than once. The route bounds the
 * number of servers on which a request may run ([maxRuns]), not counting one that crashed
 * meanwhile; [maxSends] also bounds the number of sends, including those that servers refused.
 */
internal class AttemptLimit(
    private val repeatability: Repeatability,
    private val maxRuns: Int,
    private val maxSends: Int = minOf(maxRuns, Int.MAX_VALUE - EXTRA_SENDS) + EXTRA_SENDS
) {
    /** Number of attempts in which the request may have run. */
    var runs: Int = 0
        private set

    /** Attempts of [runs] whose server crashed meanwhile. */
    private var lostServers = 0

    /** Number of attempts that count towards [maxRuns]. */
    val countedRuns: Int get() = runs - minOf(lostServers, MAX_UNCOUNTED_SERVERS)

    /** Number of attempts in which the request was sent, including refused ones. */
    var sends: Int = 0
        private set

    /** Whether the request may have run in at least one attempt. */
    val hasPossiblyRun: Boolean get() = runs > 0

    /** Counts an attempt that ended with [end]. */
    fun recordEnd(end: AttemptEnd) {
        when (end) {
            is AttemptEnd.NotConnected -> Unit

            is AttemptEnd.NotRun -> sends++

            is AttemptEnd.Answered, is AttemptEnd.Streamed, is AttemptEnd.Broken,
            is AttemptEnd.CallerGone, is AttemptEnd.Superseded -> {
                sends++
                runs++
            }
        }
    }

    /** Records a send on a stale connection, after which the same server gets the request again. */
    fun recordStaleConnection() {
        sends++
    }

    /** Returns whether the same server may get the request again after a stale connection. */
    fun canResend(): Boolean = repeatability != Repeatability.AT_MOST_ONCE && sends + 1 < maxSends

    /** Records that the server of the attempt that ends now has crashed. */
    fun recordServerLost() {
        lostServers++
    }

    /** Returns whether another attempt is allowed. */
    fun canRetry(): Boolean = when {
        sends >= maxSends -> false
        runs == 0 -> true
        repeatability == Repeatability.AT_MOST_ONCE -> false
        else -> countedRuns < maxRuns
    }

    /** Returns whether another attempt will be allowed after the current one, if that may run. */
    fun canRetryAfterRun(): Boolean = repeatability != Repeatability.AT_MOST_ONCE &&
        sends + 1 < maxSends && countedRuns + 1 < maxRuns

    private companion object {
        /** Crashed servers that do not count; the request itself may be the cause of more. */
        const val MAX_UNCOUNTED_SERVERS = 1

        /** Refused sends allowed beyond [maxRuns]; two refusals mean that the service is full. */
        const val EXTRA_SENDS = 2
    }
}
