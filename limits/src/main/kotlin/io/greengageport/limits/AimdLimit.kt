package io.greengageport.limits

/**
 * Adapts the number of slots to observed first-token times: additive increase, multiplicative
 * decrease (AIMD).
 *
 * At the end of each window of [windowMillis], the limit falls by a tenth if more than one in 20
 * first tokens missed its target, and grows by one if the slots were used up without such misses.
 * The limit stays between [min] and [max]. Windows with fewer than 20 samples continue.
 */
public class AimdLimit(
    private val min: Int,
    private val max: Int,
    private val windowMillis: Long = 1_000
) {
    private var value = max.toDouble()
    private var samples = 0
    private var misses = 0
    private var wasFull = false
    private var windowStart = 0L

    init {
        require(min in 1..max) { "the limit stays between 1 and $max, not $min" }
    }

    /** The present number of slots. */
    public val limit: Int get() = value.toInt()

    /** Records one first-token time; [inFlight] is the number of requests in flight. */
    public fun record(firstTokenMillis: Long, targetMillis: Long, inFlight: Int, nowMillis: Long) {
        samples++
        if (firstTokenMillis > targetMillis) misses++
        if (inFlight >= limit) wasFull = true
        if (nowMillis - windowStart < windowMillis || samples < MIN_SAMPLES) return
        when {
            misses > samples * MISSES_ALLOWED -> decrease(inFlight)
            wasFull -> value = minOf(max.toDouble(), value + 1)
        }
        samples = 0
        misses = 0
        wasFull = false
        windowStart = nowMillis
    }

    /** Starts from the slots in use: a limit far above them would take long to have an effect. */
    private fun decrease(inFlight: Int) {
        value = maxOf(min.toDouble(), minOf(value, inFlight.toDouble()) * DECREASE)
    }

    private companion object {
        const val MIN_SAMPLES = 20

        /** The targets are stated for 95 in 100 requests. */
        const val MISSES_ALLOWED = 0.05
        const val DECREASE = 0.9
    }
}
