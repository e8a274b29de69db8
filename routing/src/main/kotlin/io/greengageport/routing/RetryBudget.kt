package io.greengageport.routing

import io.greengageport.common.Clock
import io.greengageport.common.RankName
import kotlin.math.ceil
import kotlin.random.Random

/**
 * Limits retries and resumes to a share of the admitted requests.
 *
 * Each admitted request adds [share] of a token, which expires after [WINDOW_MILLIS]. A retry takes
 * one token; a resume takes only the share of the work that is repeated. Over any 10 s that end
 * with a retry, the work at backend servers is therefore at most `1 + share` times that of the
 * admitted requests. [reserves] is the share of the tokens reserved for each rank; a rank uses its
 * own share first, then unreserved tokens. Shares that sum up to more than 1 are scaled down
 * to 1. [minimum] retries per window are always allowed; with the default of 0, fewer than 10
 * requests in 10 s allow no retry. [allowance] retries per window are allowed in addition to the
 * earned ones.
 *
 * With [fleet], the instances of a fleet share one budget. The loss of engines breaks streams of
 * only a few instances at a time, and these can then use what the others leave. Usage is known to
 * the other instances only after [USAGE_LAG_MILLIS], so each instance takes at most its part of the
 * remaining budget within that time. This keeps the total within the budget. [reserves], [minimum]
 * and [allowance] do not apply then; [FleetRetries] has an allowance of its own.
 *
 * A retry that surely reached no server adds no load and is returned with [returnRetry].
 * Thread-safe.
 *
 * ```
 * when (val retry = budget.tryRetry(attempt = 1, rank)) {
 *     is RetryDecision.Allowed -> delay(retry.delayMillis)
 *     is RetryDecision.Denied -> answerWithError()
 * }
 * ```
 */
public class RetryBudget(
    private val clock: Clock,
    private val random: Random,
    private val share: Double = DEFAULT_SHARE,
    private val reserves: () -> Map<RankName, Double> = { emptyMap() },
    private val minimum: () -> Int = { 0 },
    private val allowance: () -> Int = { 0 },
    private val fleet: () -> FleetRetries? = { null },
    private val backoff: Backoff = Backoff()
) {
    private val admitted = SlidingCounter()
    private val retries = HashMap<RankName, SlidingCounter>()
    private var lastDrawAtMillis: Long? = null

    init {
        require(share >= 0) { "the share of retries must not be negative: $share" }
    }

    /** Records an admitted request. */
    @Synchronized
    public fun recordAdmission() {
        admitted.add(clock.monotonicMillis(), UNITS.toLong())
    }

    /**
     * Decides on a retry or resume of a request of [rank] after [attempt] attempts, and counts it
     * if it is allowed. [cost] is the share of the work that is repeated, which is 1 unless an
     * answer is resumed. [backoff] overrides that of the budget, for services with own settings.
     */
    @Synchronized
    public fun tryRetry(
        attempt: Int,
        rank: RankName,
        cost: Double = 1.0,
        backoff: Backoff = this.backoff
    ): RetryDecision {
        require(cost > 0 && cost <= 1) { "the cost of a retry must be in (0, 1], but is $cost" }
        val now = clock.monotonicMillis()
        fleet()?.let { return tryFleetRetry(it, attempt, rank, cost, backoff) }
        // Rounds admitted requests down and retries up to whole slots, to stay within the budget.
        val earned = admitted.inWholeSlots(now) / UNITS * share
        val used = retries.mapValues { it.value.inAllSlots(now) / UNITS }
        val totalUsed = used.values.sum()
        // The unused part of a reserve counts as used, so that no other rank can take it.
        val unusedReserves = shares().entries.sumOf { (name, share) ->
            val own = (used[name] ?: 0.0) + if (name == rank) cost else 0.0
            maxOf(0.0, earned * share - own)
        }
        if (totalUsed + cost >
            maxOf(earned - unusedReserves + ROUNDING, minimum().toDouble()) + allowance()
        ) {
            return RetryDecision.Denied(totalUsed, earned)
        }
        retries.keys.removeAll { used[it] == 0.0 && it != rank }
        return allow(attempt, rank, cost, backoff)
    }

    /**
     * Returns [retry] to the budget, because its attempt surely reached no server. Has no effect if
     * it has been returned before, or has left the window.
     */
    @Synchronized
    public fun returnRetry(retry: RetryDecision.Allowed) {
        val taken = retry.taken
        if (taken.isReturned) return
        taken.isReturned = true
        retries[taken.rank]?.remove(taken.atMillis, taken.units)
        if (taken.isDrawn && lastDrawAtMillis == taken.atMillis) lastDrawAtMillis = null
    }

    /** Returns the usage of this instance in the current window, to report to the others. */
    @Synchronized
    public fun usage(): RetryUsage {
        val now = clock.monotonicMillis()
        return RetryUsage(
            used = retries.values.sumOf { it.inAllSlots(now) } / UNITS,
            earned = admitted.inWholeSlots(now) / UNITS * share
        )
    }

    private fun tryFleetRetry(
        fleet: FleetRetries,
        attempt: Int,
        rank: RankName,
        cost: Double,
        backoff: Backoff
    ): RetryDecision {
        val own = usage()
        val now = clock.monotonicMillis()
        val unreported = retries.values.sumOf { it.inLast(USAGE_LAG_MILLIS, now) } / UNITS
        val part = fleet.remaining(own) / fleet.instances
        return when {
            unreported + cost <= part + ROUNDING -> allow(attempt, rank, cost, backoff)

            unreported == 0.0 && drawRetry(part / cost) ->
                allow(attempt, rank, cost, backoff, isDrawn = true)

            else -> RetryDecision.Denied(own.used, own.earned)
        }
    }

    /**
     * Rounds a part of less than one retry up to a whole one at random, at most once per
     * [USAGE_LAG_MILLIS]. Without this, a large fleet would leave such parts unused.
     */
    private fun drawRetry(probability: Double): Boolean {
        val now = clock.monotonicMillis()
        if (now - (lastDrawAtMillis ?: (now - USAGE_LAG_MILLIS)) < USAGE_LAG_MILLIS) return false
        lastDrawAtMillis = now
        return random.nextDouble() < probability
    }

    private fun allow(
        attempt: Int,
        rank: RankName,
        cost: Double,
        backoff: Backoff,
        isDrawn: Boolean = false
    ): RetryDecision {
        val taken =
            TakenRetry(rank, ceil(cost * UNITS).toLong(), clock.monotonicMillis(), isDrawn)
        retries.getOrPut(rank) { SlidingCounter() }.add(taken.atMillis, taken.units)
        return RetryDecision.Allowed(backoff.delayMillis(attempt, random), taken)
    }

    private fun shares(): Map<RankName, Double> {
        val shares = reserves()
        val sum = shares.values.sum()
        return if (sum <= 1) shares else shares.mapValues { it.value / sum }
    }

    public companion object {
        public const val DEFAULT_SHARE: Double = 0.1
        public const val WINDOW_MILLIS: Long = 10_000

        /** Maximum delay of usage reports between the instances of a large fleet. */
        public const val USAGE_LAG_MILLIS: Long = 2_000

        /** Units per request in which work is counted. */
        private const val UNITS = 1_000.0

        /** Tolerance for rounding errors, such that ten times 0.1 allows one retry. */
        private const val ROUNDING = 1e-9
    }
}

