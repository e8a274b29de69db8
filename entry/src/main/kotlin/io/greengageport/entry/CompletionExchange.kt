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
 * Carries the tokens of one model answer to its caller, streamed or as a whole.
 *
 * The status is sent with the first token, so that a failure before it gets a status of its own. A
 * failure after it becomes an error event; the stream then ends without `[DONE]`.
 */
internal class CompletionExchange(
    private val parts: CallerParts,
    private val call: ApplicationCall,
    private val completion: CompletionCall,
    private val context: RequestContext
) {
    private sealed interface Event {
        class Token(val text: String, val last: Boolean) : Event

        class Failed(val error: RequestError) : Event

        data object Complete : Event
    }

    private val created = parts.clock.wallMillis() / MILLIS_PER_SECOND
    private var lastTokenAt = 0L

    /** Number of words of the prompt, as an estimate of its tokens. */
    val promptTokens: Int = completion.prompt.split(' ', '\n').count { it.isNotEmpty() }

    /** Tokens that the engines delivered. */
    @Volatile
    var delivered: Int = 0
        private set

    /** Runs the request; returns the error that is still to be answered, if any. */
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
            fingerprint = fingerprint
        )
        val producer = launch {
            val end = parts.models.run(model, admission) { text, last ->
                observe(permit)
                events.send(Event.Token(text, last))
            }
            events.send(end.fold({ Event.Complete }, { Event.Failed(it) }))
        }
        val error = when (val first = events.receive()) {
            is Event.Failed -> first.error
            Event.Complete -> RequestError.Internal("an empty answer", Execution.RAN)
            is Event.Token -> if (completion.stream) stream(first, events) else whole(first, events)
        }
        producer.cancel()
        error
    }

    private suspend fun stream(first: Event.Token, events: Channel<Event>): RequestError? {
        var failure: RequestError? = null
        call.response.header(HttpHeaders.CacheControl, "no-cache")
        call.response.header(CallerHeaders.EXECUTION, Execution.RAN.wireName)
        call.respondBytesWriter(ContentType.Text.EventStream) {
            var event: Event = first
            while (true) {
                when (val e = event) {
                    is Event.Token -> writeStringUtf8(
                        CompletionFormat.event(
                            context.id,
                            completion,
                            created,
                            e.text,
                            if (e.last) "length" else null
                        )
                    )

                    is Event.Failed -> {
                        failure = e.error
                        writeStringUtf8("data: ${ErrorBody.text(e.error, context.id)}\n\n")
                        break
                    }

                    Event.Complete -> {
                        writeStringUtf8("data: [DONE]\n\n")
                        break
                    }
                }
                event = next(events)
            }
            flush()
        }
        return failure
    }

    /** Flushes only when no further token is at hand, to save system calls under load. */
    private suspend fun ByteWriteChannel.next(events: Channel<Event>): Event {
        events.tryReceive().getOrNull()?.let { return it }
        flush()
        return events.receive()
    }

    private suspend fun whole(first: Event.Token, events: Channel<Event>): RequestError? {
        val text = StringBuilder(first.text)
        while (true) {
            when (val e = events.receive()) {
                is Event.Token -> text.append(e.text)
                is Event.Failed -> return e.error
                Event.Complete -> break
            }
        }
        call.response.header(CallerHeaders.EXECUTION, Execution.RAN.wireName)
        val usage = Usage(promptTokens, delivered)
        call.respondText(
            CompletionFormat.answer(context.id, completion, created, text.toString(), usage),
            ContentType.Application.Json
        )
        return null
    }

    private fun observe(permit: Permit) {
        val now = parts.clock.monotonicMillis()
        val service = context.service.name.value
        val rank = context.rank.name.value
        if (delivered++ == 0) {
            permit.onFirstToken()
            parts.metrics.firstToken.labelValues(service, rank, context.sizeClass)
                .observe((now - context.arrivedAt) / MILLIS)
        } else {
            parts.metrics.tokenGap.labelValues(service, rank).observe((now - lastTokenAt) / MILLIS)
        }
        lastTokenAt = now
        parts.metrics.tokens.labelValues(service, rank, context.sizeClass).inc()
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000L
        const val MILLIS = 1_000.0

        /** Tokens that wait for a slow caller before the engine is slowed down. */
        const val BUFFERED_TOKENS = 64
    }
}
