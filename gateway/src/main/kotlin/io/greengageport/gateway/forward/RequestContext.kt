package io.greengageport.gateway.forward

import io.greengageport.common.OrganisationName
import io.greengageport.common.RequestId
import io.greengageport.gateway.model.Organisation
import io.greengageport.gateway.model.Route
import io.greengageport.gateway.model.Service
import io.greengageport.gateway.port.CallerHeaders
import io.greengageport.routing.Fingerprint
import io.netty.handler.codec.http.HttpRequest

/**
 * A caller's request with all that decides how it is served. Times are of the monotonic clock.
 */
internal class RequestContext(
    val id: RequestId,
    val head: HttpRequest,
    val body: ByteArray,
    val caller: CallerHeaders,
    val route: Route,
    val service: Service,
    val organisation: Organisation?,
    val arrivedAtMillis: Long
) {
    /** 0 is the most urgent. */
    val priority: Int get() = organisation?.priority ?: route.priority

    val organisationName: OrganisationName
        get() = organisation?.name ?: OrganisationName("")

    /** When the caller or the route's timeout gives up, whichever is first. */
    val deadlineAtMillis: Long =
        arrivedAtMillis + minOf(caller.deadlineMillis ?: Long.MAX_VALUE, route.timeoutMillis)

    /**
     * The longest time without an event after which a caller leaves a stream: two seconds, four
     * times the latency target or eight times the allowed gap, as the platform states.
     */
    val patienceMillis: Long = maxOf(
        MIN_PATIENCE_MILLIS,
        PATIENCE_PER_TARGET * route.latencyTargetMillis,
        PATIENCE_PER_GAP * (route.maxGapMillis ?: 0)
    )

    val promptTokens: Int = caller.promptTokens ?: 0

    /** The answer's expected length; the caller states only a bound. */
    val answerTokens: Int = minOf(
        caller.maxAnswerTokens ?: Int.MAX_VALUE,
        service.engine?.usualAnswerTokens ?: 1
    ).coerceAtLeast(1)

    /** The same for each try of the same caller with the same path and body. */
    val fingerprint: Fingerprint by lazy(LazyThreadSafetyMode.NONE) {
        val path = head.uri().toByteArray()
        Fingerprint.of(organisationName, service.name, path + body)
    }

    /** Memory that the request takes in each layer, in tokens. */
    val tokens: Int get() = promptTokens + answerTokens

    private companion object {
        const val MIN_PATIENCE_MILLIS = 2_000L
        const val PATIENCE_PER_TARGET = 4
        const val PATIENCE_PER_GAP = 8
    }
}
