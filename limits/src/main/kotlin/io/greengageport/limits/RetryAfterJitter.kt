package io.greengageport.limits

import kotlin.random.Random

/**
 * Chooses retry times with jitter for refused callers of a model.
 *
 * Callers retry only once or twice. Bursts last a few seconds, and so does loading the layers of a
 * failed engine elsewhere, so a caller that retries within the same burst fails for the last time.
 * If all callers retried at the same moment, they would cause another burst, so the retry times are
 * random within a range.
 */
public class RetryAfterJitter(private val random: Random = Random.Default) {
    /**
     * Time after which a caller that is refused now should retry, in ms.
     *
     * [untilCapacityMillis] is the shortest time until there may be capacity, and
     * [untilDeadlineMillis] the time until the caller's deadline. The result is at least the time
     * to replace a lost stage, but never more than a third of [untilDeadlineMillis], and 0 after
     * the deadline.
     */
    public fun retryAfterMillis(untilCapacityMillis: Long, untilDeadlineMillis: Long): Long {
        val latestAllowed = maxOf(0, untilDeadlineMillis) / MAX_WAIT_DIVISOR
        val earliest = minOf(maxOf(untilCapacityMillis, STAGE_RELOAD_MILLIS), latestAllowed)
        val latest = minOf(earliest + JITTER_MILLIS, latestAllowed)
        return random.nextLong(earliest, latest + 1)
    }

    private companion object {
        /** Loading a stage takes 1 to 2 s, and detecting its loss up to 1 s. */
        const val STAGE_RELOAD_MILLIS = 2_000L

        /** About the length of the bursts in the users' workload sheets. */
        const val JITTER_MILLIS = 3_000L

        /** Callers wait at most the time until their deadline divided by this. */
        const val MAX_WAIT_DIVISOR = 3
    }
}
