package io.greengageport.limits

import kotlin.math.exp

/**
 * Measures the service rate, in tokens/s, over the time in which all slots were busy; an idle slot
 * would make the rate look lower than it is. Old samples decay exponentially.
 */
internal class ServiceRateMeter {
    private var tokens = 0.0
    private var busyMillis = 0.0
    private var lastMillis = 0L

    /** The rate, or null while the fleet was busy for too short a time to tell. */
    val rate: Double?
        get() = if (busyMillis < MIN_BUSY_MILLIS) null else tokens / busyMillis * MILLIS_PER_SECOND

    /** Records [done] tokens and whether all slots were busy since the last call. */
    fun record(done: Long, wasSaturated: Boolean, nowMillis: Long) {
        val elapsed = (nowMillis - lastMillis).toDouble()
        lastMillis = nowMillis
        if (!wasSaturated) return
        val decay = exp(-elapsed / DECAY_MILLIS)
        tokens = tokens * decay + done
        busyMillis = busyMillis * decay + elapsed
    }

    private companion object {
        const val MIN_BUSY_MILLIS = 1_000.0
        const val DECAY_MILLIS = 10_000.0
    }
}
