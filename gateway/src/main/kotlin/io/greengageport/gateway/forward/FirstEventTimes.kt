package io.greengageport.gateway.forward

import io.greengageport.common.ServiceName
import kotlin.math.abs

/**
 * Usual times until the first event of a service's answers, by which a request that waits
 * unusually long is told from a service that is slow as a whole.
 */
internal class FirstEventTimes {
    private class Usual(var mean: Double, var deviation: Double)

    private val byService = HashMap<ServiceName, Usual>()

    /** Takes in the time of an answer in ms. */
    fun record(service: ServiceName, millis: Long) {
        val u = byService.getOrPut(service) { Usual(millis.toDouble(), millis / 2.0) }
        val error = millis - u.mean
        u.mean += MEAN_WEIGHT * error
        u.deviation += DEVIATION_WEIGHT * (abs(error) - u.deviation)
    }

    /** Time after which an answer is unusually late, or null while nothing is known. */
    fun unusualMillis(service: ServiceName): Long? =
        byService[service]?.let { (it.mean + DEVIATIONS * it.deviation).toLong() }

    private companion object {
        /** As for round-trip times in TCP (RFC 6298). */
        const val MEAN_WEIGHT = 1.0 / 8
        const val DEVIATION_WEIGHT = 1.0 / 4

        /** TCP takes four; a repeat costs a whole prompt here. */
        const val DEVIATIONS = 6
    }
}
