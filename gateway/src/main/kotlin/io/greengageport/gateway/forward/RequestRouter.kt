package io.greengageport.gateway.forward

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import io.greengageport.common.Clock
import io.greengageport.common.RequestError
import io.greengageport.common.RequestId
import io.greengageport.gateway.logging.DecisionLog
import io.greengageport.gateway.model.Configuration
import io.greengageport.gateway.model.Organisation
import io.greengageport.gateway.port.BackendProtocol
import io.greengageport.gateway.port.CallerHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpRequest
import kotlin.random.Random
import kotlinx.coroutines.delay

/**
 * Finds the route, service and organisation of a request by the configuration in force.
 *
 * An instance that has just started reads the configuration and the list of servers within some
 * hundred milliseconds. Requests that come before wait for that a part of their time: most can
 * still be served in time, and after a loss of power no other instance knows more.
 */
internal class RequestRouter(
    private val configuration: () -> Configuration?,
    private val protocol: BackendProtocol,
    private val forwarder: RequestForwarder,
    private val log: DecisionLog,
    private val clock: Clock,
    private val takesRequests: () -> Boolean,
    private val isReady: () -> Boolean,
    private val random: Random = Random.Default
) : CallerRequestHandler {
    /** Requests that are being served. */
    var inFlight: Int = 0
        private set

    override suspend fun handle(head: HttpRequest, body: ByteArray, answer: CallerAnswer) {
        inFlight++
        try {
            val arrivedAt = clock.monotonicMillis()
            val caller = protocol.readCaller(head)
            awaitStart(caller)
            resolve(head, body, caller, arrivedAt).fold(
                { forwarder.forward(it, answer) },
                { error ->
                    answer.refuse(error)
                    log.record(
                        "request",
                        "refused",
                        "request" to caller.attemptId,
                        "code" to error.code,
                        "status" to error.status,
                        "host" to head.headers()[HttpHeaderNames.HOST],
                        "config" to configuration()?.version
                    )
                }
            )
        } finally {
            inFlight--
        }
    }

    private suspend fun awaitStart(caller: CallerHeaders) {
        val patience = (caller.deadlineMillis ?: MAX_START_WAIT_MILLIS) / START_WAIT_PART
        val until = clock.monotonicMillis() + minOf(patience, MAX_START_WAIT_MILLIS)
        while (!isReady() && takesRequests() && clock.monotonicMillis() < until) {
            delay(START_CHECK_MILLIS)
        }
    }

    private fun resolve(
        head: HttpRequest,
        body: ByteArray,
        caller: CallerHeaders,
        arrivedAt: Long
    ): Result<RequestContext, RequestError> {
        if (!takesRequests()) {
            return Err(RequestError.NotServing("the instance stops", ELSEWHERE_MILLIS))
        }
        val config = configuration()
            ?: return Err(RequestError.NotServing("no configuration is known yet", RETRY_MILLIS))
        val host = head.headers()[HttpHeaderNames.HOST].lowercase()
        val path = head.uri().substringBefore('?')
        val route = config.routes.find(host, path)
            ?: return Err(RequestError.UnknownService("$host$path"))
        val organisation = if (route.isPublic || config.organisationOfKey == null) {
            null
        } else {
            organisation(config, caller) ?: return Err(RequestError.Unauthenticated())
        }
        val id = caller.attemptId
            ?: return Err(RequestError.Invalid("the request has no attempt id"))
        val service = config.services[route.target(random.nextDouble())]
            ?: return Err(RequestError.NoCapacity("the service is not known", RETRY_MILLIS))
        return Ok(
            RequestContext(
                id = RequestId(id),
                head = head,
                body = body,
                caller = caller,
                route = route,
                service = service,
                organisation = organisation,
                arrivedAtMillis = arrivedAt
            )
        )
    }

    private fun organisation(config: Configuration, caller: CallerHeaders): Organisation? =
        caller.apiKey?.let { config.organisationOfKey?.get(it) }

    private companion object {
        /** A start takes about half as long from the first request on, also under load. */
        const val MAX_START_WAIT_MILLIS = 1_000L

        /** Part of a caller's time that may pass before its request is looked at. */
        const val START_WAIT_PART = 4
        const val START_CHECK_MILLIS = 20L

        /** A fresh instance knows the configuration within about a second. */
        const val RETRY_MILLIS = 1_000L

        /** The next try reaches another instance. */
        const val ELSEWHERE_MILLIS = 50L
    }
}
