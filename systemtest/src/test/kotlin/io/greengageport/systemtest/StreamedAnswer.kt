package io.greengageport.systemtest

import io.greengageport.bench.LocalFleet
import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive

/** A streamed completion that a separate thread reads as a caller would. */
internal class StreamedAnswer(url: String, body: String, headers: Map<String, String>) {
    private val received = mutableListOf<String>()
    private val receivedAtNanos = mutableListOf<Long>()

    /** HTTP status of the response; 0 until its head has arrived. */
    @Volatile
    var status: Int = 0
        private set

    /** Request id from the response headers; empty until they have arrived. */
    @Volatile
    var requestId: String = ""
        private set

    /** How the stream ended: `complete`, an error code, or `cut`; null while it runs. */
    @Volatile
    var end: String? = null
        private set

    /** Message of the error that ended the stream, or empty. */
    @Volatile
    private var message = ""

    private val thread = Thread({ read(url, body, headers) }, "stream").apply {
        isDaemon = true
        start()
    }

    /** The tokens received so far. */
    val tokens: List<String> get() = synchronized(received) { received.toList() }

    /** The longest time between two tokens in milliseconds. */
    val longestGapMillis: Long
        get() = synchronized(received) { receivedAtNanos.zipWithNext { a, b -> b - a }.max() } /
            1_000_000

    /** Waits until at least [count] tokens arrived; fails if the stream ends earlier. */
    fun awaitTokens(count: Int): StreamedAnswer = apply {
        LocalFleet.await("$count tokens, then end=$end status=$status") {
            check(end == null || tokens.size >= count) {
                "stream ended early: $end, status $status, $message"
            }
            tokens.size >= count
        }
    }

    /** Waits until the stream has ended. */
    fun awaitEnd(): StreamedAnswer = apply {
        LocalFleet.await("the end of the stream after ${tokens.size} tokens") { end != null }
        thread.join()
    }

    private fun read(url: String, body: String, headers: Map<String, String>) {
        val request = HttpRequest.newBuilder(URI(url)).timeout(Duration.ofSeconds(TIMEOUT_SECONDS))
        headers.forEach { (name, value) -> request.header(name, value) }
        end = try {
            val r = client.send(
                request.POST(HttpRequest.BodyPublishers.ofString(body)).build(),
                HttpResponse.BodyHandlers.ofLines()
            )
            status = r.statusCode()
            requestId = r.headers().firstValue("Greengage-Request-Id").orElse("")
            r.body().use { lines ->
                lines.iterator().asSequence().mapNotNull(::processLine).firstOrNull()
            }
                ?: "cut"
        } catch (e: IOException) {
            "cut"
        } catch (e: java.io.UncheckedIOException) {
            "cut"
        }
    }

    /** Processes one line; returns the end of the stream if the line marks it, otherwise null. */
    private fun processLine(line: String): String? {
        val data = if (status == OK) line.substringAfter("data: ", "") else line
        if (data.isEmpty()) return null
        if (data == "[DONE]") return "complete"
        val o = Json.parseToJsonElement(data).jsonObject
        (o["error"] as? JsonObject)?.let {
            message = it.getValue("message").jsonPrimitive.content
            return it.getValue("code").jsonPrimitive.content
        }
        val choice = o.getValue("choices").jsonArray.first().jsonObject
        synchronized(received) {
            received += choice.getValue("text").jsonPrimitive.content
            receivedAtNanos += System.nanoTime()
        }
        return null
    }

    private companion object {
        const val OK = 200
        const val TIMEOUT_SECONDS = 120L
        val client: HttpClient =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()
    }
}
