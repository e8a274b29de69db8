package io.greengageport.ledger

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Exponentially growing pauses; the upper half of each is random, so that instances spread out. */
internal class Backoff(
    private val min: Duration,
    private val max: Duration,
    private val random: Random
) {
    private var current = min

    @Synchronized
    fun next(): Duration {
        val d = current
        current = minOf(current * 2, max)
        val half = d.inWholeMilliseconds / 2
        return (half + random.nextLong(half + 1)).milliseconds
    }

    @Synchronized
    fun reset() {
        current = min
    }
}
