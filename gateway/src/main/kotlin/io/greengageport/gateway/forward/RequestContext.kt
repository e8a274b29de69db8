package io.greengageport.gateway.forward

import io.greengageport.common.HostPort
import io.greengageport.common.OrganisationName
import io.greengageport.common.RequestId
import io.greengageport.gateway.model.Organisation
import io.greengageport.gateway.model.Route
import io.greengageport.gateway.model.Service
import io.greengageport.gateway.port.CallerHeaders
import io.greengageport.routing.Fingerprint
import io.netty.handler.codec.http.HttpRequest

/**
 * A request of a caller with its route, service and organisation. Points in time refer to the
 * monotonic clock.
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
    /** Whether an attempt of the request is at a backend server. */
    var isAtServer: Boolean = false
        set(value) {
            field = value
            wasAtServer = wasAtServer || value
        }

    /** Whether an attempt of the request is or was at a backend server. */
    var wasAtServer: Boolean = false
        private set

    /** Whether the request may have run, in the current attempt or an earlier one. */
    var mayHaveRun: Boolean = false

    /** Whether the end of the process has ended the work on the request. */
    var isInterrupted: Boolean = false

    /** Addresses to which a connection was opened or taken for an attempt of the request. */
    val contactedServers: MutableSet<HostPort> = HashSet()

    /** The priority of the organisation, or else that of the route; 0 is the most urgent. */
    val priority: Int get() = organisation?.priority ?: route.priority

    /** The name of the organisation; empty if the route or the configuration needs no key. */
    val organisationName: OrganisationName
        get() = organisation?.name ?: OrganisationName("")

    /** The deadline of the caller or the timeout of the route, whichever is earlier. */
    val deadlineAtMillis: Long =
        arrivedAtMillis + minOf(caller.timeToDeadlineMillis ?: Long.MAX_VALUE, route.timeoutMillis)

    /**
     * The time without an event after which a caller abandons a stream. The platform specifies the
     * maximum of two seconds, four times the latency target and eight times the allowed gap.
     */
    val toleratedSilenceMillis: Long = maxOf(
        MIN_TOLERATED_SILENCE_MILLIS,
        SILENCE_TARGET_FACTOR * route.latencyTargetMillis,
        SILENCE_GAP_FACTOR * (route.maxGapMillis ?: 0)
    )

    /** Length of the prompt; bounded, since the caller's number can be negative or overflow. */
    val promptTokens: Int = (caller.promptTokens ?: 0).coerceIn(0, MAX_PROMPT_TOKENS)

    /** Expected length of the response in tokens; the caller states only an upper bound. */
    val expectedAnswerTokens: Int = minOf(
        caller.maxAnswerTokens ?: Int.MAX_VALUE,
        service.engine?.typicalAnswerTokens ?: 1
    ).coerceAtLeast(1)

    /** Equal for all requests of an organisation with the same service, path and body. */
    val fingerprint: Fingerprint by lazy(LazyThreadSafetyMode.NONE) {
        val path = head.uri().toByteArray()
        Fingerprint.of(organisationName, service.name, path + body)
    }

    /** The parts of the prompt that other requests to the service may share. */
    val sharedPromptParts: List<Fingerprint> by lazy(LazyThreadSafetyMode.NONE) {
        caller.sharedPromptParts.map { Fingerprint.ofPromptPart(service.name, it) }
    }

    /** Expected memory use of the request in each layer, in tokens. */
    val expectedTokens: Int get() = promptTokens + expectedAnswerTokens

    private companion object {
        const val MIN_TOLERATED_SILENCE_MILLIS = 2_000L
        const val SILENCE_TARGET_FACTOR = 4
        const val SILENCE_GAP_FACTOR = 8

        /** More than any engine holds; the sum with the length of a response is still an Int. */
        const val MAX_PROMPT_TOKENS = 1_000_000_000
    }
}
