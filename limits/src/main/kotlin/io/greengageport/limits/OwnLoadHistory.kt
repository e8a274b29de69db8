package io.greengageport.limits

/**
 * Remembers this instance's own load for [keepMillis], since load reports describe the past.
 *
 * Load reports carry wall-clock times; their age is subtracted from the monotonic clock.
 *
 * ```
 * history.record(controller.state, now)
 * val own = history.at(now - reportAgeMillis)
 * controller.updateCapacity(share.capacity(fleet, own, liveInstances))
 * ```
 */
public class OwnLoadHistory(private val keepMillis: Long = 30_000) {
    private val samples = ArrayDeque<Sample>()

    /** Adds a sample; to be called about once a second, at least once before [at]. */
    public fun record(state: AdmissionState, nowMillis: Long) {
        samples += Sample(nowMillis, state.inFlight, state.takenTokens)
        while (samples.first().atMillis < nowMillis - keepMillis) samples.removeFirst()
    }

    /** The load at [millis] of the monotonic clock, or the earliest known one. */
    public fun at(millis: Long): OwnLoad {
        val end = samples.lastOrNull { it.atMillis <= millis } ?: samples.firstOrNull()
        if (end == null) return OwnLoad(inUseSlots = 0.0)
        val start = samples.last {
            it.atMillis <= end.atMillis - RATE_MILLIS ||
                it == samples.first()
        }
        val elapsed = (end.atMillis - start.atMillis).coerceAtLeast(1)
        val rate = (end.takenTokens - start.takenTokens) * MILLIS_PER_SECOND / elapsed
        return OwnLoad(end.inFlight.toDouble(), maxOf(0.0, rate))
    }

    private class Sample(val atMillis: Long, val inFlight: Int, val takenTokens: Long)

    private companion object {
        /** Work is booked when a request starts; a longer interval evens that out. */
        const val RATE_MILLIS = 5_000L
    }
}
