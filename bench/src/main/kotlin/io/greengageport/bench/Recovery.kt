package io.greengageport.bench

import kotlinx.serialization.Serializable

/** Requests of one rank that are scheduled within the same time span, usually one second. */
internal class Bucket(val offered: Int, val answered: Int, val firstTokenMillis: List<Double>) {
    val answeredShare: Double get() = if (offered == 0) 1.0 else answered.toDouble() / offered

    val p95Millis: Double? get() = percentile(firstTokenMillis, P95)

    companion object {
        private const val P95 = 0.95

        /** Returns one bucket with the requests of all [buckets]. */
        fun merge(buckets: List<Bucket>) = Bucket(
            buckets.sumOf { it.offered },
            buckets.sumOf { it.answered },
            buckets.flatMap { it.firstTokenMillis }
        )

        /** Returns the nearest-rank percentile [q], from 0 to 1; null if [values] is empty. */
        fun percentile(values: List<Double>, q: Double): Double? {
            if (values.isEmpty()) return null
            val rank = kotlin.math.ceil(q * values.size).toInt().coerceAtLeast(1)
            return values.sorted()[rank - 1]
        }
    }
}

/**
 * Recovery time of a rank after an event.
 *
 * [seconds] is null if the rank did not recover before the next event or the end of the run, or if
 * it has no requests before or after the event.
 */
@Serializable
internal data class RecoveryTime(val event: String, val rank: String, val seconds: Int?)

/**
 * Computes recovery times.
 *
 * The reference is the period of up to [REFERENCE_SECONDS] seconds before the event. A rank has
 * recovered at the start of the first [STEADY_SECONDS] consecutive seconds in which the answered
 * share is at least 80% and the p95 of the first token at most 120% of the reference. Seconds
 * without requests are skipped. If fewer than [STEADY_SECONDS] seconds have requests, all of these
 * must meet the condition.
 */
internal object Recovery {
    /** Seconds before an event that form the reference. */
    const val REFERENCE_SECONDS = 5

    /** Consecutive seconds within the tolerance that count as recovered. */
    const val STEADY_SECONDS = 3
    private const val TOLERANCE = 0.2

    /**
     * Returns the whole seconds from the event to recovery.
     *
     * The buckets cover one second each. Returns null if there is no recovery in [after], or no
     * request in [before] or [after].
     */
    fun secondsToRecover(before: List<Bucket>, after: List<Bucket>): Int? {
        val reference = Bucket.merge(before.takeLast(REFERENCE_SECONDS))
        if (reference.offered == 0) return null
        val used = after.withIndex().filter { it.value.offered > 0 }
        val needed = minOf(STEADY_SECONDS, used.size)
        if (needed == 0) return null
        for (i in 0..used.size - needed) {
            val run = used.subList(i, i + needed)
            if (run.all { hasRecovered(it.value, reference) }) return run.first().index
        }
        return null
    }

    private fun hasRecovered(b: Bucket, reference: Bucket): Boolean {
        val p95 = b.p95Millis
        val limit = reference.p95Millis
        val shareIsBack = b.answeredShare >= reference.answeredShare * (1 - TOLERANCE)
        val latencyIsBack = limit == null || p95 == null || p95 <= limit * (1 + TOLERANCE)
        return shareIsBack && latencyIsBack
    }
}
