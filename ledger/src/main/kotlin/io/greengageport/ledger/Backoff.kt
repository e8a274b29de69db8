package io.greengageport.ledger

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Exponential backoff from [minDelay] to [maxDelay].
 *
 * Half of each delay is random, so that instances that fail together don't retry together.
 */
internal class Backoff(
    private val minDelay: Duration,
    private val maxDelay: Duration,
    private val random: Random
) {
    private var currentDelay = minDelay

    /** Returns the delay before the next attempt and doubles the one after it. */
    @Synchronized
    fun nextDelay(): Duration {
        val delay = currentDelay
        currentDelay = minOf(currentDelay * 2, maxDelay)
        val halfMillis = delay.inWholeMilliseconds / 2
        return (halfMillis + random.nextLong(halfMillis + 1)).milliseconds
    }

    /** Returns to [minDelay] after a success. */
    @Synchronized
    fun reset() {
        currentDelay = minDelay
    }
}
