package io.greengageport.gateway.model

import io.greengageport.common.OrganisationName
import io.greengageport.common.ServiceName
import kotlinx.collections.immutable.ImmutableMap

/**
 * One complete, immutable version of the operators' configuration.
 *
 * [organisationsByKey] maps API keys to organisations; it is null if callers need no key. An
 * instance replaces its configuration only with one of a higher [version].
 */
public data class Configuration(
    val version: Long,
    val routes: RouteTable,
    val services: ImmutableMap<ServiceName, Service>,
    val callerLimits: CallerLimits,
    val organisationsByKey: ImmutableMap<String, Organisation>?
)

/** An organisation with API keys; its [priority], if present, overrides that of the route. */
public data class Organisation(val name: OrganisationName, val priority: Int?)

/** Size limits and timeouts for connections of callers. */
public data class CallerLimits(
    val maxHeaderBytes: Int = 16_384,
    val maxBodyBytes: Int = 4_194_304,
    val headerTimeoutMillis: Long = 3_000,
    val idleTimeoutMillis: Long = 15_000
)
