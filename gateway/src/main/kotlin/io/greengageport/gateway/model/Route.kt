package io.greengageport.gateway.model

import io.greengageport.common.ServiceName
import kotlinx.collections.immutable.ImmutableList

/**
 * Sends the requests below one path prefix of a host to services.
 *
 * Times are in milliseconds. [priority] 0 is the most urgent. [maxAttempts] bounds the backend
 * servers on which one request may run. [maxGapMillis] is the longest pause between two events with
 * which a streamed answer still counts as on time.
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
        require(targets.isNotEmpty()) { "route '$name' names no service" }
        require(timeoutMillis > 0) { "the timeout of route '$name' is positive: $timeoutMillis ms" }
        require(maxAttempts > 0) { "route '$name' allows no attempt" }
    }

    /** The service for a request that drew [point], a number from 0 until 1. */
    public fun target(point: Double): ServiceName {
        if (targets.size == 1) return targets[0].service
        var left = point * targets.sumOf { it.weight }
        for (t in targets) {
            left -= t.weight
            if (left < 0) return t.service
        }
        return targets.last { it.weight > 0 }.service
    }
}

/** A service with its share of a route's requests. */
public data class WeightedService(val service: ServiceName, val weight: Double)

/** What may be done again with a request whose outcome is unknown. */
public enum class Repeatability {
    /** It may run more than once. */
    IDEMPOTENT,

    /** A streamed answer may go on at another backend server, after the last event delivered. */
    RESUMABLE,

    /** It runs at most once. */
    AT_MOST_ONCE
}
