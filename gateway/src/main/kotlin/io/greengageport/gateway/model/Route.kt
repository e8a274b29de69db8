package io.greengageport.gateway.model

import io.greengageport.common.ServiceName
import kotlinx.collections.immutable.ImmutableList

/**
 * Maps requests with a path prefix at one host to services.
 *
 * Requests on a public route need no API key. [timeoutMillis] bounds the whole request, and
 * [latencyTargetMillis] is the target for its response or, if that is streamed, its first event. A
 * [priority] of 0 is the most urgent. [maxAttempts] is the maximum number of backend servers on
 * which one request may run. [maxGapMillis] is the longest pause between two events with which a
 * streamed response still counts as on time.
 */
public data class Route(
    val name: String,
    val host: String,
    val pathPrefix: String,
    val repeatability: Repeatability,
    val isStreaming: Boolean,
    val timeoutMillis: Long,
    val latencyTargetMillis: Long,
    val priority: Int,
    val targets: ImmutableList<WeightedService>,
    val maxAttempts: Int,
    val isPublic: Boolean,
    val maxGapMillis: Long?
) {
    init {
        require(targets.isNotEmpty()) { "route '$name' has no target service" }
        require(timeoutMillis > 0) { "route '$name' has no positive timeout: $timeoutMillis ms" }
        require(maxAttempts > 0) { "route '$name' allows fewer than one attempt: $maxAttempts" }
    }

    /**
     * Returns the service for a request, selected by weight; the last one if no weight is positive.
     * [fraction] is a random number from 0
     * (inclusive) to 1 (exclusive).
     */
    public fun selectService(fraction: Double): ServiceName {
        if (targets.size == 1) return targets[0].service
        var remaining = fraction * targets.sumOf { it.weight }
        for (t in targets) {
            remaining -= t.weight
            if (remaining < 0) return t.service
        }
        return (targets.lastOrNull { it.weight > 0 } ?: targets.last()).service
    }
}

/** A target service of a route; [weight] is its relative share of the requests. */
public data class WeightedService(val service: ServiceName, val weight: Double)

/** How a request may be retried if its outcome is unknown. */
public enum class Repeatability {
    /** The request may run more than once. */
    IDEMPOTENT,

    /** A streamed response may resume at another backend server, after the last event delivered. */
    RESUMABLE,

    /** The request must not run more than once. */
    AT_MOST_ONCE
}
