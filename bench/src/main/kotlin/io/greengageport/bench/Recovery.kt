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
 * [seconds] is null if the rank did not recover before the next event or the end of the run.
 */
@Serializable
internal data class RecoveryTime(val event: String, val rank: String, val seconds: Int?)

/**
 * Computes recovery times.
 *
 * The reference is the period of up to [BEFORE] seconds before the event. A rank has recovered at
 * the start of the first [STEADY] consecutive seconds in which the answered share is at least 80%
 * and the p95 of the first token at most 120% of the reference. Seconds without requests are
 * skipped.
 */
internal object Recovery {
    /** Seconds before an event that form the reference. */
    const val BEFORE = 5

    /** Consecutive seconds within the tolerance that count as recovered. */
    const val STEADY = 3
    private const val TOLERANCE = 0.2

    /** Returns the whole seconds from the event to recovery; null if there is none in [after]. */
    fun secondsToRecover(before: List<Bucket>, after: List<Bucket>): Int? {
        val reference = Bucket.merge(before.takeLast(BEFORE))
        if (reference.offered == 0) return null
        val used = after.withIndex().filter { it.value.offered > 0 }
        val needed = minOf(STEADY, used.size)
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
