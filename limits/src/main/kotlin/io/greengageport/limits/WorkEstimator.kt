package io.greengageport.limits

import io.greengageport.common.OrganisationName
import io.greengageport.common.ServiceName

/**
 * Estimates the work of a request on arrival, in tokens: the prompt plus the mean answer length of
 * the organisation's earlier requests to the service, limited to the request's maximum.
 *
 * Without earlier requests the maximum itself is used, which overestimates the work. Means are kept
 * for the [capacity] most recently used pairs of organisation and service. Thread-safe.
 *
 * ```
 * val tokens = estimator.estimate(organisation, service, promptTokens = 120, maxTokens = 512)
 * estimator.record(organisation, service, answerTokens = 87)
 * ```
 */
public class WorkEstimator(private val capacity: Int = 20_000) {
    private val means = object : LinkedHashMap<Key, Double>(INITIAL_SIZE, LOAD_FACTOR, true) {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<Key, Double>): Boolean =
            size > capacity
    }

    /** The expected work of a request, in tokens; at least 1. */
    @Synchronized
    public fun estimate(
        organisation: OrganisationName,
        service: ServiceName,
        promptTokens: Long,
        maxTokens: Long
    ): Long {
        require(promptTokens >= 0 && maxTokens >= 0) { "token counts must not be negative" }
        val answer = means[Key(organisation, service)]?.toLong() ?: maxTokens
        return maxOf(1, promptTokens + minOf(answer, maxTokens))
    }

    /** Records the length of a complete answer, in tokens. */
    @Synchronized
    public fun record(organisation: OrganisationName, service: ServiceName, answerTokens: Long) {
        means.merge(Key(organisation, service), answerTokens.toDouble()) { mean, new ->
            mean + SMOOTHING_FACTOR * (new - mean)
        }
    }

    private data class Key(val organisation: OrganisationName, val service: ServiceName)

    private companion object {
        const val INITIAL_SIZE = 64
        const val LOAD_FACTOR = 0.75f
        const val SMOOTHING_FACTOR = 0.1
    }
}
