package io.greengageport.limits

import kotlin.random.Random

/**
 * When refused callers of a model come back.
 *
 * A caller returns once or twice. Bursts last some seconds, and so does the time until the layers
 * of lost engines are loaded elsewhere; who returns within the same burst is refused for good. All
 * of them at the same moment would be a burst of their own, so their returns are spread.
 */
public class ReturnSpread(private val random: Random = Random.Default) {
    /**
     * Time until the return of a caller that is refused now, in milliseconds.
     *
     * [reliefMillis] is when there may be room at the earliest, [leftMillis] is the time that the
     * caller has left; callers wait no longer than a third of it.
     */
    public fun returnMillis(reliefMillis: Long, leftMillis: Long): Long {
        val longest = leftMillis / LONGEST_WAIT
        val earliest = minOf(maxOf(reliefMillis, RELIEF_MILLIS), longest)
        val latest = minOf(earliest + SPREAD_MILLIS, longest)
        return random.nextLong(earliest, latest + 1)
    }

    private companion object {
        /** Loading a stage takes one to two seconds, and finding its loss up to one. */
        const val RELIEF_MILLIS = 2_000L

        /** About the length of the bursts on the users' sheets. */
        const val SPREAD_MILLIS = 3_000L

        /** The part of the time left that callers wait at most, as its divisor. */
        const val LONGEST_WAIT = 3
    }
}
