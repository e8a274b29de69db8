package io.greengageport.bench

import io.greengageport.standins.ModelFunction
import java.net.http.HttpResponse
import java.time.Instant
import java.util.UUID
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive

/** The requests of the demo and the checks of their answers. */
internal class Demo(private val fleet: LocalFleet) {
    private var wrong = 0

    fun run(): Int {
        println("Starting the platform, backend servers and entry instances ...")
        fleet.start()
        fleet.instances.forEach { println("  $it serves callers at ${fleet.callers(it)}") }
        urgentStream()
        batchSummary()
        orderTwice()
        publishSetting()
        stop()
        println(if (wrong == 0) "All answers were right." else "$wrong answers were WRONG.")
        return if (wrong == 0) 0 else 1
    }

    private fun urgentStream() {
        title("A streamed urgent question at entry-1")
        val prompt = "which boxes go on pallet seven"
        val r = completion("entry-1", "line-one-key", "urgent", prompt, 8, stream = true)
        val events = r.body().lines().filter { it.startsWith("data: ") }.map { it.substring(6) }
        val text = events.filter { it != "[DONE]" }.joinToString("") { textOf(it) }
        println("  answer: ${text.ifEmpty { "${r.statusCode()} ${r.body()}" }}")
        check("the streamed answer", text, ModelFunction.answer(prompt, 8, LAYERS).joinToString(""))
        check("the end of the stream", events.lastOrNull(), "[DONE]")
        explain("entry-1", r)
    }

    private fun batchSummary() {
        title("A summary of the lowest rank at entry-2")
        val prompt = "summarise the month for the audit"
        val r = completion("entry-2", "audit-office-key", "batch", prompt, 24, stream = false)
        val text = textOf(r.body())
        println("  answer: ${text.take(60)}...")
        val expected = ModelFunction.answer(prompt, 24, LAYERS).joinToString("")
        check("the summary", text, expected)
        explain("entry-2", r)
    }

    private fun orderTwice() {
        title("A dispatch confirmation at entry-1, and the same again at entry-3")
        val key = "dispatch-${UUID.randomUUID()}"
        val issued = Instant.now().toString()
        val first = dispatch("entry-1", key, issued)
        println("  entry-1: ${first.statusCode()} ${first.body()}")
        explain("entry-1", first)
        val again = dispatch("entry-3", key, issued)
        val replayed = again.headers().firstValue("Greengage-Replayed").orElse("false")
        println("  entry-3: ${again.statusCode()} ${again.body()} replayed=$replayed")
        explain("entry-3", again)
        check("the repeated answer", again.body(), first.body())
        check("the replay mark", replayed, "true")
        val effects = fleet.get("http://${fleet.process("terminal-1").address}/effects").body()
        check("effects at the service", Json.parseToJsonElement(effects).jsonArray.size, 1)
    }

    private fun publishSetting() {
        title("A setting published at entry-2")
        val base = fleet.statusOrNull("entry-2")?.settings?.version ?: 0
        val yaml = "{priority: 2, firstTokenMillis: 9000, betweenTokensMillis: 250, " +
            "deadlineMillis: 60000, floorShare: 0.08, weight: 1}"
        val r = fleet.publish("ranks/batch", yaml, base, through = "entry-2")
        println("  entry-2: ${r.statusCode()} ${r.body()}")
        check("the status of the publish", r.statusCode(), OK)
        val version = Json.parseToJsonElement(r.body()).jsonObject["version"]
            ?.jsonPrimitive?.content?.toLong() ?: Long.MAX_VALUE
        fleet.awaitReady(fleet.instances, version)
        println("  in force at ${fleet.instances.joinToString()}")
        val log = fleet.process("entry-3").output.lastOrNull { "is in force" in it }
        println("  log: ${log.orEmpty()}")
    }

    private fun stop() {
        title("Graceful shutdown of all instances")
        fleet.instances.forEach { fleet.process(it).terminate() }
        for (i in fleet.instances) {
            val code = fleet.process(i).awaitExit(EXIT_SECONDS)
            val last = fleet.process(i).output.lastOrNull { "is drained" in it }.orEmpty()
            println("  $i: ${last.substringAfter("INFO ")}")
            check("the end of $i", code, SIGTERM_STATUS)
            check("the drain of $i", "is drained" in last, true)
        }
    }

    private fun completion(
        instance: String,
        key: String,
        rank: String,
        prompt: String,
        tokens: Int,
        stream: Boolean
    ) = fleet.post(
        "http://${fleet.callers(instance)}/v1/completions",
        """{"model":"packing-line","prompt":"$prompt","max_tokens":$tokens,"stream":$stream}""",
        "Authorization" to "Bearer $key",
        "Greengage-Rank" to rank
    )

    private fun dispatch(instance: String, key: String, issued: String) = fleet.post(
        "http://${fleet.callers(instance)}/services/warehouse-terminal/dispatches/17",
        """{"pallet":17}""",
        "Authorization" to "Bearer line-one-key",
        "Greengage-Rank" to "urgent",
        "Idempotency-Key" to key,
        "Greengage-Issued-At" to issued
    )

    private fun explain(instance: String, r: HttpResponse<String>) {
        val id = r.headers().firstValue("Greengage-Request-Id").orElse("-")
        fleet.process(instance).output
            .filter { "request=$id" in it }
            .forEach { println("  log: ${it.substringAfter("INFO ")}") }
    }

    private fun textOf(body: String): String = try {
        val choice = Json.parseToJsonElement(body).jsonObject["choices"]?.jsonArray?.first()
        (choice as? JsonObject)?.get("text")?.jsonPrimitive?.content.orEmpty()
    } catch (e: IllegalArgumentException) {
        "no answer: $body"
    }

    private fun title(text: String) = println("\n== $text")

    private fun check(what: String, actual: Any?, expected: Any?) {
        if (actual == expected) return
        wrong++
        println("  WRONG: $what is '$actual', expected '$expected'")
    }

    private companion object {
        const val LAYERS = 12
        const val OK = 200
        const val EXIT_SECONDS = 20L

        /** A JVM that ends on SIGTERM after its shutdown hooks reports 128 + 15. */
        const val SIGTERM_STATUS = 143
    }
}
