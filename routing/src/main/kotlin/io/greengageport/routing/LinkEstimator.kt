package io.greengageport.routing

import io.greengageport.common.Clock
import io.greengageport.common.DataCentre
import io.greengageport.common.RunnerId
import java.util.concurrent.ConcurrentHashMap

/**
 * Estimates hop times between stages with exponentially weighted moving averages.
 *
 * There is one average per pair of data centres, and one per pair of runners for at most [maxPairs]
 * pairs; the least recently observed pair is evicted first. The average of a pair of runners is
 * used in decisions only while it deviates from that of the data centres by more than a factor of
 * [DEVIATION]. This keeps chain selection cheap, as it mostly works with data centres. Thread-safe.
 *
 * Chains avoid a slow pair, so it is no longer observed. Its deviation therefore expires
 * [RETRY_MILLIS] after the last observation, so that a link that has recovered is used again. The
 * time doubles whenever the pair is found to be still slow.
 */
public class LinkEstimator(
    private val clock: Clock,
    private val weight: Double = DEFAULT_WEIGHT,
    private val maxPairs: Int = DEFAULT_MAX_PAIRS,
    private val localMillis: Double = DEFAULT_LOCAL_MILLIS,
    private val remoteMillis: Double = DEFAULT_REMOTE_MILLIS
) {
    private data class RunnerPair(val from: RunnerId, val to: RunnerId)

    /** The average of a pair, used until [untilMillis] if it deviates, after [retries] retries. */
    private class Average(val millis: Double, val untilMillis: Long, val retries: Int)

    private val dataCentres = ConcurrentHashMap<kotlin.Pair<DataCentre, DataCentre>, Double>()
    private val pairs = LinkedHashMap<RunnerPair, Average>(INITIAL_PAIRS, LOAD_FACTOR, true)
    private val deviating = ConcurrentHashMap<RunnerId, Map<RunnerId, Average>>()

    init {
        require(weight > 0 && weight <= 1) { "the weight must be in (0, 1], but is $weight" }
    }

    /** Records the time of one hop between two stages, in milliseconds. */
    public fun observe(from: Runner, to: Runner, millis: Double) {
        require(millis >= 0) { "the time of a hop must not be negative, but is $millis ms" }
        observe(from.dataCentre, to.dataCentre, millis)
        val pair = RunnerPair(from.id, to.id)
        synchronized(pairs) {
            val centreMillis = hopMillis(from.dataCentre, to.dataCentre)
            val average = nextAverage(pairs[pair], millis, centreMillis)
            pairs[pair] = average
            updateDeviation(pair, average, centreMillis)
            if (pairs.size > maxPairs) {
                val oldest = pairs.keys.first()
                pairs.remove(oldest)
                clearDeviation(oldest)
            }
        }
    }

    /** Records the time of one hop between two data centres, in milliseconds. */
    public fun observe(from: DataCentre, to: DataCentre, millis: Double) {
        // The step is bounded, so that a slow pair still deviates from the average it is part of.
        dataCentres.merge(from to to, millis) { old, new ->
            blend(old, minOf(new, old * DEVIATION))
        }
    }

    /** Expected time of a hop between two data centres, in milliseconds. */
    public fun hopMillis(from: DataCentre, to: DataCentre): Double =
        dataCentres[from to to] ?: if (from == to) localMillis else remoteMillis

    /** Expected time of a hop between two runners, in milliseconds. */
    public fun hopMillis(from: Runner, to: Runner): Double =
        deviating[to.id]?.get(from.id)?.takeIf { it.untilMillis > clock.monotonicMillis() }?.millis
            ?: hopMillis(from.dataCentre, to.dataCentre)

    /** Hop times in ms into [to] that deviate from those of the data centres, by sender. */
    internal fun deviationsInto(to: RunnerId): Map<RunnerId, Double> =
        deviating[to]?.let { senders ->
            val now = clock.monotonicMillis()
            senders.filterValues { it.untilMillis > now }.mapValues { it.value.millis }
        } ?: emptyMap()

    /** Removes the averages of a runner that left the fleet. */
    public fun forget(runner: RunnerId): Unit = synchronized(pairs) {
        pairs.keys.filter { it.from == runner || it.to == runner }.forEach {
            pairs.remove(it)
            clearDeviation(it)
        }
    }

    private fun nextAverage(old: Average?, millis: Double, centreMillis: Double): Average {
        val now = clock.monotonicMillis()
        val isRetry = old != null && old.untilMillis <= now
        // Observations from before the pause say little about the current state of the link.
        val average = if (old == null || isRetry) millis else blend(old.millis, millis)
        val retries = when {
            old == null || average <= centreMillis * DEVIATION -> 0
            isRetry -> minOf(old.retries + 1, MAX_DOUBLINGS)
            else -> old.retries
        }
        return Average(average, now + (RETRY_MILLIS shl retries), retries)
    }

    private fun blend(old: Double, new: Double) = old + weight * (new - old)

    private fun updateDeviation(pair: RunnerPair, average: Average, centreMillis: Double) {
        val pairMillis = average.millis
        val isDeviating =
            pairMillis > centreMillis * DEVIATION || pairMillis * DEVIATION < centreMillis
        if (isDeviating) {
            deviating.merge(pair.to, mapOf(pair.from to average)) { a, b -> a + b }
        } else {
            clearDeviation(pair)
        }
    }

    private fun clearDeviation(pair: RunnerPair) {
        deviating.computeIfPresent(pair.to) { _, senders ->
            (senders - pair.from).ifEmpty { null }
        }
    }

    public companion object {
        public const val DEFAULT_WEIGHT: Double = 0.2
        public const val DEFAULT_MAX_PAIRS: Int = 4_096
        public const val DEFAULT_LOCAL_MILLIS: Double = 0.05
        public const val DEFAULT_REMOTE_MILLIS: Double = 0.25

        /** Factor from which on a pair of runners counts as deviating from its data centres. */
        public const val DEVIATION: Double = 2.0

        /** Time after which a slow pair that is no longer observed is tried again. */
        public const val RETRY_MILLIS: Long = 10_000

        /** Limits the time between two tries of a pair that stays slow to about five minutes. */
        private const val MAX_DOUBLINGS = 5
        private const val INITIAL_PAIRS = 16
        private const val LOAD_FACTOR = 0.75f
    }
}
