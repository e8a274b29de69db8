package io.greengageport.limits

import kotlin.math.ceil

/**
 * A token bucket that can be overdrawn: requests are admitted while the level is positive, and one
 * that is larger than the level makes it negative. The rate, in tokens/s, is a parameter of
 * each call, because it changes at run time.
 *
 * Over any interval of `t` seconds, at least `rate * t` and at most `rate * (t + burst) + one
 * request` tokens can be consumed.
 */
internal class TokenBucket(private val burstSeconds: Double) {
    private var level = Double.NaN
    private var refilledAtMillis = 0L

    /** Adds the tokens accrued since the last call; returns whether the level is positive. */
    fun refill(rate: Double, nowMillis: Long): Boolean {
        val capacity = rate * burstSeconds
        val added = rate * (nowMillis - refilledAtMillis) / MILLIS_PER_SECOND
        level = if (level.isNaN()) capacity else minOf(capacity, level + added)
        refilledAtMillis = nowMillis
        return level > 0
    }

    /** Subtracts [tokens] from the level; a negative number is a refund. */
    fun consume(tokens: Long) {
        level -= tokens
    }

    /** Time until [refill] returns true at [rate], in ms; at most a minute. */
    fun millisUntilPositive(rate: Double): Long = when {
        level > 0 -> 0
        rate <= 0 -> MAX_RETRY_AFTER_MILLIS
        else -> minOf(MAX_RETRY_AFTER_MILLIS, ceil(-level / rate * MILLIS_PER_SECOND).toLong() + 1)
    }
}
