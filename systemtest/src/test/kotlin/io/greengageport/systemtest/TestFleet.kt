package io.greengageport.systemtest

import io.greengageport.bench.EngineSpec
import io.greengageport.bench.FleetFile
import io.greengageport.bench.InstanceSpec
import io.greengageport.bench.LocalFleet
import io.greengageport.bench.PlainSpec
import io.greengageport.bench.PlatformSpec
import io.greengageport.bench.ProgramProcess
import java.net.http.HttpResponse
import java.nio.file.Files
import java.nio.file.Path
import java.time.Instant
import java.util.concurrent.CompletableFuture
import java.util.concurrent.Executors
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long

/**
 * The processes of one test class, with helpers for calls and faults.
 *
 * Starts the instances `entry-1`, `entry-2` and so on, and the stand-ins. The instances [spare] are
 * configured but not started. Other processes reach the ones in [relayed] through a relay, which
 * can cut or silence their connections.
 *
 * ```
 * val fleet = TestFleet(engines = listOf(engine("a1", 0, 6), engine("b1", 6, 12)))
 * fleet.startStream("entry-1", "marble", tokens = 8).awaitEnd()
 * ```
 */
internal class TestFleet(
    instances: Int = 3,
    private val engines: List<EngineSpec> = emptyList(),
    private val plain: List<PlainSpec> = emptyList(),
    platform: PlatformSpec = PlatformSpec(),
    spare: List<String> = emptyList(),
    settings: String = "settings.yaml",
    times: Map<String, Long> = emptyMap(),
    snapshots: Map<String, Long> = emptyMap(),
    relayed: List<String> = emptyList(),
    dataCentreOf: (instance: Int) -> String = { "dc1" }
) : AutoCloseable {
    val local: LocalFleet = LocalFleet(
        Path.of(System.getProperty("greengageport.root")),
        FleetFile(
            platform = platform,
            settings = settings,
            instances = (1..instances).map {
                InstanceSpec("entry-$it", dataCentreOf(it), times = times, snapshots = snapshots)
            } + spare.map { InstanceSpec(it, startsLater = true, snapshots = snapshots) },
            engines = engines,
            plain = plain,
            relayed = relayed
        ),
        Path.of(TestFleet::class.java.getResource("/$settings")!!.toURI()).parent
    )

    init {
        try {
            local.start()
        } catch (e: IllegalStateException) {
            local.close()
            throw e
        }
    }

    /** Starts a streamed completion at [instance] and returns immediately. */
    fun startStream(instance: String, prompt: String, tokens: Int, key: String = BUILDERS_KEY) =
        StreamedAnswer(
            "http://${local.callerAddress(instance)}/v1/completions",
            completionBody(prompt, tokens, stream = true),
            mapOf("Authorization" to "Bearer $key", "Greengage-Rank" to "urgent")
        )

    /** Returns the bytes of a streamed completion request, to write to a plain socket. */
    fun rawCompletion(prompt: String, tokens: Int): ByteArray {
        val body = completionBody(prompt, tokens, stream = true)
        return listOf(
            "POST /v1/completions HTTP/1.1",
            "Host: entry",
            "Authorization: Bearer $BUILDERS_KEY",
            "Greengage-Rank: urgent",
            "Greengage-Deadline-Ms: 600000",
            "Content-Length: ${body.length}",
            "",
            body
        ).joinToString("\r\n").encodeToByteArray()
    }

    /** Returns the state of [runner] as [instance] sees it, or an empty text if not listed. */
    fun stateOf(runner: String, instance: String): String =
        local.statusOrNull(instance)?.runners?.find { it.id.value == runner }?.state.orEmpty()

    /** Returns the sum of the metrics of [instance] whose line starts with [prefix]. */
    fun metric(instance: String, prefix: String): Double =
        local.get("http://${local.adminAddress(instance)}/metrics").body().lines()
            .filter { it.startsWith(prefix) }
            .sumOf { it.substringAfterLast(' ').toDouble() }

    /** Sends a completion request without streaming. */
    fun complete(instance: String, prompt: String, tokens: Int): HttpResponse<String> = local.post(
        "http://${local.callerAddress(instance)}/v1/completions",
        completionBody(prompt, tokens, stream = false),
        "Authorization" to "Bearer $BUILDERS_KEY",
        "Greengage-Rank" to "urgent"
    )

    /** Sends a non-idempotent call with [key] to [instance] and waits for its result. */
    fun sendOrder(
        instance: String,
        key: String,
        issuedAt: Instant = Instant.now(),
        body: String = ORDER,
        deadlineMillis: Long = 60_000
    ): CallEnd = CallEnd.of {
        local.post(
            "http://${local.callerAddress(instance)}/services/parts/orders/marble",
            body,
            "Authorization" to "Bearer $BUILDERS_KEY",
            "Greengage-Rank" to "urgent",
            "Greengage-Deadline-Ms" to deadlineMillis.toString(),
            "Idempotency-Key" to key,
            "Greengage-Issued-At" to issuedAt.toString()
        )
    }

    /** Sends the call like [sendOrder] and returns immediately. */
    fun startOrder(
        instance: String,
        key: String,
        issuedAt: Instant = Instant.now(),
        deadlineMillis: Long = 60_000
    ): CompletableFuture<CallEnd> = CompletableFuture.supplyAsync(
        { sendOrder(instance, key, issuedAt, deadlineMillis = deadlineMillis) },
        callers
    )

    /** Returns the number of calls that the runner [name] of a plain service received. */
    fun receivedCalls(name: String): Long = counter(name, "received")

    /** Starts or restarts [name] and waits until it is ready and sees all plain runners. */
    fun startInstance(name: String) {
        local.startInstance(name).address
        local.awaitReady(listOf(name), version = 1)
        LocalFleet.await("$name sees the plain runners") {
            val seen = local.statusOrNull(name)?.runners.orEmpty().map { it.id.value }
            seen.containsAll(plain.map { it.id })
        }
    }

    /** Makes the log unavailable while [action] runs. */
    fun <T> duringLogOutage(action: () -> T): T {
        fault("platform", "\"log_down\":true")
        return try {
            action()
        } finally {
            fault("platform", "\"log_down\":false")
        }
    }

    /** Loses the acknowledgement of the next append to [stream], which [action] must cause. */
    fun <T> losingAcknowledgement(stream: String, action: () -> T): T =
        withUncertainAppend("lose_acknowledgement_of", stream, action)

    /**
     * Drops the next append to [stream], which [action] must cause. Its caller only learns that
     * the outcome is uncertain.
     */
    fun <T> droppingAppend(stream: String, action: () -> T): T =
        withUncertainAppend("drop_append_of", stream, action)

    /**
     * Stores the next append to [stream], which [action] must cause, only after its caller learned
     * that the outcome is uncertain. Returns once it is stored.
     */
    fun <T> delayingAppend(stream: String, action: () -> T): T {
        val before = platformCount("late_appends")
        val result = withUncertainAppend("late_append_of", stream, action)
        LocalFleet.await("a late append to $stream") {
            platformCount("late_appends") > before
        }
        return result
    }

    /** Loses the acknowledgement of each append to [stream] while [action] runs. */
    fun <T> losingAllAcknowledgements(stream: String, action: () -> T): T {
        fault("platform", "\"lose_acknowledgements_of\":\"$stream\"")
        return try {
            action()
        } finally {
            fault("platform", "\"lose_acknowledgements_of\":\"\"")
        }
    }

    /** Sets a one-time append fault and waits until an append in [action] consumes it. */
    private fun <T> withUncertainAppend(fault: String, stream: String, action: () -> T): T {
        val before = lostAcknowledgements()
        fault("platform", "\"$fault\":\"$stream\"")
        val result = action()
        LocalFleet.await("an append to $stream") { lostAcknowledgements() > before }
        return result
    }

    private fun lostAcknowledgements(): Long = platformCount("lost_acknowledgements")

    /** Returns a counter that the platform omits while it is 0. */
    private fun platformCount(name: String): Long =
        counters("platform")[name]?.jsonPrimitive?.long ?: 0

    /** Waits until all outcomes and releases of [instance] are in the log. */
    fun awaitRecorded(instance: String): Unit =
        LocalFleet.await("$instance recorded all outcomes") {
            val ledger = local.statusOrNull(instance)?.ledger
            ledger != null && ledger.openClaims == 0 && ledger.queuedRecords == 0
        }

    /** Waits until the ledgers of all running instances accept non-idempotent calls. */
    fun awaitLedgers() {
        for (i in local.instances.filter(local::isRunning)) {
            LocalFleet.await("the ledger of $i is ready") {
                val ledger = local.statusOrNull(i)?.ledger
                ledger != null && ledger.ready && ledger.outageMillis == null
            }
        }
    }

    /** Sets faults of the stand-in [name]; [fields] are the members of a JSON object. */
    fun fault(name: String, fields: String): Unit = local.sendControl(name, "{$fields}")

    /** Returns the process of an instance or stand-in. */
    fun process(name: String): ProgramProcess = local.process(name)

    /** Returns the counters of the stand-in [name]. */
    fun counters(name: String): JsonObject =
        Json.parseToJsonElement(local.get("http://${process(name).address}/counters").body())
            .jsonObject

    /** Returns the counter [field] of the stand-in [name]. */
    fun counter(name: String, field: String): Long =
        counters(name).getValue(field).jsonPrimitive.long

    /** Ids of the engines whose process is running. */
    val liveEngines: List<String>
        get() = engines.map { it.id }.filter { process(it).isAlive }

    /** Returns the number of appends to [stream] that the platform received. */
    fun receivedAppends(stream: String): Long =
        counters("platform")["arrived"]?.jsonObject?.get(stream)?.jsonPrimitive?.long ?: 0

    /** Returns the chain of the only request in flight, first stage first. */
    fun busyChain(): List<String> {
        val live = liveEngines
        val head = live.filter { counter(it, "running") > 0 }
        val before = live.associateWith { counter(it, "steps") }
        LocalFleet.await("steps at the stages after $head") {
            live.any { it !in head && counter(it, "steps") > before.getValue(it) }
        }
        return head + live.filter { it !in head && counter(it, "steps") > before.getValue(it) }
    }

    /** Resumes all frozen engines and instances. */
    fun thawAll() {
        (liveEngines + local.instances.filter(local::isRunning)).forEach { process(it).thaw() }
    }

    /** Whether the kernel reports the process [name] as stopped by a signal. */
    fun isFrozen(name: String): Boolean =
        Files.readString(Path.of("/proc/${process(name).pid}/stat"))
            .substringAfterLast(") ").startsWith("T")

    /** Restarts the engines that have exited and waits until they listen. */
    fun restartEngines() {
        engines.map { it.id }.filterNot(local::isRunning).map(local::startEngine)
            .forEach { it.address }
    }

    /** Returns the offset of the next record in [stream]. */
    fun logEnd(stream: String): Long = Json.parseToJsonElement(
        local.get("http://${process("platform").address}/v1/log/$stream?from=1").body()
    ).jsonObject.getValue("next").jsonPrimitive.long

    /** Returns the keys of the calls that took effect at the plain runner [name], in order. */
    fun effects(name: String): List<String> =
        Json.parseToJsonElement(local.get("http://${process(name).address}/effects").body())
            .jsonArray.map { it.jsonObject.getValue("key").jsonPrimitive.content }

    /** Prints the log lines of all instances about [request] to explain a failing test. */
    fun explain(request: String) {
        for (i in local.instances) {
            val lines = process(i).output
            lines.filter { l -> request in l || EXPLANATORY_TEXTS.any { it in l } }
                .forEach { println("$i: ${it.substringAfter("INFO ")}") }
        }
    }

    /** Runs [action]; if it fails, prints the log lines about the request of [answer]. */
    fun <T> explainOnFailure(answer: StreamedAnswer, action: () -> T): T = try {
        action()
    } catch (e: IllegalStateException) {
        explain(answer.requestId)
        throw e
    }

    override fun close(): Unit = local.close()

    companion object {
        /** API key of the organisation `builders`. */
        const val BUILDERS_KEY = "line-one-key"

        /** Layers of the model `guide`. */
        const val LAYERS = 12

        /** Texts of log lines that explain refusals and failures of any request. */
        private val EXPLANATORY_TEXTS =
            listOf("ejected", "left the instance list", "capacity", "leaving")

        /** Default body of a non-idempotent call. */
        const val ORDER = """{"part":7}"""
        private val callers = Executors.newCachedThreadPool { r ->
            Thread(r, "caller").apply { isDaemon = true }
        }

        /** Model version in the settings; chains never mix versions. */
        const val VERSION = "v1"

        /** An engine of `guide` with the layers [from] (inclusive) to [until] (exclusive). */
        fun engine(
            id: String,
            from: Int,
            until: Int,
            stepMillis: Long = 15,
            crashMarker: String? = null,
            ignoresFencing: Boolean = false,
            dataCentre: String = "dc1"
        ): EngineSpec = EngineSpec(
            id = id,
            service = "guide",
            dataCentre = dataCentre,
            from = from,
            until = until,
            stepMillis = stepMillis,
            crashMarker = crashMarker,
            ignoresFencing = ignoresFencing,
            version = VERSION
        )

        private fun completionBody(prompt: String, tokens: Int, stream: Boolean) =
            """{"model":"guide","prompt":"$prompt","max_tokens":$tokens,"stream":$stream}"""
    }
}
