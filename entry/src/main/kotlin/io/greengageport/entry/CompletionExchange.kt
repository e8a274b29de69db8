package io.greengageport.entry

import com.github.michaelbull.result.fold
import io.greengageport.common.Execution
import io.greengageport.common.RequestError
import io.greengageport.limits.Permit
import io.greengageport.routing.Fingerprint
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.header
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.response.respondText
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeStringUtf8
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch

/**
 * Sends the tokens of one model answer to its caller, as a stream or as a whole.
 *
 * The HTTP status is sent with the first token, so that an earlier failure gets its own status. A
 * later failure is sent as an error event, and the stream then ends without `[DONE]`.
 */
internal class CompletionExchange(
    private val deps: CallerDependencies,
    private val call: ApplicationCall,
    private val completion: CompletionCall,
    private val context: RequestContext
) {
    private sealed interface Event {
        class Token(val text: String, val isLast: Boolean) : Event

        class Failed(val error: RequestError) : Event

        /** The answer ended without an error; an internal error if no last token came before. */
        data object Complete : Event
    }

    private val createdAtSeconds = deps.clock.wallMillis() / MILLIS_PER_SECOND
    private var lastTokenAtMillis = 0L

    /** Estimate of the tokens of the prompt: its number of words. */
    val promptTokens: Int = completion.prompt.split(' ', '\n').count { it.isNotEmpty() }

    /** Number of tokens received from the engines. */
    @Volatile
    var deliveredTokens: Int = 0
        private set

    /**
     * Runs the request and sends its answer. Returns the error that ended it, or null. Unless the
     * stream has started, the error has not been sent to the caller yet.
     */
    suspend fun run(
        admission: ServiceAdmission,
        permit: Permit,
        fingerprint: Fingerprint
    ): RequestError? = coroutineScope {
        val events = Channel<Event>(BUFFERED_TOKENS)
        val model = ModelCall(
            context = context,
            prompt = completion.prompt,
            promptTokens = promptTokens,
            maxTokens = completion.maxTokens,
            fingerprint = fingerprint,
            version = completion.version
        )
        val producer = launch {
            val end = deps.modelHandler.run(model, admission) { text, isLast ->
                recordToken(permit)
                events.send(Event.Token(text, isLast))
            }
            events.send(end.fold({ Event.Complete }, { Event.Failed(it) }))
        }
        val error = when (val first = events.receive()) {
            is Event.Failed, Event.Complete -> errorOf(first)

            is Event.Token ->
                if (completion.stream) respondStream(first, events) else respondWhole(first, events)
        }
        if (error == null) producer.join() else producer.cancel()
        error
    }

    private suspend fun respondStream(first: Event.Token, events: Channel<Event>): RequestError? {
        var failure: RequestError? = null
        call.response.header(HttpHeaders.CacheControl, "no-cache")
        call.response.header(CallerHeaders.EXECUTION, Execution.RAN.wireName)
        call.respondBytesWriter(ContentType.Text.EventStream) {
            var event: Event = first
            while (true) {
                val e = event
                if (e !is Event.Token) {
                    val error = errorOf(e)
                    writeStringUtf8("data: ${ErrorBody.text(error, context.id)}\n\n")
                    failure = error
                    break
                }
                writeToken(e)
                if (e.isLast) break
                event = nextEvent(events)
            }
            flush()
        }
        return failure
    }

    private suspend fun ByteWriteChannel.writeToken(t: Event.Token) {
        val finishReason = if (t.isLast) "length" else null
        writeStringUtf8(
            CompletionFormat.event(context.id, completion, createdAtSeconds, t.text, finishReason)
        )
        if (t.isLast) writeStringUtf8("data: [DONE]\n\n")
    }

    private fun errorOf(e: Event): RequestError = when (e) {
        is Event.Failed -> e.error
        else -> RequestError.Internal("the answer ended without its last token", Execution.RAN)
    }

    /** Returns the next event. Flushes only if it has to wait, to save system calls under load. */
    private suspend fun ByteWriteChannel.nextEvent(events: Channel<Event>): Event {
        events.tryReceive().getOrNull()?.let { return it }
        flush()
        return events.receive()
    }

    private suspend fun respondWhole(first: Event.Token, events: Channel<Event>): RequestError? {
        val text = StringBuilder(first.text)
        var isLast = first.isLast
        while (!isLast) {
            val e = events.receive()
            if (e !is Event.Token) return errorOf(e)
            text.append(e.text)
            isLast = e.isLast
        }
        call.response.header(CallerHeaders.EXECUTION, Execution.RAN.wireName)
        val usage = Usage(promptTokens, deliveredTokens)
        call.respondText(
            CompletionFormat.answer(
                context.id,
                completion,
                createdAtSeconds,
                text.toString(),
                usage
            ),
            ContentType.Application.Json
        )
        return null
    }

    private fun recordToken(permit: Permit) {
        val now = deps.clock.monotonicMillis()
        val service = context.service.name.value
        val rank = context.rank.name.value
        if (deliveredTokens++ == 0) {
            permit.onFirstToken()
            deps.metrics.firstToken.labelValues(service, rank, context.sizeClass)
                .observe((now - context.arrivedAtMillis) / SECOND_MILLIS)
        } else {
            deps.metrics.tokenGap.labelValues(service, rank)
                .observe((now - lastTokenAtMillis) / SECOND_MILLIS)
        }
        lastTokenAtMillis = now
        deps.metrics.tokens.labelValues(service, rank, context.sizeClass).inc()
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000L
        const val SECOND_MILLIS = 1_000.0

        /** Tokens buffered for a slow caller before the engine is slowed down. */
        const val BUFFERED_TOKENS = 64
    }
}
