package io.greengageport.limits

/**
 * Adaptive concurrency limit that follows first-token latency: additive increase, multiplicative
 * decrease (AIMD).
 *
 * At the end of each window of [windowMillis], the limit drops by 10% if more than 5% of the first
 * tokens missed their target. Otherwise it grows by one slot if all slots were in use. The limit
 * stays between [minSlots] and [maxSlots]. A window with fewer than 20 samples is extended.
 */
public class AimdLimit(
    private val minSlots: Int,
    private val maxSlots: Int,
    private val windowMillis: Long = 1_000
) {
    private var value = maxSlots.toDouble()
    private var samples = 0
    private var missedTargets = 0
    private var wasSaturated = false
    private var windowStartMillis = 0L

    init {
        require(minSlots in 1..maxSlots) {
            "the minimum limit must be between 1 and $maxSlots, but is $minSlots"
        }
    }

    /** The current limit, in slots. */
    public val limit: Int get() = value.toInt()

    /** Records the first-token latency of one request while [inFlight] requests are in flight. */
    public fun record(firstTokenMillis: Long, targetMillis: Long, inFlight: Int, nowMillis: Long) {
        samples++
        if (firstTokenMillis > targetMillis) missedTargets++
        if (inFlight >= limit) wasSaturated = true
        if (nowMillis - windowStartMillis < windowMillis || samples < MIN_SAMPLES) return
        when {
            missedTargets > samples * MAX_MISS_SHARE -> decrease(inFlight)
            wasSaturated -> value = minOf(maxSlots.toDouble(), value + 1)
        }
        samples = 0
        missedTargets = 0
        wasSaturated = false
        windowStartMillis = nowMillis
    }

    /**
     * Decreases from the slots in use, because a limit far above them would take many windows to
     * have an effect.
     */
    private fun decrease(inFlight: Int) {
        value = maxOf(minSlots.toDouble(), minOf(value, inFlight.toDouble()) * DECREASE_FACTOR)
    }

    private companion object {
        const val MIN_SAMPLES = 20

        /** The first-token targets are 95th percentiles. */
        const val MAX_MISS_SHARE = 0.05
        const val DECREASE_FACTOR = 0.9
    }
}
