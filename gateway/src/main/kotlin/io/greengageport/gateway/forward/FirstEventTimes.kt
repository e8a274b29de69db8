package io.greengageport.gateway.forward

import io.greengageport.common.ServiceName
import kotlin.math.abs

/**
 * Estimates the time to first event of each service, to tell a single late response from a service
 * that is slow as a whole.
 */
internal class FirstEventTimes {
    private class Estimate(var mean: Double, var deviation: Double)

    private val byService = HashMap<ServiceName, Estimate>()

    /** Updates the estimate of [service] with the time to first event of one response. */
    fun record(service: ServiceName, millis: Long) {
        val estimate = byService.getOrPut(service) { Estimate(millis.toDouble(), millis / 2.0) }
        val error = millis - estimate.mean
        estimate.mean += MEAN_WEIGHT * error
        estimate.deviation += DEVIATION_WEIGHT * (abs(error) - estimate.deviation)
    }

    /** Returns the time after which a first event is late, or null if there is no estimate. */
    fun lateThresholdMillis(service: ServiceName): Long? =
        byService[service]?.let { (it.mean + LATE_DEVIATIONS * it.deviation).toLong() }

    private companion object {
        /** Smoothing weights of the TCP round-trip time estimator (RFC 6298). */
        const val MEAN_WEIGHT = 1.0 / 8
        const val DEVIATION_WEIGHT = 1.0 / 4

        /** TCP uses four; here a retry is more expensive, because it processes the prompt again. */
        const val LATE_DEVIATIONS = 6
    }
}
