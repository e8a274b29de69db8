package io.greengageport.gateway

import io.greengageport.common.DataCentre
import io.greengageport.common.HostPort
import io.greengageport.common.InstanceId

/**
 * Identity, addresses and guaranteed limits of an instance, as stated by the operators in its
 * settings file. Times are in milliseconds.
 */
public data class GatewaySettings(
    val id: InstanceId,
    val dataCentre: DataCentre,
    val callerAddress: HostPort,
    val readinessAddress: HostPort,
    /** Null if the instance does not serve its metrics. */
    val metricsAddress: HostPort?,
    val storeAddress: HostPort,
    /** Address at which the instance receives reports of its peers. */
    val peerAddress: HostPort,
    /** Bandwidth of the instance's link, which requests, reports and calls to the store share. */
    val linkBytesPerSecond: Long,
    /** Time within which leaving backend servers stop getting new work. */
    val drainMillis: Long,
    /** Time between SIGTERM and SIGKILL. */
    val graceMillis: Long,
    /** Limit of attempts beyond the first ones, as a share of the requests of a service. */
    val retryShare: Double,
    /** Attempts that the fleet can make beyond [retryShare] in any ten seconds. */
    val retryAllowance: Int
)
