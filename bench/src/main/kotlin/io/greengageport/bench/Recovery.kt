package io.greengageport.bench

import kotlinx.serialization.Serializable

/** Requests of one rank that callers intended to send within one second. */
internal class Bucket(val offered: Int, val answered: Int, val firstTokenMillis: List<Double>) {
    val answeredShare: Double get() = if (offered == 0) 1.0 else answered.toDouble() / offered

    val p95Millis: Double? get() = percentile(firstTokenMillis, P95)

    companion object {
        private const val P95 = 0.95

        /** One bucket with the requests of all [buckets]. */
        fun merge(buckets: List<Bucket>) = Bucket(
            buckets.sumOf { it.offered },
            buckets.sumOf { it.answered },
            buckets.flatMap { it.firstTokenMillis }
        )

        /** The nearest-rank percentile [q] of [values]; null without values. */
        fun percentile(values: List<Double>, q: Double): Double? {
            if (values.isEmpty()) return null
            val rank = kotlin.math.ceil(q * values.size).toInt().coerceAtLeast(1)
            return values.sorted()[rank - 1]
        }
    }
}

/** Recovery of a rank after an event; [seconds] is null if it did not recover in time. */
@Serializable
internal data class RecoveryTime(val event: String, val rank: String, val seconds: Int?)

/**
 * The rule for recovery times.
 *
 * A rank has recovered at the start of the first [STEADY] seconds in a row whose answered share is
 * at least 80% and whose p95 of the first token is at most 120% of the values of the up to
 * [BEFORE] seconds before the event. Seconds without requests say nothing and are passed over.
 */
internal object Recovery {
    const val BEFORE = 5
    const val STEADY = 3
    private const val TOLERANCE = 0.2

    /** Whole seconds from the event to recovery; null if there was none in [after]. */
    fun seconds(before: List<Bucket>, after: List<Bucket>): Int? {
        val reference = Bucket.merge(before.takeLast(BEFORE))
        if (reference.offered == 0) return null
        val used = after.withIndex().filter { it.value.offered > 0 }
        val needed = minOf(STEADY, used.size)
        if (needed == 0) return null
        for (i in 0..used.size - needed) {
            val run = used.subList(i, i + needed)
            if (run.all { isBack(it.value, reference) }) return run.first().index
        }
        return null
    }

    private fun isBack(b: Bucket, reference: Bucket): Boolean {
        val p95 = b.p95Millis
        val limit = reference.p95Millis
        val shareIsBack = b.answeredShare >= reference.answeredShare * (1 - TOLERANCE)
        val latencyIsBack = limit == null || p95 == null || p95 <= limit * (1 + TOLERANCE)
        return shareIsBack && latencyIsBack
    }
}
