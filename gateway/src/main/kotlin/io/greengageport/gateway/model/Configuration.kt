package io.greengageport.gateway.model

import io.greengageport.common.OrganisationName
import io.greengageport.common.ServiceName
import kotlinx.collections.immutable.ImmutableMap

/**
 * One version of the operators' configuration, complete and immutable.
 *
 * [organisationOfKey] is null where callers need no key. An instance replaces a configuration only
 * by one of a higher [version].
 */
public data class Configuration(
    val version: Long,
    val routes: RouteTable,
    val services: ImmutableMap<ServiceName, Service>,
    val callerLimits: CallerLimits,
    val organisationOfKey: ImmutableMap<String, Organisation>?
)

/** An organisation that holds keys; its [priority], if stated, replaces that of the route. */
public data class Organisation(val name: OrganisationName, val priority: Int?)

/** What a caller may send, and how long it may take or stay idle. */
public data class CallerLimits(
    val maxHeaderBytes: Int = 16_384,
    val maxBodyBytes: Int = 4_194_304,
    val headerTimeoutMillis: Long = 3_000,
    val idleTimeoutMillis: Long = 15_000
)
