package io.greengageport.routing

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
 */
public class LinkEstimator(
    private val weight: Double = DEFAULT_WEIGHT,
    private val maxPairs: Int = DEFAULT_MAX_PAIRS,
    private val localMillis: Double = DEFAULT_LOCAL_MILLIS,
    private val remoteMillis: Double = DEFAULT_REMOTE_MILLIS
) {
    private data class Pair(val from: RunnerId, val to: RunnerId)

    private val dataCentres = ConcurrentHashMap<kotlin.Pair<DataCentre, DataCentre>, Double>()
    private val pairs = LinkedHashMap<Pair, Double>(INITIAL_PAIRS, LOAD_FACTOR, true)
    private val deviating = ConcurrentHashMap<RunnerId, Map<RunnerId, Double>>()

    init {
        require(weight > 0 && weight <= 1) { "the weight of an observation is in (0, 1]: $weight" }
    }

    /** Takes in the time of one hop between two stages, in milliseconds. */
    public fun observe(from: Runner, to: Runner, millis: Double) {
        require(millis >= 0) { "a hop takes no negative time: $millis ms" }
        observe(from.dataCentre, to.dataCentre, millis)
        val pair = Pair(from.id, to.id)
        synchronized(pairs) {
            val average = pairs[pair]?.let { blend(it, millis) } ?: millis
            pairs[pair] = average
            setDeviation(pair, average, hopMillis(from.dataCentre, to.dataCentre))
            if (pairs.size > maxPairs) {
                val oldest = pairs.keys.first()
                pairs.remove(oldest)
                clearDeviation(oldest)
            }
        }
    }

    /** Takes in the time of one hop between two data centres, in milliseconds. */
    public fun observe(from: DataCentre, to: DataCentre, millis: Double) {
        dataCentres.merge(from to to, millis) { old, new -> blend(old, new) }
    }

    /** Expected time of a hop between two data centres, in milliseconds. */
    public fun hopMillis(from: DataCentre, to: DataCentre): Double =
        dataCentres[from to to] ?: if (from == to) localMillis else remoteMillis

    /** Expected time of a hop between two runners, in milliseconds. */
    public fun hopMillis(from: Runner, to: Runner): Double =
        deviating[to.id]?.get(from.id) ?: hopMillis(from.dataCentre, to.dataCentre)

    /** Hop times into [to] that deviate from those of the data centres, by sender. */
    internal fun deviationsInto(to: RunnerId): Map<RunnerId, Double> =
        if (deviating.isEmpty()) emptyMap() else deviating[to] ?: emptyMap()

    /** Drops what is known of the links of a runner that left the fleet. */
    public fun forget(runner: RunnerId): Unit = synchronized(pairs) {
        pairs.keys.filter { it.from == runner || it.to == runner }.forEach {
            pairs.remove(it)
            clearDeviation(it)
        }
    }

    private fun blend(old: Double, new: Double) = old + weight * (new - old)

    private fun setDeviation(pair: Pair, average: Double, usual: Double) {
        val differs = average > usual * DEVIATION || average * DEVIATION < usual
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
        private const val INITIAL_PAIRS = 16
        private const val LOAD_FACTOR = 0.75f
    }
}
