package io.greengageport.limits

/**
 * Keeps samples of this instance's own load for [retentionMillis], so that load reports can be
 * compared with the own load at the time of the report.
 *
 * Load reports carry wall-clock times; callers subtract the age of a report from the monotonic
 * clock to get the time to look up.
 *
 * ```
 * history.record(controller.state, now)
 * val own = history.loadAt(now - reportAgeMillis)
 * controller.updateCapacity(share.capacity(fleet, own, liveInstances))
 * ```
 */
public class OwnLoadHistory(private val retentionMillis: Long = 30_000) {
    private val samples = ArrayDeque<Sample>()

    /** Adds a sample; must be called about once per second, and before the first [loadAt]. */
    public fun record(state: AdmissionState, nowMillis: Long) {
        samples += Sample(nowMillis, state.inFlight, state.admittedTokens)
        while (samples.first().atMillis < nowMillis - retentionMillis) samples.removeFirst()
    }

    /**
     * The load at [millis] on the monotonic clock, or the earliest one recorded; no load if nothing
     * was recorded.
     */
    public fun loadAt(millis: Long): OwnLoad {
        val end = samples.lastOrNull { it.atMillis <= millis } ?: samples.firstOrNull()
        if (end == null) return OwnLoad(inUseSlots = 0.0)
        val start = samples.last {
            it.atMillis <= end.atMillis - RATE_WINDOW_MILLIS ||
                it == samples.first()
        }
        val elapsed = (end.atMillis - start.atMillis).coerceAtLeast(1)
        val rate = (end.admittedTokens - start.admittedTokens) * MILLIS_PER_SECOND / elapsed
        return OwnLoad(end.inFlight.toDouble(), maxOf(0.0, rate))
    }

    private class Sample(val atMillis: Long, val inFlight: Int, val admittedTokens: Long)

    private companion object {
        /** Work is recorded when a request starts; averaging over a longer window smooths that. */
        const val RATE_WINDOW_MILLIS = 5_000L
    }
}
