package io.greengageport.entry

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import io.greengageport.common.Clock
import io.greengageport.common.Execution
import io.greengageport.common.RequestError
import io.greengageport.common.RequestId
import io.greengageport.routing.Fingerprint
import io.greengageport.settings.ModelSettings
import io.greengageport.settings.SettingsView
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.contentLength
import io.ktor.server.request.httpMethod
import io.ktor.server.request.receiveChannel
import io.ktor.server.request.uri
import io.ktor.server.response.header
import io.ktor.server.response.respondBytes
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.route
import io.ktor.utils.io.readRemaining
import java.io.IOException
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.job
import kotlinx.io.readByteArray
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import org.tinylog.kotlin.Logger

/** The collaborators of [CallerServer]. */
internal class CallerDependencies(
    val clock: Clock,
    val authenticator: RequestAuthenticator,
    val view: () -> SettingsView,
    val admissions: Admissions,
    val modelHandler: ModelRequestHandler,
    val plainHandler: PlainRequestHandler,
    val bounds: BoundsConfig,
    val metrics: EntryMetrics,
    val isReady: () -> Boolean,
    val connections: ConnectionLimit
)

/** The HTTP API for callers: model completions and plain services. */
internal class CallerServer(private val deps: CallerDependencies) {
    private val inFlight = AtomicInteger()

    /** The number of requests in progress. */
    val requestsInFlight: Int get() = inFlight.get()

    /** Adds the routes of the API to [route]. */
    fun routes(route: Route): Unit = with(route) {
        post("/v1/completions") { serve(call) { handleCompletion(call, it, CompletionForm.TEXT) } }
        post("/v1/chat/completions") {
            serve(call) { handleCompletion(call, it, CompletionForm.CHAT) }
        }
        get("/v1/models") { serve(call) { listModels(call) } }
        route("/services/{service}/{path...}") {
            handle { serve(call) { handlePlainCall(call, it) } }
        }
    }

    /**
     * Runs [action], unless this instance is not ready or a limit is reached. Responds with the
     * error, if any, and counts the request.
     */
    private suspend fun serve(
        call: ApplicationCall,
        action: suspend (ServedRequest) -> RequestError?
    ) {
        val request = ServedRequest(RequestId.random(Random.Default))
        val id = request.id
        call.response.header(CallerHeaders.REQUEST_ID, id.value)
        val running = inFlight.incrementAndGet()
        deps.metrics.inFlight.set(running.toDouble())
        try {
            val error = when {
                !deps.isReady() ->
                    RequestError.NotServing("this instance takes no requests", RETRY_MILLIS)

                !deps.connections.admit(currentCoroutineContext().job) -> {
                    deps.metrics.refusedConnections.inc()
                    call.response.header(HttpHeaders.Connection, "close")
                    RequestError.Overloaded("too many connections at this instance", RETRY_MILLIS)
                }

                running > deps.bounds.maxRequests ->
                    RequestError.Overloaded("too many requests at this instance", RETRY_MILLIS)

                else -> catchInternalErrors(request, action)
            }
            if (error != null) respondError(call, id, error)
            countRequest(request, error)
        } finally {
            deps.metrics.inFlight.set(inFlight.decrementAndGet().toDouble())
        }
    }

    /**
     * Turns an unexpected exception into an internal error. The execution of the request is
     * reported as unknown, since it may have run.
     */
    private suspend fun catchInternalErrors(
        request: ServedRequest,
        action: suspend (ServedRequest) -> RequestError?
    ): RequestError? = try {
        action(request)
    } catch (e: CancellationException) {
        Logger.info("entry: request=${request.id} ended by its caller: $e")
        throw e
    } catch (e: IOException) {
        Logger.info("entry: request=${request.id} ended by its caller: $e")
        throw e
    } catch (e: Exception) {
        Logger.error(e, "entry: request=${request.id} failed by a fault of this program")
        RequestError.Internal("a fault of this instance", Execution.UNKNOWN)
    }

    private suspend fun handleCompletion(
        call: ApplicationCall,
        request: ServedRequest,
        form: CompletionForm
    ): RequestError? {
        val body = readBody(call).getOrElse { return it }
        val parsed = CompletionFormat.parse(form, body.decodeToString()).getOrElse { return it }
        val context =
            deps.authenticator.resolveContext(request.id, parsed.service, requestHeaders(call))
                .getOrElse { return it }
        request.context = context
        val model = context.service.settings.model
            ?: return RequestError.Invalid("'${parsed.service}' is a plain service, not a model")
        val version = parsed.version
        if (version != null && version !in versionsOf(model)) {
            return RequestError.UnknownVersion(parsed.service, version)
        }
        val exchange = CompletionExchange(deps, call, parsed, context)
        val promptTokens = exchange.promptTokens
        val admission = deps.admissions.of(context.service, deps.view())
        val permit = admission.admit(context, promptTokens, parsed.maxTokens)
            .getOrElse { return it }
        return try {
            exchange.run(
                admission,
                permit,
                Fingerprint.of(context.organisation.name, context.service.name, body)
            )
        } finally {
            permit.release((promptTokens + exchange.deliveredTokens).toLong())
        }
    }

