package io.greengageport.bench

import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.get
import io.ktor.client.request.header
import io.ktor.client.request.post
import io.ktor.client.request.preparePost
import io.ktor.client.request.setBody
import io.ktor.client.request.url
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.client.statement.bodyAsText
import io.ktor.utils.io.readLine
import java.io.IOException
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.withTimeout
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json

/**
 * Sends requests to entry instances, reads their answers and checks them.
 *
 * [elapsedNanos] returns the nanoseconds since the start of the experiment.
 */
internal class CallerClient(private val check: AnswerCheck, private val elapsedNanos: () -> Long) :
    AutoCloseable {
    @Serializable
    private data class CompletionBody(
        val model: String,
        val prompt: String,
        @SerialName("max_tokens") val maxTokens: Int,
        val stream: Boolean = true
    )

    @Serializable
    private data class Event(val choices: List<Choice> = emptyList(), val error: Failure? = null)

    @Serializable
    private data class Choice(val text: String)

    @Serializable
    private data class Failure(
        val code: String,
        val execution: String = "",
        @SerialName("retry_after_ms") val retryAfterMillis: Long? = null
    )

    private val http = newCallerHttpClient()

    /**
     * Sends [a] to the instance at [address].
     *
     * An attempt without a complete answer within [limitMillis] ends with
     * [CallEnd.CONNECTION_LOST].
     */
    suspend fun send(a: Arrival, address: String, key: OrderKey, limitMillis: Long): Attempt {
        val expected = if (a.group.kind == CallKind.COMPLETION) {
            check.expectAnswer(a.prompt, a.group.tokens)
        } else {
            emptyList()
        }
        val tokens = ReceivedTokens(expected)
        return try {
            withTimeout(limitMillis) {
                when (a.group.kind) {
                    CallKind.COMPLETION -> sendCompletion(a, address, tokens)
                    CallKind.ORDER -> sendOrder(a, address, key)
                    CallKind.LOOKUP -> sendLookup(a, address)
                }
            }
        } catch (e: TimeoutCancellationException) {
            newLostAttempt(tokens, "hang")
        } catch (e: CancellationException) {
            throw e
        } catch (e: IOException) {
            newLostAttempt(tokens, "connection_lost")
        } catch (e: IllegalStateException) {
            newLostAttempt(tokens, "connection_lost")
        }
    }

    override fun close(): Unit = http.close()

    private class ReceivedTokens(val expected: List<String>) {
        val texts = ArrayList<String>()
        val arrivalNanos = ArrayList<Long>()
    }

    private fun newLostAttempt(r: ReceivedTokens, code: String): Attempt = Attempt(
        end = CallEnd.CONNECTION_LOST,
        code = code,
        tokens = r.texts.size,
        tokenNanos = r.arrivalNanos,
        fault = check.findFault(r.expected, r.texts, isComplete = false)
    )

    private suspend fun sendCompletion(a: Arrival, address: String, r: ReceivedTokens): Attempt {
        val body = CompletionBody(a.group.service, a.prompt, a.group.tokens)
        return http.preparePost {
            url("http://$address/v1/completions")
            addCallerHeaders(a)
            setBody(json.encodeToString(body))
        }.execute { response ->
            if (response.status.value != OK) readRefusal(response) else readStream(response, r)
        }
    }

    private suspend fun readStream(response: HttpResponse, r: ReceivedTokens): Attempt {
        val channel = response.bodyAsChannel()
        var failure: Failure? = null
        var isDone = false
        while (true) {
            val line = channel.readLine() ?: break
            if (!line.startsWith(DATA_PREFIX)) continue
            val data = line.substring(DATA_PREFIX.length)
            if (data == "[DONE]") {
                isDone = true
                continue
            }
            val event = json.decodeFromString<Event>(data)
            failure = event.error ?: failure
            event.choices.firstOrNull()?.let {
                r.arrivalNanos += elapsedNanos()
                r.texts += it.text
            }
        }
        // A stream that ends without [DONE] and without an error event is truncated.
        val isComplete = failure == null
        val fault = check.findFault(r.expected, r.texts, isComplete)
            ?: AnswerFault.TRUNCATED.takeIf { isComplete && !isDone }
        return Attempt(
            end = if (failure == null) CallEnd.ANSWERED else CallEnd.INTERRUPTED,
            status = OK,
            code = failure?.code.orEmpty(),
            execution = failure?.execution ?: "ran",
            retryAfterMillis = failure?.retryAfterMillis,
            tokens = r.texts.size,
            tokenNanos = r.arrivalNanos,
            fault = fault
        )
    }

    private suspend fun sendOrder(a: Arrival, address: String, key: OrderKey): Attempt {
        val response = http.post("http://$address/services/${a.group.service}/dispatches/1") {
            addCallerHeaders(a)
            header("Idempotency-Key", key.value)
            header("Greengage-Issued-At", key.issuedAt.toString())
            setBody(a.prompt)
        }
        return readPlainAnswer(response)
    }

    private suspend fun sendLookup(a: Arrival, address: String): Attempt = readPlainAnswer(
        http.get("http://$address/services/${a.group.service}/hampers/1") {
            addCallerHeaders(a)
        }
    )

    private suspend fun readPlainAnswer(response: HttpResponse): Attempt {
        if (response.status.value >= MIN_ERROR_STATUS) return readRefusal(response)
        response.bodyAsText()
        return Attempt(
            end = CallEnd.ANSWERED,
            status = response.status.value,
            execution = "ran",
            tokenNanos = listOf(elapsedNanos())
        )
    }

    private suspend fun readRefusal(response: HttpResponse): Attempt {
        val text = response.bodyAsText()
        val failure = try {
            json.decodeFromString<Event>(text).error
        } catch (e: IllegalArgumentException) {
            null
        }
        return Attempt(
            end = CallEnd.REFUSED,
            status = response.status.value,
            code = failure?.code ?: "status_${response.status.value}",
            execution = failure?.execution.orEmpty(),
            retryAfterMillis = failure?.retryAfterMillis
        )
    }

    private fun HttpRequestBuilder.addCallerHeaders(a: Arrival) {
        header("Authorization", "Bearer ${a.key}")
        header("Greengage-Rank", a.group.rank)
        a.group.deadlineMillis?.let { header("Greengage-Deadline-Ms", it.toString()) }
    }

    private companion object {
        const val OK = 200
        const val MIN_ERROR_STATUS = 400
        const val DATA_PREFIX = "data: "
        val json = Json {
            ignoreUnknownKeys = true
            encodeDefaults = true
        }
    }
}
