package io.greengageport.gateway

import io.greengageport.common.DataCentre
import io.greengageport.common.HostPort
import io.greengageport.common.InstanceId

/**
 * Identity, addresses and promised bounds of an instance; times are in milliseconds.
 *
 * The bounds are those that the operators state in the instance's settings file.
 */
public data class GatewaySettings(
    val id: InstanceId,
    val dataCentre: DataCentre,
    val callers: HostPort,
    val readiness: HostPort,
    val metrics: HostPort?,
    val store: HostPort,
    val peers: HostPort,
    /** Time in which backend servers that leave get no more new work. */
    val drainMillis: Long,
    /** Time between SIGTERM and SIGKILL. */
    val graceMillis: Long,
    /** Requests beyond the first attempts, as a share of the requests of a service. */
    val retryShare: Double,
    /** Attempts that the fleet may make beyond [retryShare] in any ten seconds. */
    val retryAllowance: Int
)
