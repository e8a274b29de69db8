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

/** The parts that the caller port uses. */
internal class CallerParts(
    val clock: Clock,
    val gate: RequestGate,
    val view: () -> SettingsView,
    val admissions: Admissions,
    val models: ModelPath,
    val plains: PlainPath,
    val bounds: BoundsConfig,
    val metrics: EntryMetrics,
    val isReady: () -> Boolean,
    val connections: ConnectionLimit
)

/** The HTTP port towards callers: model completions and plain services. */
internal class CallerServer(private val parts: CallerParts) {
    private val inFlight = AtomicInteger()

    /** Requests that are being worked on. */
    val requestsInFlight: Int get() = inFlight.get()

    fun routes(route: Route): Unit = with(route) {
        post("/v1/completions") { serve(call) { completion(call, it, CompletionForm.TEXT) } }
        post("/v1/chat/completions") { serve(call) { completion(call, it, CompletionForm.CHAT) } }
        get("/v1/models") { serve(call) { models(call) } }
        route("/services/{service}/{path...}") {
            handle { serve(call) { plain(call, it) } }
        }
    }

    /** Counts the request and answers with the error that [action] returns. */
    private suspend fun serve(
        call: ApplicationCall,
        action: suspend (ServedRequest) -> RequestError?
    ) {
        val request = ServedRequest(RequestId.random(Random.Default))
        val id = request.id
        call.response.header(CallerHeaders.REQUEST_ID, id.value)
        val running = inFlight.incrementAndGet()
        parts.metrics.inFlight.set(running.toDouble())
        try {
            val error = when {
                !parts.isReady() ->
                    RequestError.NotServing("this instance takes no requests", RETRY_MILLIS)

                !parts.connections.admit(currentCoroutineContext().job) -> {
                    parts.metrics.refusedConnections.inc()
                    call.response.header(HttpHeaders.Connection, "close")
                    RequestError.Overloaded("too many connections at this instance", RETRY_MILLIS)
                }

                running > parts.bounds.maxRequests ->
                    RequestError.Overloaded("too many requests at this instance", RETRY_MILLIS)

                else -> guarded(request, action)
            }
            if (error != null) refuse(call, id, error)
            count(request, error)
        } finally {
            parts.metrics.inFlight.set(inFlight.decrementAndGet().toDouble())
        }
    }

