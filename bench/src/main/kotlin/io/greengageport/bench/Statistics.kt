package io.greengageport.bench

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.HdrHistogram.Histogram

/** Percentiles of durations in milliseconds; all 0 if there are no values. */
@Serializable
internal data class Percentiles(
    val count: Long,
    val p50: Double,
    val p95: Double,
    val p99: Double,
    val max: Double
) {
    companion object {
        private const val LONGEST_MICROS = 600_000_000L
        private const val DIGITS = 3
        private const val NANOS_PER_MICRO = 1_000L
        private const val MICROS_PER_MILLI = 1_000.0

        /**
         * Computes the percentiles of durations in nanoseconds, with a precision of 0.1%.
         *
         * Durations above [LONGEST_MICROS] count as that duration.
         */
        fun ofNanos(nanos: Iterable<Long>): Percentiles {
            val h = Histogram(LONGEST_MICROS, DIGITS)
            for (n in nanos) h.recordValue((n / NANOS_PER_MICRO).coerceIn(0, LONGEST_MICROS))
            if (h.totalCount == 0L) return Percentiles(0, 0.0, 0.0, 0.0, 0.0)
            return Percentiles(
                h.totalCount,
                h.getValueAtPercentile(50.0) / MICROS_PER_MILLI,
                h.getValueAtPercentile(95.0) / MICROS_PER_MILLI,
                h.getValueAtPercentile(99.0) / MICROS_PER_MILLI,
                h.maxValue / MICROS_PER_MILLI
            )
        }
    }
}

/** Results of all requests of one rank and organisation class. */
@Serializable
internal data class ClassRow(
    val rank: String,
    @SerialName("class") val organisationClass: String,
    val offered: Int,
    val answered: Int,
    val refused: Int,
    val interrupted: Int,
    @SerialName("connection_lost") val connectionLost: Int,
    /** Number of attempts after the first one of each request. */
    val resent: Int,
    @SerialName("first_token_ms") val firstToken: Percentiles,
    @SerialName("between_tokens_ms") val betweenTokens: Percentiles,
    @SerialName("tokens_per_second") val tokensPerSecond: Double
) {
    val answeredShare: Double get() = if (offered == 0) 1.0 else answered.toDouble() / offered
}

/** Results of one rank for the requests that are scheduled within one second. */
@Serializable
internal data class SecondRow(
    val rank: String,
    val second: Int,
    val offered: Int,
    val answered: Int,
    /** Null if no request of this second was answered with a token. */
    @SerialName("p95_first_token_ms") val p95FirstToken: Double?
)

/** Computes the statistics of a run of [seconds] from the results of its requests. */
internal class Statistics(private val results: List<CallResult>, private val seconds: Int) {
    /** Returns one row for each rank and organisation class, sorted by both. */
    fun rows(): List<ClassRow> = results
        .groupBy { it.rank to it.arrival.group.organisationClass }
        .map { (k, r) -> row(k.first, k.second, r) }
        .sortedWith(compareBy({ it.rank }, { it.organisationClass }))

    /** The ranks of all requests, sorted. */
    fun ranks(): List<String> = results.map { it.rank }.distinct().sorted()

    /** Number of failed attempts by error code and reported execution. */
    fun failures(): Map<String, Int> = results.flatMap { it.attempts }
        .filter { it.end != CallEnd.ANSWERED }
        .groupingBy { "${it.code} (${it.execution.ifEmpty { "nothing said" }})" }
        .eachCount().toSortedMap()

    /** Number of attempts by fault of their text; empty in a correct run. */
    fun faults(): Map<String, Int> = results.flatMap { it.attempts }.mapNotNull { it.fault }
        .groupingBy { it.name.lowercase() }.eachCount().toSortedMap()

    /** Tokens that callers received in all attempts. */
    fun tokensReceived(): Long = results.sumOf { it.tokensReceived.toLong() }

    /** Returns one row for each rank and second. */
    fun seconds(): List<SecondRow> = ranks().flatMap { rank ->
        bucketsBySecond(rank, 0.0, seconds.toDouble()).mapIndexed { i, b ->
            SecondRow(rank, i, b.offered, b.answered, b.p95Millis)
        }
    }

    /** Recovery times of all ranks after an event at [atSeconds], until [untilSeconds]. */
    fun recovery(event: String, atSeconds: Double, untilSeconds: Double): List<RecoveryTime> =
        ranks().map { rank ->
            val first = maxOf(0.0, atSeconds - Recovery.REFERENCE_SECONDS)
            RecoveryTime(
                event,
                rank,
                Recovery.secondsToRecover(
                    before = bucketsBySecond(rank, first, atSeconds),
                    after = bucketsBySecond(rank, atSeconds, untilSeconds)
                )
            )
        }

    /** Mean tokens per second of answered requests, for tokens received in the given [seconds]. */
    fun tokensPerSecond(seconds: Collection<Int>): Double {
        val counted = seconds.toSet()
        if (counted.isEmpty()) return 0.0
        val tokens = results.filter { it.isAnswered }.sumOf { r ->
            r.lastAttempt.tokenNanos.count { (it / NANOS_PER_SECOND).toInt() in counted }
        }
        return tokens.toDouble() / counted.size
    }

    private fun bucketsBySecond(rank: String, from: Double, until: Double): List<Bucket> {
        val count = maxOf(0, (until - from).toInt())
        val start = (from * NANOS_PER_SECOND).toLong()
        val bySecond = results.filter { it.rank == rank && it.arrival.atNanos >= start }
            .groupBy { ((it.arrival.atNanos - start) / NANOS_PER_SECOND).toInt() }
        return List(count) { i ->
            val r = bySecond[i].orEmpty()
            Bucket(
                offered = r.size,
                answered = r.count { it.isAnswered },
                firstTokenMillis = r.filter { it.isAnswered }
                    .mapNotNull { it.firstTokenNanos?.div(NANOS_PER_MILLI) }
            )
        }
    }

    private fun row(rank: String, organisationClass: String, r: List<CallResult>): ClassRow {
        val answered = r.filter { it.isAnswered }
        fun countEndedWith(end: CallEnd) = r.count { it.lastAttempt.end == end }
        return ClassRow(
            rank = rank,
            organisationClass = organisationClass,
            offered = r.size,
            answered = answered.size,
            refused = countEndedWith(CallEnd.REFUSED),
            interrupted = countEndedWith(CallEnd.INTERRUPTED),
            connectionLost = countEndedWith(CallEnd.CONNECTION_LOST),
            resent = r.sumOf { it.attempts.size - 1 },
            firstToken = Percentiles.ofNanos(answered.mapNotNull { it.firstTokenNanos }),
            betweenTokens = Percentiles.ofNanos(answered.flatMap { it.tokenGapsNanos }),
            // Tokens that arrive after the run would raise the rate above the fleet capacity.
            tokensPerSecond = answered.sumOf { tokensWithin(it) }.toDouble() / seconds
        )
    }

    private fun tokensWithin(r: CallResult): Int =
        r.lastAttempt.tokenNanos.count { it <= seconds * NANOS_PER_SECOND }

    private companion object {
        const val NANOS_PER_SECOND = 1_000_000_000L
        const val NANOS_PER_MILLI = 1e6
    }
}
