package io.greengageport.routing

import io.greengageport.common.Clock
import io.greengageport.common.RankName
import kotlin.math.ceil
import kotlin.random.Random

/**
 * Bounds retries and resumes to a share of the requests admitted.
 *
 * Each admitted request adds [share] of a token, which lapses after [WINDOW_MILLIS]; a retry takes
 * one, and a resume only the part of the request's work that is done again. Over any 10 s that end
 * with a retry, the work at backend servers therefore stays at or below `1 + share` times that of
 * the requests admitted. [reserves] states the share of the tokens that only the named rank may
 * use; a rank uses its own share first, then what is reserved for none. Shares of more than 1 in
 * sum are scaled down to 1. [minimum] retries per window are allowed in any case; with the default
 * of 0, fewer than 10 requests in 10 s allow no retry. [allowance] retries per window come on top
 * of what the requests earn.
 *
 * With [fleet], the instances of a fleet share one budget: lost engines take streams of few
 * instances at a time, and these may use what the others leave. Since they know each other's use
 * only after [LAG_MILLIS], each takes at most its part of what is left within that time, so that
 * together they never use more than there is. Thread-safe.
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
    private val admitted = SlidingCount()
    private val retries = HashMap<RankName, SlidingCount>()
    private var drawnAtMillis: Long? = null

    init {
        require(share >= 0) { "the share of retries is not negative: $share" }
    }

    /** Counts an admitted request. */
    @Synchronized
    public fun admitted() {
        admitted.add(clock.monotonicMillis(), UNITS.toLong())
    }

    /**
     * Asks for a retry or resume of a request of [rank] after [attempt] attempts; an allowed one is
     * counted. [cost] is the part of the request's work that is done again: 1 unless an answer is
     * resumed. A service may have a [backoff] of its own.
     */
    @Synchronized
    public fun tryRetry(
        attempt: Int,
        rank: RankName,
        cost: Double = 1.0,
        backoff: Backoff = this.backoff
    ): RetryDecision {
        require(cost > 0 && cost <= 1) { "the repeated work is a part of a request: $cost" }
        val now = clock.monotonicMillis()
        fleet()?.let { return tryShared(it, attempt, rank, cost, backoff) }
        // Whole slots only for what is admitted, part slots too for retries: never too many.
        val earned = admitted.inWholeSlots(now) / UNITS * share
        val used = retries.mapValues { it.value.inAllSlots(now) / UNITS }
        val all = used.values.sum()
        // What a rank leaves of its share counts as used, so that no other rank takes it.
        val kept = shares().entries.sumOf { (name, share) ->
            val own = (used[name] ?: 0.0) + if (name == rank) cost else 0.0
            maxOf(0.0, earned * share - own)
        }
        if (all + cost > maxOf(earned - kept + ROUNDING, minimum().toDouble()) + allowance()) {
            return RetryDecision.Denied(all, earned)
        }
        retries.keys.removeAll { used[it] == 0.0 && it != rank }
        return allow(attempt, rank, cost, backoff)
    }

    /** What this instance used and earned in the window, to tell the others. */
    @Synchronized
    public fun usage(): RetryUsage {
        val now = clock.monotonicMillis()
        return RetryUsage(
            used = retries.values.sumOf { it.inAllSlots(now) } / UNITS,
            earned = admitted.inWholeSlots(now) / UNITS * share
        )
    }

    private fun tryShared(
        fleet: FleetRetries,
        attempt: Int,
        rank: RankName,
        cost: Double,
        backoff: Backoff
    ): RetryDecision {
        val own = usage()
        val now = clock.monotonicMillis()
        val untold = retries.values.sumOf { it.inLast(LAG_MILLIS, now) } / UNITS
        val part = fleet.left(own) / fleet.instances
        val mayTake = untold + cost <= part + ROUNDING || (untold == 0.0 && draws(part / cost))
        return if (mayTake) {
            allow(attempt, rank, cost, backoff)
        } else {
            RetryDecision.Denied(own.used, own.earned)
        }
    }

    /**
     * Draws once within [LAG_MILLIS] whether a part of less than one retry becomes a whole one; a
     * large fleet would leave such parts unused.
     */
    private fun draws(probability: Double): Boolean {
        val now = clock.monotonicMillis()
        if (now - (drawnAtMillis ?: (now - LAG_MILLIS)) < LAG_MILLIS) return false
        drawnAtMillis = now
        return random.nextDouble() < probability
    }

    private fun allow(attempt: Int, rank: RankName, cost: Double, backoff: Backoff): RetryDecision {
        retries.getOrPut(rank) { SlidingCount() }
            .add(clock.monotonicMillis(), ceil(cost * UNITS).toLong())
        return RetryDecision.Allowed(backoff.delayMillis(attempt, random))
    }

    private fun shares(): Map<RankName, Double> {
        val shares = reserves()
        val sum = shares.values.sum()
        return if (sum <= 1) shares else shares.mapValues { it.value / sum }
    }

    public companion object {
        public const val DEFAULT_SHARE: Double = 0.1
        public const val WINDOW_MILLIS: Long = 10_000

        /** Reports between the instances of a large fleet take so long at most. */
        public const val LAG_MILLIS: Long = 2_000

        /** Parts of a request in which work is counted. */
        private const val UNITS = 1_000.0

        /** Keeps ten times 0.1 from being less than one. */
        private const val ROUNDING = 1e-9
    }
}

/** Whether a retry may be made. */
public sealed interface RetryDecision {
    /** The retry may be made after [delayMillis]. */
    public data class Allowed(val delayMillis: Long) : RetryDecision

    /** [used] retries of the window's [earned] were made. */
    public data class Denied(val used: Double, val earned: Double) : RetryDecision
}

/** Exponential backoff with full jitter: a uniform delay below a bound that doubles. */
public class Backoff(
    private val baseMillis: Long = DEFAULT_BASE_MILLIS,
    private val maxMillis: Long = DEFAULT_MAX_MILLIS
) {
    init {
        require(baseMillis > 0) { "the first bound is positive: $baseMillis ms" }
        require(maxMillis >= baseMillis) { "the last bound is below the first: $maxMillis ms" }
    }

    /** Delay before the retry that follows [attempt] attempts, in milliseconds. */
    public fun delayMillis(attempt: Int, random: Random): Long {
        require(attempt > 0) { "a retry follows at least one attempt, not $attempt" }
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

/** Counts events of the last 10 s in slots of 100 ms. */
private class SlidingCount {
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

    /** Events of slots that lie in the last 10 s as a whole, and of the current slot. */
    fun inWholeSlots(nowMillis: Long): Long = since(nowMillis / SLOT_MILLIS - WHOLE_SLOTS + 1)

    /** Events of all slots of which any part lies in the last 10 s. */
    fun inAllSlots(nowMillis: Long): Long = since(nowMillis / SLOT_MILLIS - WHOLE_SLOTS)

    /** Events of the slots of which any part lies in the last [millis]. */
    fun inLast(millis: Long, nowMillis: Long): Long = since((nowMillis - millis) / SLOT_MILLIS)

    private fun since(number: Long): Long =
        counts.indices.sumOf { if (slotNumbers[it] >= number) counts[it] else 0L }

    private companion object {
        const val SLOT_MILLIS = 100L
        const val WHOLE_SLOTS = (RetryBudget.WINDOW_MILLIS / SLOT_MILLIS).toInt()
        const val SLOTS = WHOLE_SLOTS + 1
    }
}
