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

/** Sends the requests of the demo and checks their answers. */
internal class Demo(private val fleet: LocalFleet) {
    private var wrongCount = 0

    /** Runs the demo and returns the exit code: 0 if all answers are right, else 1. */
    fun run(): Int {
        println("Starting the platform, backend servers and entry instances ...")
        fleet.start()
        fleet.instances.forEach { println("  $it serves callers at ${fleet.callerAddress(it)}") }
        streamUrgentAnswer()
        requestBatchSummary()
        sendOrderTwice()
        publishSetting()
        shutDownInstances()
        println(if (wrongCount == 0) "All answers are correct." else "$wrongCount checks FAILED.")
        return if (wrongCount == 0) 0 else 1
    }

    private fun streamUrgentAnswer() {
        printTitle("A streamed urgent question at entry-1")
        val prompt = "which boxes go on pallet seven"
        val r = sendCompletion("entry-1", "line-one-key", "urgent", prompt, 8, stream = true)
        val events = r.body().lines().filter { it.startsWith("data: ") }.map { it.substring(6) }
        val text = events.filter { it != "[DONE]" }.joinToString("") { textOf(it) }
        println("  answer: ${text.ifEmpty { "${r.statusCode()} ${r.body()}" }}")
        checkEqual(
            "the streamed answer",
            text,
            ModelFunction.answer(prompt, 8, LAYERS).joinToString("")
        )
        checkEqual("the end of the stream", events.lastOrNull(), "[DONE]")
        printDecisionLog("entry-1", r)
    }

    private fun requestBatchSummary() {
        printTitle("A summary with the lowest rank at entry-2")
        val prompt = "summarise the month for the audit"
        val r = sendCompletion("entry-2", "audit-office-key", "batch", prompt, 24, stream = false)
        val text = textOf(r.body())
        println("  answer: ${text.take(60)}...")
        val expected = ModelFunction.answer(prompt, 24, LAYERS).joinToString("")
        checkEqual("the summary", text, expected)
        printDecisionLog("entry-2", r)
    }

    private fun sendOrderTwice() {
        printTitle("A dispatch confirmation at entry-1, and the same again at entry-3")
        val key = "dispatch-${UUID.randomUUID()}"
        val issued = Instant.now().toString()
        val first = sendDispatch("entry-1", key, issued)
        println("  entry-1: ${first.statusCode()} ${first.body()}")
        printDecisionLog("entry-1", first)
        val again = sendDispatch("entry-3", key, issued)
        val replayed = again.headers().firstValue("Greengage-Replayed").orElse("false")
        println("  entry-3: ${again.statusCode()} ${again.body()} replayed=$replayed")
        printDecisionLog("entry-3", again)
        checkEqual("the repeated answer", again.body(), first.body())
        checkEqual("the header Greengage-Replayed", replayed, "true")
        val effects = fleet.get("http://${fleet.process("terminal-1").address}/effects").body()
        checkEqual("the number of effects", Json.parseToJsonElement(effects).jsonArray.size, 1)
    }

    private fun publishSetting() {
        printTitle("A setting published at entry-2")
        val base = fleet.statusOrNull("entry-2")?.settings?.version ?: 0
        val yaml = "{priority: 2, firstTokenMillis: 9000, betweenTokensMillis: 250, " +
            "deadlineMillis: 60000, floorShare: 0.08, weight: 1}"
        val r = fleet.publish("ranks/batch", yaml, base, through = "entry-2")
        println("  entry-2: ${r.statusCode()} ${r.body()}")
        checkEqual("the status of the publish", r.statusCode(), OK)
        val version = Json.parseToJsonElement(r.body()).jsonObject["version"]
            ?.jsonPrimitive?.content?.toLong() ?: Long.MAX_VALUE
        fleet.awaitReady(fleet.instances, version)
        println("  in force at ${fleet.instances.joinToString()}")
        val log = fleet.process("entry-3").output.lastOrNull { "is in force" in it }
        println("  log: ${log.orEmpty()}")
    }

    private fun shutDownInstances() {
        printTitle("Graceful shutdown of all instances")
        fleet.instances.forEach { fleet.process(it).terminate() }
        for (i in fleet.instances) {
            val code = fleet.process(i).awaitExit(EXIT_SECONDS)
            val last = fleet.process(i).output.lastOrNull { "is drained" in it }.orEmpty()
            println("  $i: ${last.substringAfter("INFO ")}")
            checkEqual("the exit code of $i", code, SIGTERM_EXIT_CODE)
            checkEqual("the drain of $i", "is drained" in last, true)
        }
    }

    private fun sendCompletion(
        instance: String,
        key: String,
        rank: String,
        prompt: String,
        tokens: Int,
        stream: Boolean
    ) = fleet.post(
        "http://${fleet.callerAddress(instance)}/v1/completions",
        """{"model":"packing-line","prompt":"$prompt","max_tokens":$tokens,"stream":$stream}""",
        "Authorization" to "Bearer $key",
        "Greengage-Rank" to rank
    )

    private fun sendDispatch(instance: String, key: String, issued: String) = fleet.post(
        "http://${fleet.callerAddress(instance)}/services/warehouse-terminal/dispatches/17",
        """{"pallet":17}""",
        "Authorization" to "Bearer line-one-key",
        "Greengage-Rank" to "urgent",
        "Idempotency-Key" to key,
        "Greengage-Issued-At" to issued
    )

    private fun printDecisionLog(instance: String, r: HttpResponse<String>) {
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

    private fun printTitle(text: String) = println("\n== $text")

    private fun checkEqual(what: String, actual: Any?, expected: Any?) {
        if (actual == expected) return
        wrongCount++
        println("  FAILED: $what is '$actual', expected '$expected'")
    }

    private companion object {
        const val LAYERS = 12
        const val OK = 200
        const val EXIT_SECONDS = 20L

        /** Exit code of a JVM that ends on SIGTERM after its shutdown hooks: 128 + 15. */
        const val SIGTERM_EXIT_CODE = 143
    }
}
