package io.greengageport.gateway.forward

import io.greengageport.gateway.model.Repeatability

/**
 * Decides whether a request may be sent once more, by what its attempts so far may have done.
 *
 * An attempt that surely did not run allows another whatever the kind of request. One that may have
 * run allows another only where the request may run more than once. The number of servers on which
 * a request may run is the route's; the number of sends is bounded besides.
 */
internal class AttemptLimit(
    private val repeatability: Repeatability,
    private val maxRuns: Int,
    private val maxSends: Int = maxRuns + EXTRA_SENDS
) {
    /** Sends after which the request may have run. */
    var runs: Int = 0
        private set

    /** All sends, refused ones included. */
    var sends: Int = 0
        private set

    /** Whether the request may have run. */
    val mayHaveRun: Boolean get() = runs > 0

    /** Counts an attempt that ended in [end]. */
    fun ended(end: AttemptEnd) {
        when (end) {
            is AttemptEnd.NotConnected -> Unit

            is AttemptEnd.NotRun -> sends++

            is AttemptEnd.Answered, is AttemptEnd.Streamed, is AttemptEnd.Broken,
            is AttemptEnd.CallerGone -> {
                sends++
                runs++
            }
        }
    }

    /** Whether one more attempt is allowed. */
    fun allowsAnother(): Boolean = when {
        sends >= maxSends -> false
        runs == 0 -> true
        repeatability == Repeatability.AT_MOST_ONCE -> false
        else -> runs < maxRuns
    }

    private companion object {
        /** A server that refuses has not run the request; two refusals show a full service. */
        const val EXTRA_SENDS = 2
    }
}