/** The result of [RetryBudget.tryRetry]. */
public sealed interface RetryDecision {
    /** The retry is allowed after [delayMillis]. [taken] is what it took from the budget. */
    public class Allowed internal constructor(
        public val delayMillis: Long,
        internal val taken: TakenRetry
    ) : RetryDecision

    /** The budget is exhausted: [used] retries were made and [earned] ones earned in the window. */
    public data class Denied(val used: Double, val earned: Double) : RetryDecision
}

/**
 * The [units] that a retry of [rank] took from a budget at [atMillis] on the monotonic clock.
 * [isDrawn] tells whether it was allowed at random.
 */
internal class TakenRetry(
    val rank: RankName,
    val units: Long,
    val atMillis: Long,
    val isDrawn: Boolean
) {
    /** Whether it was returned, which is possible only once. */
    var isReturned = false
}

/** Exponential backoff with full jitter: a uniform delay below a bound that doubles. */
public class Backoff(
    private val baseMillis: Long = DEFAULT_BASE_MILLIS,
    private val maxMillis: Long = DEFAULT_MAX_MILLIS
) {
    init {
        require(baseMillis > 0) { "the first bound must be positive, but is $baseMillis ms" }
        require(maxMillis >= baseMillis) { "the maximum is below the first bound: $maxMillis ms" }
    }

    /** Returns a random delay before the retry that follows [attempt] attempts, in ms. */
    public fun delayMillis(attempt: Int, random: Random): Long {
        require(attempt > 0) { "the number of attempts must be positive, but is $attempt" }
        val doublings = minOf(attempt - 1, MAX_DOUBLINGS)
        val bound = if (baseMillis >
            maxMillis shr doublings
        ) {
            maxMillis
        } else {
            baseMillis shl doublings
        }
        return random.nextLong(bound + 1)
    }

    public companion object {
        public const val DEFAULT_BASE_MILLIS: Long = 20
        public const val DEFAULT_MAX_MILLIS: Long = 2_000
        private const val MAX_DOUBLINGS = 40
    }
}

/** Sliding-window counter over the last 10 s in slots of 100 ms. */
private class SlidingCounter {
    private val counts = LongArray(SLOTS)
    private val slotNumbers = LongArray(SLOTS) { -1 }

    fun add(nowMillis: Long, amount: Long) {
        val number = nowMillis / SLOT_MILLIS
        val i = (number % SLOTS).toInt()
        if (slotNumbers[i] != number) {
            slotNumbers[i] = number
            counts[i] = 0
        }
        counts[i] += amount
    }

    /** Removes an [amount] that was added at [addedAtMillis], unless it has left the window. */
    fun remove(addedAtMillis: Long, amount: Long) {
        val number = addedAtMillis / SLOT_MILLIS
        val i = (number % SLOTS).toInt()
        if (slotNumbers[i] == number) counts[i] = maxOf(0, counts[i] - amount)
    }

    /** Count of the slots that lie entirely in the last 10 s, and of the current slot. */
    fun inWholeSlots(nowMillis: Long): Long = since(nowMillis / SLOT_MILLIS - WHOLE_SLOTS + 1)

    /** Count of all slots that overlap the last 10 s. */
    fun inAllSlots(nowMillis: Long): Long = since(nowMillis / SLOT_MILLIS - WHOLE_SLOTS)

    /** Count of all slots that overlap the last [millis]. */
    fun inLast(millis: Long, nowMillis: Long): Long = since((nowMillis - millis) / SLOT_MILLIS)

    private fun since(number: Long): Long =
        counts.indices.sumOf { if (slotNumbers[it] >= number) counts[it] else 0L }

    private companion object {
        const val SLOT_MILLIS = 100L
        const val WHOLE_SLOTS = (RetryBudget.WINDOW_MILLIS / SLOT_MILLIS).toInt()
        const val SLOTS = WHOLE_SLOTS + 1
    }
}
