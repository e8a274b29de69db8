package io.greengageport.systemtest

import io.greengageport.bench.PlainSpec
import io.greengageport.systemtest.TestFleet.Companion.engine
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.nio.file.Files
import java.nio.file.Path
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Compares a session of requests and responses with a golden file. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
internal class SessionTest {
    private val fleet = TestFleet(
        instances = 1,
        engines = listOf(engine("a1", 0, 6), engine("b1", 6, 12)),
        plain = listOf(PlainSpec("shop", "parts"))
    )
    private val client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()
    private val transcript = StringBuilder()

    @AfterAll
    fun close(): Unit = fleet.close()

    /** Guards against changes to statuses, headers, bodies and events that callers rely on. */
    @Test
    fun `is the same as in the golden file`() {
        fleet.awaitLedgers()
        exchangeCompletions()
        exchangeRefusals()
        exchangeServiceCalls()
        val text = normalise(transcript.toString())
        val actualFile = Path.of(System.getProperty("greengageport.root"))
            .resolve("systemtest/target/session.txt")
        Files.writeString(actualFile, text)
        val golden = checkNotNull(javaClass.getResource("/session.txt")) {
            "src/test/resources/session.txt is missing; review the session that this test wrote " +
                "and copy it there: cp systemtest/target/session.txt systemtest/src/test/resources/"
        }
        expectThat(text).isEqualTo(Files.readString(Path.of(golden.toURI())))
    }

    private fun exchangeCompletions() {
        val whole = """{"model":"guide","prompt":"how steep may a run be","max_tokens":4}"""
        exchange("GET", "/v1/models")
        exchange("POST", "/v1/completions", whole)
        exchange("POST", "/v1/completions", whole.replace("}", ""","stream":true}"""))
        val chat = """{"model":"guide","messages":[{"role":"user","content":"plan a lesson"}],""" +
            """"max_tokens":3,"stream":true}"""
        exchange("POST", "/v1/chat/completions", chat)
        exchange("POST", "/v1/chat/completions", chat.replace("true", "false"))
    }

    private fun exchangeRefusals() {
        val body = """{"model":"guide","prompt":"x","max_tokens":1}"""
        exchange("POST", "/v1/completions", body, "Authorization" to "Bearer unknown")
        exchange("POST", "/v1/completions", body.replace("guide", "nothing"))
        exchange("POST", "/v1/completions", body.replace("1}", "0}"))
        exchange("POST", "/v1/completions", "{")
        exchange("POST", "/v1/completions", body, "Greengage-Rank" to "none")
        exchange("POST", "/v1/completions", body, "Greengage-Deadline-Ms" to "soon")
        exchange("GET", "/services/nothing/x")
    }

    private fun exchangeServiceCalls() {
        val issued = "Greengage-Issued-At" to java.time.Instant.now().toString()
        val key = "Idempotency-Key" to "session-1"
        exchange("GET", "/services/parts/list?run=7")
        exchange("POST", "/services/parts/orders/7", "marble")
        exchange("POST", "/services/parts/orders/7", "marble", key, issued)
        exchange("POST", "/services/parts/orders/7", "marble", key, issued)
        exchange("POST", "/services/parts/orders/7", "glass", key, issued)
        val old = "Greengage-Issued-At" to "2020-01-01T00:00:00Z"
        exchange("POST", "/services/parts/orders/7", "marble", "Idempotency-Key" to "old", old)
    }

    private fun exchange(
        method: String,
        path: String,
        body: String = "",
        vararg headers: Pair<String, String>
    ) {
        val all = linkedMapOf("Authorization" to "Bearer ${TestFleet.BUILDERS_KEY}")
        if ("Greengage-Rank" !in headers.toMap()) all["Greengage-Rank"] = "urgent"
        all += headers
        val request = HttpRequest.newBuilder(
            URI("http://${fleet.local.callerAddress("entry-1")}$path")
        )
        all.forEach { (name, value) -> request.header(name, value) }
        val publisher = if (body.isEmpty()) {
            HttpRequest.BodyPublishers.noBody()
        } else {
            HttpRequest.BodyPublishers.ofString(body)
        }
        val r = client.send(
            request.method(method, publisher).build(),
            HttpResponse.BodyHandlers.ofString()
        )
        transcript.append("> $method $path\n")
        all.forEach { (name, value) -> transcript.append("> $name: $value\n") }
        if (body.isNotEmpty()) transcript.append("> $body\n")
        transcript.append("< ${r.statusCode()}\n")
        r.headers().map().toSortedMap().forEach { (name, values) ->
            values.forEach { transcript.append("< $name: $it\n") }
        }
        r.body().lines().filter { it.isNotEmpty() }.forEach { transcript.append("< $it\n") }
        transcript.append('\n')
    }

    private fun normalise(text: String): String = RULES.fold(text) { t, (pattern, replacement) ->
        t.replace(pattern, replacement)
    }

    private companion object {
        /** Patterns of text that differs between runs, with their replacements. */
        val RULES = listOf(
            Regex("[0-9a-f]{32}") to "ID",
            Regex("\"created\":\\d+") to "\"created\":TIME",
            Regex("(?m)^< date: .*\n") to "",
            Regex("Issued-At: 202[1-9]\\S*") to "Issued-At: NOW"
        )
    }
}
