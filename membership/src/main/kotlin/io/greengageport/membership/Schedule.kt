package io.greengageport.membership

import kotlin.random.Random

/**
 * Timers for the periodic work of an instance, in monotonic milliseconds. The first due time is
 * random within the period, so that instances started together do not act at the same time.
 *
 * A call of an `is...Due` function that returns true also schedules the next due time. Not
 * thread-safe.
 */
internal class Schedule(private val timings: PeerTimings, private val random: Random) {
    private class Timer(var dueMillis: Long? = null)

    private val probe = Timer()
    private val sync = Timer()
    private val failedRetry = Timer()
    private val seed = Timer()
    private val expiry = Timer()
    private var wasJoining = true

    fun isProbeDue(now: Long): Boolean = probe.isDue(now, timings.probePeriod.inWholeMilliseconds)

    fun isSyncDue(now: Long): Boolean = sync.isDue(now, timings.syncPeriod.inWholeMilliseconds)

    fun isRetryDue(now: Long): Boolean =
        failedRetry.isDue(now, timings.failedRetryPeriod.inWholeMilliseconds)

    fun isExpiryDue(now: Long): Boolean = expiry.isDue(now, EXPIRY_PERIOD_MILLIS)

    /**
     * The period is [PeerTimings.probePeriod] while the instance knows no peers, and
     * [PeerTimings.seedPeriod] otherwise.
     */
    fun isSeedDue(now: Long, isJoining: Boolean): Boolean {
        if (isJoining && !wasJoining) seed.dueMillis = now
        if (isJoining && seed.dueMillis == null) seed.dueMillis = now
        wasJoining = isJoining
        val period = if (isJoining) timings.probePeriod else timings.seedPeriod
        return seed.isDue(now, period.inWholeMilliseconds)
    }

    /** Schedules the next anti-entropy exchange after one probe period. */
    fun scheduleSyncSoon(now: Long) {
        sync.dueMillis = now + timings.probePeriod.inWholeMilliseconds
    }

    private fun Timer.isDue(now: Long, periodMillis: Long): Boolean {
        val due = dueMillis ?: (now + random.nextLong(periodMillis)).also { dueMillis = it }
        if (now < due) return false
        dueMillis = if (now - due < periodMillis) due + periodMillis else now + periodMillis
        return true
    }

    private companion object {
        const val EXPIRY_PERIOD_MILLIS = 1_000L
    }
}