    private suspend fun handlePlainCall(
        call: ApplicationCall,
        request: ServedRequest
    ): RequestError? {
        val service = call.parameters["service"].orEmpty()
        val context = deps.authenticator.resolveContext(request.id, service, requestHeaders(call))
            .getOrElse { return it }
        request.context = context
        val settings = context.service.settings.plain
            ?: return RequestError.Invalid("'$service' is a model; use /v1/completions")
        val method = call.request.httpMethod.value
        val target = CallerHeaders.serviceTarget(call.request.uri)
        val key = if (settings.isNonIdempotent(method, target)) {
            CallerHeaders.parseCallKey(
                call.request.headers[CallerHeaders.IDEMPOTENCY_KEY],
                call.request.headers[CallerHeaders.ISSUED_AT]
            ).getOrElse { return it }
        } else {
            null
        }
        val body = readBody(call).getOrElse { return it }
        val admission = deps.admissions.of(context.service, deps.view())
        val permit = admission.admit(context, promptTokens = 1, maxTokens = 0)
            .getOrElse { return it }
        val answer = try {
            deps.plainHandler.run(
                PlainCall(context, method, target, forwardedHeaders(call), body, key)
            )
        } finally {
            permit.release(1)
        }.getOrElse { return it }
        respondAnswer(call, request.id, answer)
        return null
    }

    private suspend fun respondAnswer(call: ApplicationCall, id: RequestId, answer: PlainAnswer) {
        call.response.header(CallerHeaders.EXECUTION, "ran")
        if (answer.isReplayed) call.response.header(CallerHeaders.REPLAYED, "true")
        for ((name, values) in answer.headers) {
            if (!name.equals(HttpHeaders.ContentType, ignoreCase = true)) {
                values.forEach { call.response.header(name, it) }
            }
        }
        val type = answer.headers.entries
            .firstOrNull { it.key.equals(HttpHeaders.ContentType, ignoreCase = true) }
            ?.value?.firstOrNull()?.let { ContentType.parse(it) }
        val status = HttpStatusCode.fromValue(answer.status)
        if (answer.isBodyKept) {
            call.respondBytes(answer.body, type, status)
        } else {
            val text = """{"error":{"code":"outcome_body_not_kept","execution":"ran",""" +
                """"message":"the call ran; its answer was too large to keep",""" +
                """"request_id":"$id"}}"""
            call.respondText(text, ContentType.Application.Json, status)
        }
    }

    private suspend fun listModels(call: ApplicationCall): RequestError? {
        val names = deps.view().services.flatMap { s ->
            val versions = s.settings.model?.versions ?: return@flatMap emptyList()
            listOf("${s.name}") + versions.map { "${s.name}${CompletionCall.VERSION_MARK}$it" }
        }.joinToString(",") { """{"id":"$it","object":"model"}""" }
        call.respondText("""{"object":"list","data":[$names]}""", ContentType.Application.Json)
        return null
    }

    private fun versionsOf(model: ModelSettings) = model.versions + model.version

    private fun requestHeaders(call: ApplicationCall) = RequestHeaders(
        authorization = call.request.headers[HttpHeaders.Authorization],
        rank = call.request.headers[CallerHeaders.RANK],
        deadline = call.request.headers[CallerHeaders.DEADLINE]
    )

    /** The headers to forward. Excludes the credentials, which backend servers must not see. */
    private fun forwardedHeaders(call: ApplicationCall): Map<String, List<String>> =
        call.request.headers.entries()
            .filter { it.key.lowercase() !in PlainClient.HOP_BY_HOP }
            .filter { !it.key.equals(HttpHeaders.Authorization, ignoreCase = true) }
            .associate { it.key to it.value }

    /** Reads the body; returns an error if the body or the headers exceed their limits. */
    private suspend fun readBody(call: ApplicationCall): Result<ByteArray, RequestError> {
        val limit = deps.bounds.maxBodyBytes
        if ((call.request.contentLength() ?: 0) > limit) return Err(RequestError.TooLarge(limit))
        val headerBytes = call.request.headers.entries()
            .sumOf { (name, values) -> values.sumOf { name.length + it.length } }
        if (headerBytes > deps.bounds.maxHeaderBytes) {
            return Err(RequestError.TooLarge(deps.bounds.maxHeaderBytes))
        }
        val bytes = call.receiveChannel().readRemaining(limit + 1).readByteArray()
        return if (bytes.size > limit) Err(RequestError.TooLarge(limit)) else Ok(bytes)
    }

    /** Counts a request. Labels that are unknown because it was refused early are empty. */
    private fun countRequest(r: ServedRequest, error: RequestError?) {
        val c = r.context
        if (c == null && error == null) return
        deps.metrics.requests.labelValues(
            c?.service?.name?.value.orEmpty(),
            c?.rank?.name?.value.orEmpty(),
            c?.sizeClass.orEmpty(),
            error?.code ?: "ok"
        ).inc()
    }

    private suspend fun respondError(call: ApplicationCall, id: RequestId, error: RequestError) {
        Logger.info(
            "entry: request=$id refused code=${error.code} execution=${error.execution.wireName}"
        )
        if (call.response.isCommitted) return
        call.response.header(CallerHeaders.EXECUTION, error.execution.wireName)
        error.retryAfterMillis?.let {
            val seconds = (it + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND
            call.response.header(HttpHeaders.RetryAfter, maxOf(1, seconds).toString())
        }
        call.respondText(
            ErrorBody.text(error, id),
            ContentType.Application.Json,
            HttpStatusCode.fromValue(error.status)
        )
    }

    private companion object {
        const val RETRY_MILLIS = 1_000L
        const val MILLIS_PER_SECOND = 1_000L
    }
}

/** A request in progress. [context] is null until the request is authenticated. */
private class ServedRequest(val id: RequestId) {
    var context: RequestContext? = null
}

/** The JSON format of the HTTP APIs. Ignores unknown keys for compatibility across versions. */
internal val entryJson: Json = Json { ignoreUnknownKeys = true }

/** Encodes this value with [entryJson]. */
internal inline fun <reified T> T.toJson(): String = entryJson.encodeToString(this)
