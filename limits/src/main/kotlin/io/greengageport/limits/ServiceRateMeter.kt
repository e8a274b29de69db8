package io.greengageport.limits

import kotlin.math.exp

/**
 * Measures the service rate, in tokens/s, during the time in which all slots were busy; including
 * idle slots would underestimate it. Old samples decay exponentially.
 */
internal class ServiceRateMeter {
    private var tokens = 0.0
    private var busyMillis = 0.0
    private var lastRecordMillis = 0L

    /** The rate in tokens/s, or null if all slots were busy for too short a time to measure it. */
    val rate: Double?
        get() = if (busyMillis < MIN_BUSY_MILLIS) null else tokens / busyMillis * MILLIS_PER_SECOND

    /** Records [completedTokens] and whether all slots were busy since the previous call. */
    fun record(completedTokens: Long, wasSaturated: Boolean, nowMillis: Long) {
        val elapsed = (nowMillis - lastRecordMillis).toDouble()
        lastRecordMillis = nowMillis
        if (!wasSaturated) return
        val decay = exp(-elapsed / DECAY_MILLIS)
        tokens = tokens * decay + completedTokens
        busyMillis = busyMillis * decay + elapsed
    }

    private companion object {
        const val MIN_BUSY_MILLIS = 1_000.0
        const val DECAY_MILLIS = 10_000.0
    }
}
