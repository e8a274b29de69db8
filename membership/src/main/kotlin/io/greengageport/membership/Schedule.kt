package io.greengageport.membership

import kotlin.random.Random

/**
 * When the periodic work of an instance is due. First times are random within the period, so that
 * instances started together do not act together. Not thread-safe.
 */
internal class Schedule(private val timings: PeerTimings, private val random: Random) {
    private class Timer(var due: Long? = null)

    private val probe = Timer()
    private val sync = Timer()
    private val retry = Timer()
    private val seed = Timer()
    private val expiry = Timer()
    private var wasJoining = true

    fun isProbeDue(now: Long): Boolean = probe.isDue(now, timings.probePeriod.inWholeMilliseconds)

    fun isSyncDue(now: Long): Boolean = sync.isDue(now, timings.syncPeriod.inWholeMilliseconds)

    fun isRetryDue(now: Long): Boolean =
        retry.isDue(now, timings.failedRetryPeriod.inWholeMilliseconds)

    fun isExpiryDue(now: Long): Boolean = expiry.isDue(now, EXPIRY_MILLIS)

    /** An instance without peers asks a seed at each probe period, others now and then. */
    fun isSeedDue(now: Long, isJoining: Boolean): Boolean {
        if (isJoining && !wasJoining) seed.due = now
        if (isJoining && seed.due == null) seed.due = now
        wasJoining = isJoining
        val period = if (isJoining) timings.probePeriod else timings.seedPeriod
        return seed.isDue(now, period.inWholeMilliseconds)
    }

    fun synchroniseSoon(now: Long) {
        sync.due = now + timings.probePeriod.inWholeMilliseconds
    }

    private fun Timer.isDue(now: Long, period: Long): Boolean {
        val at = due ?: (now + random.nextLong(period)).also { due = it }
        if (now < at) return false
        due = if (now - at < period) at + period else now + period
        return true
    }

    private companion object {
        const val EXPIRY_MILLIS = 1_000L
    }
}
