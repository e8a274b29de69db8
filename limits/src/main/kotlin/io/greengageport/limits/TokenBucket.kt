package io.greengageport.limits

import kotlin.math.ceil

/**
 * A token bucket whose level may fall below zero: work is taken while the level is positive, and a
 * request larger than the burst is paid for afterwards. The rate is passed in, since it changes.
 *
 * Over any interval of `t` seconds at least `rate * t` and at most `rate * (t + burst) + one
 * request` tokens can be taken.
 */
internal class TokenBucket(private val burstSeconds: Double) {
    private var level = Double.NaN
    private var refilledAt = 0L

    /** Adds the tokens since the last call and tells whether any are left. */
    fun refill(rate: Double, nowMillis: Long): Boolean {
        val full = rate * burstSeconds
        val added = rate * (nowMillis - refilledAt) / MILLIS_PER_SECOND
        level = if (level.isNaN()) full else minOf(full, level + added)
        refilledAt = nowMillis
        return level > 0
    }

    /** Takes [tokens]; a negative number returns tokens. */
    fun take(tokens: Long) {
        level -= tokens
    }

    /** Milliseconds until [refill] returns true again. */
    fun millisUntilPositive(rate: Double): Long = when {
        level > 0 -> 0
        rate <= 0 -> MAX_RETRY_AFTER_MILLIS
        else -> minOf(MAX_RETRY_AFTER_MILLIS, ceil(-level / rate * MILLIS_PER_SECOND).toLong() + 1)
    }
}
