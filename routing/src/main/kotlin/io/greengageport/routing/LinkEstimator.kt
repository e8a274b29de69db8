package io.greengageport.routing

import io.greengageport.common.Clock
import io.greengageport.common.DataCentre
import io.greengageport.common.RunnerId
import java.util.concurrent.ConcurrentHashMap

/**
 * Estimates hop times between stages by exponentially weighted moving averages.
 *
 * There is one average per pair of data centres, and one per pair of runners for at most
 * [maxPairs] pairs, the least recently observed of which is forgotten first. A pair of runners
 * counts in decisions only while it deviates from its data centres by more than [DEVIATION]; this
 * keeps chain selection cheap, as it then works with data centres. Thread-safe.
 *
 * A slow pair is avoided, and so no longer observed. Its deviation therefore ends [RETRY_MILLIS]
 * after the last observation, and later each time that the pair turns out to be still slow, so that
 * a link that has recovered is used again.
 */
public class LinkEstimator(
    private val clock: Clock,
    private val weight: Double = DEFAULT_WEIGHT,
    private val maxPairs: Int = DEFAULT_MAX_PAIRS,
    private val localMillis: Double = DEFAULT_LOCAL_MILLIS,
    private val remoteMillis: Double = DEFAULT_REMOTE_MILLIS
) {
    private data class Pair(val from: RunnerId, val to: RunnerId)

    /** A pair's average, which counts until [untilMillis] if it deviates; [retries] so far. */
    private class Average(val millis: Double, val untilMillis: Long, val retries: Int)

    private val dataCentres = ConcurrentHashMap<kotlin.Pair<DataCentre, DataCentre>, Double>()
    private val pairs = LinkedHashMap<Pair, Average>(INITIAL_PAIRS, LOAD_FACTOR, true)
    private val deviating = ConcurrentHashMap<RunnerId, Map<RunnerId, Average>>()

    init {
        require(weight > 0 && weight <= 1) { "the weight of an observation is in (0, 1]: $weight" }
    }

    /** Takes in the time of one hop between two stages, in milliseconds. */
    public fun observe(from: Runner, to: Runner, millis: Double) {
        require(millis >= 0) { "a hop takes no negative time: $millis ms" }
        observe(from.dataCentre, to.dataCentre, millis)
        val pair = Pair(from.id, to.id)
        synchronized(pairs) {
            val usual = hopMillis(from.dataCentre, to.dataCentre)
            val average = next(pairs[pair], millis, usual)
            pairs[pair] = average
            setDeviation(pair, average, usual)
            if (pairs.size > maxPairs) {
                val oldest = pairs.keys.first()
                pairs.remove(oldest)
                clearDeviation(oldest)
            }
        }
    }

    /** Takes in the time of one hop between two data centres, in milliseconds. */
    public fun observe(from: DataCentre, to: DataCentre, millis: Double) {
        // Bounded, so that a single slow pair stands out from the average that it takes part in.
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

    /** Hop times into [to] that deviate from those of the data centres, by sender. */
    internal fun deviationsInto(to: RunnerId): Map<RunnerId, Double> =
        deviating[to]?.let { senders ->
            val now = clock.monotonicMillis()
            senders.filterValues { it.untilMillis > now }.mapValues { it.value.millis }
        } ?: emptyMap()

    /** Drops what is known of the links of a runner that left the fleet. */
    public fun forget(runner: RunnerId): Unit = synchronized(pairs) {
        pairs.keys.filter { it.from == runner || it.to == runner }.forEach {
            pairs.remove(it)
            clearDeviation(it)
        }
    }

    private fun next(old: Average?, millis: Double, usual: Double): Average {
        val now = clock.monotonicMillis()
        val isRetry = old != null && old.untilMillis <= now
        // What was measured before the pause says little about the link of now.
        val average = if (old == null || isRetry) millis else blend(old.millis, millis)
        val retries = when {
            old == null || average <= usual * DEVIATION -> 0
            isRetry -> minOf(old.retries + 1, MAX_DOUBLINGS)
            else -> old.retries
        }
        return Average(average, now + (RETRY_MILLIS shl retries), retries)
    }

    private fun blend(old: Double, new: Double) = old + weight * (new - old)

    private fun setDeviation(pair: Pair, average: Average, usual: Double) {
        val own = average.millis
        val differs = own > usual * DEVIATION || own * DEVIATION < usual
        if (differs) {
            deviating.merge(pair.to, mapOf(pair.from to average)) { a, b -> a + b }
        } else {
            clearDeviation(pair)
        }
    }

    private fun clearDeviation(pair: Pair) {
        deviating.computeIfPresent(pair.to) { _, senders ->
            (senders - pair.from).ifEmpty { null }
        }
    }

    public companion object {
        public const val DEFAULT_WEIGHT: Double = 0.2
        public const val DEFAULT_MAX_PAIRS: Int = 4_096
        public const val DEFAULT_LOCAL_MILLIS: Double = 0.05
        public const val DEFAULT_REMOTE_MILLIS: Double = 0.25

        /** Factor by which a pair of runners differs from its data centres to count on its own. */
        public const val DEVIATION: Double = 2.0

        /** Time after which a pair that is no longer observed is tried again. */
        public const val RETRY_MILLIS: Long = 10_000

        /** Up to about five minutes between two tries of a pair that stays slow. */
        private const val MAX_DOUBLINGS = 5
        private const val INITIAL_PAIRS = 16
        private const val LOAD_FACTOR = 0.75f
    }
}