    /** Turns a fault of this program into a typed error; the caller may not assume "not run". */
    private suspend fun guarded(
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

    private suspend fun completion(
        call: ApplicationCall,
        request: ServedRequest,
        form: CompletionForm
    ): RequestError? {
        val body = body(call).getOrElse { return it }
        val parsed = CompletionFormat.parse(form, body.decodeToString()).getOrElse { return it }
        val context = parts.gate.open(request.id, parsed.service, headers(call))
            .getOrElse { return it }
        request.context = context
        val model = context.service.settings.model
            ?: return RequestError.Invalid("'${parsed.service}' is a plain service, not a model")
        val version = parsed.version
        if (version != null && version !in versionsOf(model)) {
            return RequestError.UnknownVersion(parsed.service, version)
        }
        val exchange = CompletionExchange(parts, call, parsed, context)
        val promptTokens = exchange.promptTokens
        val admission = parts.admissions.of(context.service, parts.view())
        val permit = admission.admit(context, promptTokens, parsed.maxTokens)
            .getOrElse { return it }
        return try {
            exchange.run(
                admission,
                permit,
                Fingerprint.of(context.organisation.name, context.service.name, body)
            )
        } finally {
            permit.release((promptTokens + exchange.delivered).toLong())
        }
    }

    private suspend fun plain(call: ApplicationCall, request: ServedRequest): RequestError? {
        val service = call.parameters["service"].orEmpty()
        val context = parts.gate.open(request.id, service, headers(call))
            .getOrElse { return it }
        request.context = context
        val settings = context.service.settings.plain
            ?: return RequestError.Invalid("'$service' is a model; use /v1/completions")
        val method = call.request.httpMethod.value
        val target = CallerHeaders.targetOf(call.request.uri)
        val key = if (settings.isNonIdempotent(method, target)) {
            CallerHeaders.callKey(
                call.request.headers[CallerHeaders.IDEMPOTENCY_KEY],
                call.request.headers[CallerHeaders.ISSUED_AT]
            ).getOrElse { return it }
        } else {
            null
        }
        val body = body(call).getOrElse { return it }
        val admission = parts.admissions.of(context.service, parts.view())
        val permit = admission.admit(context, promptTokens = 1, maxTokens = 0)
            .getOrElse { return it }
        val answer = try {
            parts.plains.run(
                PlainCall(context, method, target, forwardedHeaders(call), body, key)
            )
        } finally {
            permit.release(1)
        }.getOrElse { return it }
        respond(call, request.id, answer)
        return null
    }

    private suspend fun respond(call: ApplicationCall, id: RequestId, a: PlainAnswer) {
        call.response.header(CallerHeaders.EXECUTION, "ran")
        if (a.replayed) call.response.header(CallerHeaders.REPLAYED, "true")
        for ((name, values) in a.headers) {
            if (!name.equals(HttpHeaders.ContentType, ignoreCase = true)) {
                values.forEach { call.response.header(name, it) }
            }
        }
        val type = a.headers.entries
            .firstOrNull { it.key.equals(HttpHeaders.ContentType, ignoreCase = true) }
            ?.value?.firstOrNull()?.let { ContentType.parse(it) }
        val status = HttpStatusCode.fromValue(a.status)
        if (a.bodyKept) {
            call.respondBytes(a.body, type, status)
        } else {
            val text = """{"error":{"code":"outcome_body_not_kept","execution":"ran",""" +
                """"message":"the call ran; its answer was too large to keep",""" +
                """"request_id":"$id"}}"""
            call.respondText(text, ContentType.Application.Json, status)
        }
    }

    private suspend fun models(call: ApplicationCall): RequestError? {
        val names = parts.view().services.flatMap { s ->
            val further = s.settings.model?.versions ?: return@flatMap emptyList()
            listOf("${s.name}") + further.map { "${s.name}${CompletionCall.VERSION_MARK}$it" }
        }.joinToString(",") { """{"id":"$it","object":"model"}""" }
        call.respondText("""{"object":"list","data":[$names]}""", ContentType.Application.Json)
        return null
    }

    private fun versionsOf(model: ModelSettings) = model.versions + model.version

    private fun headers(call: ApplicationCall) = RequestHeaders(
        authorization = call.request.headers[HttpHeaders.Authorization],
        rank = call.request.headers[CallerHeaders.RANK],
        deadline = call.request.headers[CallerHeaders.DEADLINE]
    )

    /** The caller's credentials stay here; backend servers see the organisation's name instead. */
    private fun forwardedHeaders(call: ApplicationCall): Map<String, List<String>> =
        call.request.headers.entries()
            .filter { it.key.lowercase() !in PlainClient.HOP_BY_HOP }
            .filter { !it.key.equals(HttpHeaders.Authorization, ignoreCase = true) }
            .associate { it.key to it.value }

    private suspend fun body(call: ApplicationCall): Result<ByteArray, RequestError> {
        val limit = parts.bounds.maxBodyBytes
        if ((call.request.contentLength() ?: 0) > limit) return Err(RequestError.TooLarge(limit))
        val headerBytes = call.request.headers.entries()
            .sumOf { (name, values) -> values.sumOf { name.length + it.length } }
        if (headerBytes > parts.bounds.maxHeaderBytes) {
            return Err(RequestError.TooLarge(parts.bounds.maxHeaderBytes))
        }
        val bytes = call.receiveChannel().readRemaining(limit + 1).readByteArray()
        return if (bytes.size > limit) Err(RequestError.TooLarge(limit)) else Ok(bytes)
    }

    /** Labels are empty for a refusal before organisation, service and rank are known. */
    private fun count(r: ServedRequest, error: RequestError?) {
        val c = r.context
        if (c == null && error == null) return
        parts.metrics.requests.labelValues(
            c?.service?.name?.value.orEmpty(),
            c?.rank?.name?.value.orEmpty(),
            c?.sizeClass.orEmpty(),
            error?.code ?: "ok"
        ).inc()
    }

    private suspend fun refuse(call: ApplicationCall, id: RequestId, e: RequestError) {
        Logger.info("entry: request=$id refused code=${e.code} execution=${e.execution.wireName}")
        if (call.response.isCommitted) return
        call.response.header(CallerHeaders.EXECUTION, e.execution.wireName)
        e.retryAfterMillis?.let {
            val seconds = (it + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND
            call.response.header(HttpHeaders.RetryAfter, maxOf(1, seconds).toString())
        }
        call.respondText(
            ErrorBody.text(e, id),
            ContentType.Application.Json,
            HttpStatusCode.fromValue(e.status)
        )
    }

    private companion object {
        const val RETRY_MILLIS = 1_000L
        const val MILLIS_PER_SECOND = 1_000L
    }
}

/** A request on its way; [context] is null until it is authenticated. */
private class ServedRequest(val id: RequestId) {
    var context: RequestContext? = null
}

internal val entryJson: Json = Json { ignoreUnknownKeys = true }

internal inline fun <reified T> T.toJson(): String = entryJson.encodeToString(this)
