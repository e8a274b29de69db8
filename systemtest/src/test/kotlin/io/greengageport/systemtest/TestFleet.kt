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
 * The processes of one test class, with the calls and faults that the tests share.
 *
 * ```
 * val fleet = TestFleet(engines = listOf(engine("a1", 0, 6), engine("b1", 6, 12)))
 * fleet.stream("entry-1", "marble", tokens = 8).awaitEnd()
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

    /** Starts a streamed completion at [instance] and returns at once. */
    fun stream(instance: String, prompt: String, tokens: Int, key: String = BUILDERS) =
        StreamedAnswer(
            "http://${local.callers(instance)}/v1/completions",
            completionBody(prompt, tokens, stream = true),
            mapOf("Authorization" to "Bearer $key", "Greengage-Rank" to "urgent")
        )

    /** The bytes of a streamed completion call over a plain socket. */
    fun rawCompletion(prompt: String, tokens: Int): ByteArray {
        val body = completionBody(prompt, tokens, stream = true)
        return listOf(
            "POST /v1/completions HTTP/1.1",
            "Host: entry",
            "Authorization: Bearer $BUILDERS",
            "Greengage-Rank: urgent",
            "Greengage-Deadline-Ms: 600000",
            "Content-Length: ${body.length}",
            "",
            body
        ).joinToString("\r\n").encodeToByteArray()
    }

    /** The state of the runner [runner] as [instance] sees it, or an empty text. */
    fun stateOf(runner: String, instance: String): String =
        local.statusOrNull(instance)?.runners?.find { it.id.value == runner }?.state.orEmpty()

    /** The sum of the metrics of [instance] whose line starts with [prefix]. */
    fun metric(instance: String, prefix: String): Double =
        local.get("http://${local.admin(instance)}/metrics").body().lines()
            .filter { it.startsWith(prefix) }
            .sumOf { it.substringAfterLast(' ').toDouble() }

    /** Sends a completion that is answered as a whole. */
    fun complete(instance: String, prompt: String, tokens: Int): HttpResponse<String> = local.post(
        "http://${local.callers(instance)}/v1/completions",
        completionBody(prompt, tokens, stream = false),
        "Authorization" to "Bearer $BUILDERS",
        "Greengage-Rank" to "urgent"
    )

    /** Sends the non-idempotent call with [key] at [instance] and waits for its end. */
    fun order(
        instance: String,
        key: String,
        issuedAt: Instant = Instant.now(),
        body: String = ORDER,
        deadlineMillis: Long = 60_000
    ): CallEnd = CallEnd.of {
        local.post(
            "http://${local.callers(instance)}/services/parts/orders/marble",
            body,
            "Authorization" to "Bearer $BUILDERS",
            "Greengage-Rank" to "urgent",
            "Greengage-Deadline-Ms" to deadlineMillis.toString(),
            "Idempotency-Key" to key,
            "Greengage-Issued-At" to issuedAt.toString()
        )
    }

    /** Sends the call as [order] does and returns at once. */
    fun startOrder(
        instance: String,
        key: String,
        issuedAt: Instant = Instant.now(),
        deadlineMillis: Long = 60_000
    ): CompletableFuture<CallEnd> = CompletableFuture.supplyAsync(
        { order(instance, key, issuedAt, deadlineMillis = deadlineMillis) },
        callers
    )

    /** Calls that the runner [name] of a plain service received so far. */
    fun received(name: String): Long = counter(name, "received")

    /** Starts the instance [name] anew, or for the first time, and waits until it is ready. */
    fun startInstance(name: String) {
        local.startInstance(name).address
        local.awaitReady(listOf(name), version = 1)
        LocalFleet.await("$name sees the plain runners") {
            val seen = local.statusOrNull(name)?.runners.orEmpty().map { it.id.value }
            seen.containsAll(plain.map { it.id })
        }
    }

    /** Takes the log service down while [action] runs. */
    fun <T> duringLogOutage(action: () -> T): T {
        fault("platform", "\"log_down\":true")
        return try {
            action()
        } finally {
            fault("platform", "\"log_down\":false")
        }
    }

    /** Loses the acknowledgement of the next append to [stream]; [action] has to make one. */
    fun <T> losingAcknowledgement(stream: String, action: () -> T): T =
        withUncertainAppend("lose_acknowledgement_of", stream, action)

    /** Drops the next append to [stream] without telling so; [action] has to make one. */
    fun <T> droppingAppend(stream: String, action: () -> T): T =
        withUncertainAppend("drop_append_of", stream, action)

    /** Lets the next append to [stream] land after its answer; [action] has to make one. */
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

    private fun <T> withUncertainAppend(fault: String, stream: String, action: () -> T): T {
        val before = lostAcknowledgements()
        fault("platform", "\"$fault\":\"$stream\"")
        val result = action()
        LocalFleet.await("an append to $stream") { lostAcknowledgements() > before }
        return result
    }

    private fun lostAcknowledgements(): Long = platformCount("lost_acknowledgements")

    /** A counter that the platform leaves out while it is 0. */
    private fun platformCount(name: String): Long =
        counters("platform")[name]?.jsonPrimitive?.long ?: 0

    /** Waits until [instance] has no outcome or release that isn't in the log. */
    fun awaitRecorded(instance: String): Unit =
        LocalFleet.await("$instance recorded all outcomes") {
            val l = local.statusOrNull(instance)?.ledger
            l != null && l.openClaims == 0 && l.queuedRecords == 0
        }

    /** Waits until all live instances decide about non-idempotent calls. */
    fun awaitLedgers() {
        for (i in local.instances.filter(local::isRunning)) {
            LocalFleet.await("the ledger of $i is ready") {
                val l = local.statusOrNull(i)?.ledger
                l != null && l.ready && l.outageMillis == null
            }
        }
    }

    /** Sets the fault [fields], the inside of a JSON object, of the stand-in [name]. */
    fun fault(name: String, fields: String): Unit = local.control(name, "{$fields}")

    fun process(name: String): ProgramProcess = local.process(name)

    /** Counters of an engine or of the platform. */
    fun counters(name: String): JsonObject =
        Json.parseToJsonElement(local.get("http://${process(name).address}/counters").body())
            .jsonObject

    fun counter(name: String, field: String): Long =
        counters(name).getValue(field).jsonPrimitive.long

    val liveEngines: List<String>
        get() = engines.map { it.id }.filter { process(it).isAlive }

    /** Appends to the log's [stream] that arrived at the platform. */
    fun arrived(stream: String): Long =
        counters("platform")["arrived"]?.jsonObject?.get(stream)?.jsonPrimitive?.long ?: 0

    /** The engines of the chain that now runs the only request in flight, first stage first. */
    fun busyChain(): List<String> {
        val live = liveEngines
        val head = live.filter { counter(it, "running") > 0 }
        val before = live.associateWith { counter(it, "steps") }
        LocalFleet.await("steps at the stages after $head") {
            live.any { it !in head && counter(it, "steps") > before.getValue(it) }
        }
        return head + live.filter { it !in head && counter(it, "steps") > before.getValue(it) }
    }

    /** Lets all frozen processes go on. */
    fun thaw() {
        (liveEngines + local.instances.filter(local::isRunning)).forEach { process(it).thaw() }
    }

    /** Whether the process [name] was stopped by a signal, as the kernel tells. */
    fun isFrozen(name: String): Boolean =
        Files.readString(Path.of("/proc/${process(name).pid}/stat"))
            .substringAfterLast(") ").startsWith("T")

    /** Starts the engines that ended anew and waits until they serve. */
    fun restartEngines() {
        engines.map { it.id }.filterNot(local::isRunning).map(local::startEngine)
            .forEach { it.address }
    }

    /** Offset that the next record of the log's [stream] gets. */
    fun logEnd(stream: String): Long = Json.parseToJsonElement(
        local.get("http://${process("platform").address}/v1/log/$stream?from=1").body()
    ).jsonObject.getValue("next").jsonPrimitive.long

    /** Effects at the runner [name] of a plain service, as the keys of the calls in order. */
    fun effects(name: String): List<String> =
        Json.parseToJsonElement(local.get("http://${process(name).address}/effects").body())
            .jsonArray.map { it.jsonObject.getValue("key").jsonPrimitive.content }

    /** Prints what the instances logged of [request], for the report of a failing test. */
    fun explain(request: String) {
        for (i in local.instances) {
            val lines = process(i).output
            lines.filter { l -> request in l || NOTABLE.any { it in l } }
                .forEach { println("$i: ${it.substringAfter("INFO ")}") }
        }
    }

    /** Runs [action]; if it fails, prints what the instances logged of [answer]. */
    fun <T> explaining(answer: StreamedAnswer, action: () -> T): T = try {
        action()
    } catch (e: IllegalStateException) {
        explain(answer.requestId)
        throw e
    }

    override fun close(): Unit = local.close()

    companion object {
        const val BUILDERS = "line-one-key"
        const val LAYERS = 12

        /** Parts of log lines that explain refusals and failures of any request. */
        private val NOTABLE = listOf("ejected", "left the instance list", "capacity", "leaving")
        const val ORDER = """{"part":7}"""
        private val callers = Executors.newCachedThreadPool { r ->
            Thread(r, "caller").apply { isDaemon = true }
        }

        /** The version in the settings; chains never mix versions. */
        const val VERSION = "v1"

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
