package io.greengageport.gateway.forward

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import io.greengageport.common.Clock
import io.greengageport.common.Execution
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
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive

/**
 * Resolves the route, service and organisation of a request from the current configuration and
 * passes the request to [forwarder].
 *
 * An instance that has just started reads the configuration and the list of servers within some
 * hundred milliseconds. Requests that arrive earlier wait for part of their deadline: most can
 * still be served in time, and after a power failure no other instance is ready sooner.
 *
 * Each request must have a Host header; [CallerConnection] refuses requests without one.
 */
internal class RequestRouter(
    private val configuration: () -> Configuration?,
    private val protocol: BackendProtocol,
    private val forwarder: RequestForwarder,
    private val log: DecisionLog,
    private val clock: Clock,
    private val canAcceptRequests: () -> Boolean,
    private val isReady: () -> Boolean,
    private val isConfigurationOutdated: () -> Boolean = { false },
    private val random: Random = Random.Default
) : CallerRequestHandler {
    private val activeRequests = LinkedHashSet<ActiveRequest>()

    /** Number of requests being handled. */
    val inFlight: Int get() = activeRequests.size

    override suspend fun handle(head: HttpRequest, body: ByteArray, response: CallerResponse) {
        var active: ActiveRequest? = null
        try {
            // The caller's deadline counts from its request, also while the body arrives.
            val arrivedAtMillis = response.requestedAtMillis
            val caller = protocol.parseCallerHeaders(head)
            val request = ActiveRequest(caller.attemptId, arrivedAtMillis, response)
            active = request
            activeRequests += request
            request.run {
                awaitReadiness(caller)
                resolve(head, body, caller, arrivedAtMillis).fold(
                    {
                        request.context = it
                        forwarder.forward(it, response)
                    },
                    { refuse(refusalFor(it, isConfigurationOutdated()), caller, head, response) }
                )
            }
            if (request.isInterrupted) answerInterrupted(request, response)
        } catch (e: Throwable) {
            // The request is cancelled if its caller has disconnected, so there is none to answer.
            currentCoroutineContext().ensureActive()
            answerUnexpected(e, active?.context != null, head, response)
        } finally {
            active?.let { activeRequests -= it }
        }
    }

    /**
     * Ends the work on the requests that [condition] selects, because the process ends, and logs
     * each. Those whose answer has not begun are answered; other answers stay incomplete.
     */
    fun interrupt(condition: (ActiveRequest) -> Boolean) {
        for (r in activeRequests.filter(condition)) {
            val phase = r.phase
            if (!r.interrupt()) continue
            log.record(
                "request",
                "interrupted",
                "request" to r.attemptId,
                "phase" to phase.name.lowercase(),
                "may_have_run" to r.mayHaveRun,
                "route" to r.context?.route?.name,
                "ms" to clock.monotonicMillis() - r.arrivedAtMillis
            )
        }
    }

    private suspend fun answerInterrupted(request: ActiveRequest, response: CallerResponse) {
        if (response.isStarted) return
        response.refuse(
            if (request.mayHaveRun) {
                RequestError.BackendFailed("the instance is stopping", Execution.UNKNOWN)
            } else {
                RequestError.NotServing("the instance is stopping", STOPPING_RETRY_MILLIS)
            }
        )
    }

    private suspend fun refuse(
        error: RequestError,
        caller: CallerHeaders,
        head: HttpRequest,
        response: CallerResponse
    ) {
        response.refuse(error)
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

    /**
     * Logs the unexpected error [cause] and sends a response if none has started; otherwise the
     * response stays incomplete and the connection is closed. Once forwarding has begun, the
     * request or another one with the same id may have reached a server, so only an earlier error
     * is a refusal.
     */
    private suspend fun answerUnexpected(
        cause: Throwable,
        isForwarded: Boolean,
        head: HttpRequest,
        response: CallerResponse
    ) {
        log.record(
            "request",
            "unexpected_error",
            "path" to head.uri(),
            "forwarded" to isForwarded,
            "started" to response.isStarted,
            "config" to configuration()?.version,
            "error" to cause,
            "at" to cause.stackTrace.take(LOGGED_FRAMES).joinToString(" < ")
        )
        if (response.isStarted) return
        response.refuse(
            if (isForwarded) {
                RequestError.BackendFailed("an unexpected error occurred", Execution.UNKNOWN)
            } else {
                RequestError.NotServing("an unexpected error occurred", RETRY_MILLIS)
            }
        )
    }

    private suspend fun awaitReadiness(caller: CallerHeaders) {
        val maxWaitMillis = (caller.timeToDeadlineMillis ?: MAX_READINESS_WAIT_MILLIS) /
            READINESS_WAIT_DIVISOR
        val waitUntilMillis =
            clock.monotonicMillis() + minOf(maxWaitMillis, MAX_READINESS_WAIT_MILLIS)
        while (!isReady() && canAcceptRequests() && clock.monotonicMillis() < waitUntilMillis) {
            delay(READINESS_CHECK_INTERVAL_MILLIS)
        }
    }

    private fun resolve(
        head: HttpRequest,
        body: ByteArray,
        caller: CallerHeaders,
        arrivedAtMillis: Long
    ): Result<RequestContext, RequestError> {
        if (!canAcceptRequests()) {
            return Err(RequestError.NotServing("the instance is stopping", STOPPING_RETRY_MILLIS))
        }
        val config = configuration()
            ?: return Err(RequestError.NotServing("no configuration was read yet", RETRY_MILLIS))
        val host = head.headers()[HttpHeaderNames.HOST].lowercase()
        val path = head.uri().substringBefore('?')
        val route = config.routes.find(host, path)
            ?: return Err(RequestError.UnknownService("$host$path"))
        val organisation = if (route.isPublic || config.organisationsByKey == null) {
            null
        } else {
            organisationOf(config, caller) ?: return Err(RequestError.Unauthenticated())
        }
        val id = caller.attemptId
            ?: return Err(RequestError.Invalid("the request has no attempt id"))
        val service = config.services[route.selectService(random.nextDouble())]
            ?: return Err(RequestError.NoCapacity("the service is unknown", RETRY_MILLIS))
        return Ok(
            RequestContext(
                id = RequestId(id),
                head = head,
                body = body,
                caller = caller,
                route = route,
                service = service,
                organisation = organisation,
                arrivedAtMillis = arrivedAtMillis
            )
        )
    }

    private fun organisationOf(config: Configuration, caller: CallerHeaders): Organisation? =
        caller.apiKey?.let { config.organisationsByKey?.get(it) }

    companion object {
        /** Twice the time that a start takes under load, counted from the first request. */
        private const val MAX_READINESS_WAIT_MILLIS = 1_000L

        /** A request waits for at most a quarter of its deadline. */
        private const val READINESS_WAIT_DIVISOR = 4
        private const val READINESS_CHECK_INTERVAL_MILLIS = 20L

        /** Enough to tell where an unexpected error comes from within one line of the log. */
        private const val LOGGED_FRAMES = 5

        /** A new instance loads the configuration within about a second. */
        private const val RETRY_MILLIS = 1_000L

        /** An outdated configuration is read again several times a second. */
        const val OUTDATED_RETRY_MILLIS = 1_000L

        /**
         * Returns the refusal for [error]. A newer configuration may allow what an outdated one
         * denies, so the caller is asked to retry.
         */
        fun refusalFor(error: RequestError, isOutdated: Boolean): RequestError =
            if (isOutdated && error.status in DENYING_STATUSES) {
                val message = "a newer configuration is not in force yet"
                RequestError.NotServing(message, OUTDATED_RETRY_MILLIS)
            } else {
                error
            }

        private val DENYING_STATUSES = setOf(401, 403, 404)

        /** Time in ms after which to retry at a stop; the retry reaches another instance. */
        const val STOPPING_RETRY_MILLIS = 50L
    }
}
