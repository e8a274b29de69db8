package io.greengageport.bench

import io.greengageport.entry.InstanceStatus
import io.greengageport.entry.SettingsPage
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.nio.file.Files
import java.nio.file.Path
import java.time.Duration
import java.util.concurrent.ConcurrentHashMap
import kotlinx.serialization.json.Json

/**
 * A platform, backend servers and entry instances as separate processes on loopback.
 *
 * The packaged programs are read from the repository at `root`, and the settings path of [file] is
 * relative to [directory]. [onLine] is called with each line that a process prints.
 *
 * ```
 * LocalFleet(root, FleetFile.load(path), path.parent).use { fleet ->
 *     fleet.start()
 *     fleet.process("entry-1").kill()
 * }
 * ```
 */
public class LocalFleet(
    root: Path,
    private val file: FleetFile,
    private val directory: Path,
    private val adminKey: String = "operations-key",
    private val onLine: (name: String, line: String) -> Unit = { _, _ -> }
) : AutoCloseable {
    private val standinsProgram = root.resolve("standins/target/greengageport-standins")
    private val gatewayProgram = root.resolve("cli/target/greengageport")
    private val workDirectory: Path = Files.createTempDirectory("greengageport-fleet")
    private val http = HttpClient.newBuilder()
        .version(HttpClient.Version.HTTP_1_1)
        .connectTimeout(Duration.ofSeconds(2))
        .build()
    private val processes = ConcurrentHashMap<String, ProgramProcess>()
    private val socketOwners = SocketOwners { processes.mapValues { it.value.pid } }
    private val relays = file.relayed.associateWith { TcpRelay(it, socketOwners::findOwner) }

    /** The platform stand-in. */
    public val platform: ProgramProcess get() = process(PLATFORM)

    /** Names of the entry instances that have been started, including those that ended. */
    public val instances: List<String>
        get() = file.instances.map { it.id }.filter { processes.containsKey(it) }

    /** Whether the process [name] has been started and is still running. */
    public fun isRunning(name: String): Boolean = processes[name]?.isAlive == true

    /** The process [name]; fails if it has not been started. */
    public fun process(name: String): ProgramProcess =
        requireNotNull(processes[name]) { "process $name has not been started" }

    /** The relay in front of the process [name], which must be listed as relayed. */
    public fun relay(name: String): TcpRelay =
        requireNotNull(relays[name]) { "the fleet file does not list $name under relayed" }

    /** Address at which the entry instance [name] accepts callers. */
    public fun callerAddress(name: String): String = process(name).listeningWords[0]

    /** Admin address of the entry instance [name]. */
    public fun adminAddress(name: String): String =
        process(name).listeningWords[ADMIN_ADDRESS_INDEX]

    /** Starts all processes, publishes the settings and waits until all instances are ready. */
    public fun start() {
        startPlatform()
        for (e in file.engines) startEngine(e.id)
        for (p in file.plain) startPlain(p.id)
        for (i in file.instances.filterNot { it.startsLater }) startInstance(i.id)
        processes.values.forEach { it.address }
        awaitReady(instances, version = 0)
        publish("/", Files.readString(directory.resolve(file.settings)), base = 0)
        awaitReady(instances, version = 1)
        awaitRunners()
    }

    /** Starts the platform stand-in. */
    public fun startPlatform() {
        val p = file.platform
        startProcess(
            PLATFORM,
            standinsProgram,
            listOf(
                "platform",
                "--list-lag-ms",
                p.listLagMillis.toString(),
                "--load-lag-ms",
                p.loadLagMillis.toString(),
                "--retention-ms",
                p.retentionMillis.toString()
            ),
            PLATFORM_HEAP_MEGABYTES
        ).address
        relays[PLATFORM]?.target = platform.address
    }

    /** Starts the engine [name], or restarts it. */
    public fun startEngine(name: String): ProgramProcess {
        val e = file.engines.first { it.id == name }
        return startProcess(
            name,
            standinsProgram,
            e.arguments(platformUrl(), relays[name]?.address),
            ENGINE_HEAP_MEGABYTES
        )
    }

    /** Starts the runner [name] of a plain service, or restarts it. */
    public fun startPlain(name: String): ProgramProcess {
        val p = file.plain.first { it.id == name }
        return startProcess(
            name,
            standinsProgram,
            p.arguments(platformUrl(), relays[name]?.address),
            ENGINE_HEAP_MEGABYTES
        )
    }

    /** Starts the entry instance [name], or restarts it. */
    public fun startInstance(name: String): ProgramProcess {
        val i = file.instances.first { it.id == name }
        val config = workDirectory.resolve("$name.yaml")
        Files.writeString(config, newInstanceConfig(i))
        return startProcess(name, gatewayProgram, listOf("run", config.toString()), i.heapMegabytes)
    }

    /**
     * Waits until the instances [names] are ready and have at least the settings [version].
     *
     * For version 0, it is enough that they answer status calls.
     */
    public fun awaitReady(names: List<String>, version: Long) {
        for (n in names) {
            await("instance $n is ready with settings $version") {
                val s = statusOrNull(n)
                s != null && s.settings.version >= version && (version == 0L || s.ready)
            }
        }
    }

    /** Waits until all running instances list all running backend servers. */
    public fun awaitRunners() {
        val expected = (file.engines.map { it.id } + file.plain.map { it.id })
            .filter { processes[it]?.isAlive == true }
        for (n in instances.filter { process(it).isAlive }) {
            await("instance $n sees ${expected.size} runners") {
                val seen = statusOrNull(n)?.runners?.map { it.id.value }.orEmpty()
                seen.containsAll(expected)
            }
        }
    }

    /** Status of the instance [name], or null if it does not answer. */
    public fun statusOrNull(name: String): InstanceStatus? = try {
        val r = get(
            "http://${adminAddress(name)}/admin/status",
            Duration.ofSeconds(CONTROL_TIMEOUT_SECONDS),
            "Authorization" to "Bearer $adminKey"
        )
        if (r.statusCode() == OK) json.decodeFromString<InstanceStatus>(r.body()) else null
    } catch (e: java.io.IOException) {
        null
    }

    /**
     * Publishes [yaml] at [path] through the instance [through] and returns the response.
     *
     * [base] is the base version that [readSettingsPage] returned for [path], or 0.
     */
    public fun publish(
        path: String,
        yaml: String,
        base: Long,
        through: String = instances.first()
    ): HttpResponse<String> {
        val body = """{"path":"${path.trim('/')}","base_version":$base,"author":"operations",""" +
            """"yaml":${json.encodeToString(kotlinx.serialization.serializer<String>(), yaml)}}"""
        return post(
            "http://${adminAddress(through)}/admin/settings/publish",
            body,
            "Authorization" to "Bearer $adminKey"
        )
    }

    /** Reads the settings at [path] with the base version that a change must name. */
    public fun readSettingsPage(path: String, through: String = instances.first()): SettingsPage {
        val url = "http://${adminAddress(through)}/admin/settings?path=${path.trim('/')}"
        return json.decodeFromString(get(url, "Authorization" to "Bearer $adminKey").body())
    }

    /**
     * Sends [body] to `PUT /control` of the stand-in [name], which sets its faults.
     *
     * The status of the response is not checked, and a failed connection is ignored.
     */
    public fun sendControl(name: String, body: String) {
        val r = HttpRequest.newBuilder(URI("http://${process(name).address}/control"))
            .timeout(Duration.ofSeconds(CONTROL_TIMEOUT_SECONDS))
            .PUT(HttpRequest.BodyPublishers.ofString(body))
            .build()
        try {
            http.send(r, HttpResponse.BodyHandlers.ofString())
        } catch (e: java.io.IOException) {
            // A stand-in that crashes on this call does not respond.
        }
    }

    /** Sends a GET request and returns the response. */
    public fun get(url: String, vararg headers: Pair<String, String>): HttpResponse<String> =
        get(url, Duration.ofSeconds(CALL_TIMEOUT_SECONDS), *headers)

    /** Sends a GET request and returns the response; fails after [limit]. */
    public fun get(
        url: String,
        limit: Duration,
        vararg headers: Pair<String, String>
    ): HttpResponse<String> = http.send(
        newRequest(url, headers).timeout(limit).GET().build(),
        HttpResponse.BodyHandlers.ofString()
    )

    /** Sends a POST request and returns the response. */
    public fun post(
        url: String,
        body: String,
        vararg headers: Pair<String, String>
    ): HttpResponse<String> = http.send(
        newRequest(url, headers).POST(HttpRequest.BodyPublishers.ofString(body)).build(),
        HttpResponse.BodyHandlers.ofString()
    )

    /** Sends a PUT request and returns the response. */
    public fun put(url: String, body: String): HttpResponse<String> = http.send(
        newRequest(url, emptyArray()).PUT(HttpRequest.BodyPublishers.ofString(body)).build(),
        HttpResponse.BodyHandlers.ofString()
    )

    /** Kills all processes, closes the relays and deletes the working directory. */
    override fun close() {
        processes.values.forEach { it.close() }
        relays.values.forEach { it.close() }
        workDirectory.toFile().deleteRecursively()
    }

    private fun newRequest(url: String, headers: Array<out Pair<String, String>>) =
        HttpRequest.newBuilder(URI(url)).timeout(Duration.ofSeconds(CALL_TIMEOUT_SECONDS)).apply {
            headers.forEach { (name, value) -> header(name, value) }
        }

    private fun startProcess(
        name: String,
        jar: Path,
        arguments: List<String>,
        heapMegabytes: Int
    ): ProgramProcess {
        processes[name]?.close()
        return ProgramProcess(name, jar, arguments, heapMegabytes) {
            if (it.startsWith(LISTENING)) relays[name]?.target = relayTarget(it)
            onLine(name, it)
        }.also { processes[name] = it }
    }

    /** Returns the peer address of an instance or the only address of a stand-in. */
    private fun relayTarget(line: String): String = line.removePrefix(LISTENING).trim().split(' ')
        .let { it.getOrElse(PEER_ADDRESS_INDEX) { _ -> it.first() } }

    private fun platformUrl() = "http://${relays[PLATFORM]?.address ?: platform.address}"

    private fun newInstanceConfig(i: InstanceSpec): String = buildString {
        appendLine("instance: ${i.id}")
        appendLine("data_centre: ${i.dataCentre}")
        appendLine("listen:")
        for (port in listOf("callers", "admin", "peers")) appendLine("  $port: \"127.0.0.1:0\"")
        relays[i.id]?.let { appendLine("  advertised_peers: \"${it.address}\"") }
        appendLine("platform: \"${platformUrl()}\"")
        appendLine("peer_secret: \"loopback test secret\"")
        appendSection("policies", i.policies)
        appendSection("snapshots", i.snapshots)
        appendSection("times", mapOf("drain_notice_ms" to 300L) + i.times)
    }

    private fun StringBuilder.appendSection(name: String, values: Map<String, Any>) {
        if (values.isEmpty()) return
        appendLine("$name:")
        for ((k, v) in values) appendLine("  $k: $v")
    }

    public companion object {
        private const val PLATFORM = "platform"
        private const val ADMIN_ADDRESS_INDEX = 2
        private const val PEER_ADDRESS_INDEX = 4
        private const val LISTENING = "listening "
        private const val OK = 200
        private const val CALL_TIMEOUT_SECONDS = 120L
        private const val CONTROL_TIMEOUT_SECONDS = 3L
        private const val PLATFORM_HEAP_MEGABYTES = 128
        private const val ENGINE_HEAP_MEGABYTES = 96
        private const val AWAIT_SECONDS = 60L
        private const val POLL_MILLIS = 50L
        private val json = Json { ignoreUnknownKeys = true }

        /**
         * Polls until [condition] holds.
         *
         * Throws [IllegalStateException] with [what] after [seconds]. The default is long enough
         * that only a fault exceeds it.
         */
        public fun await(what: String, seconds: Long = AWAIT_SECONDS, condition: () -> Boolean) {
            val deadlineNanos = System.nanoTime() + Duration.ofSeconds(seconds).toNanos()
            while (!condition()) {
                check(System.nanoTime() < deadlineNanos) { "not met within $seconds s: $what" }
                Thread.onSpinWait()
                java.util.concurrent.locks.LockSupport.parkNanos(
                    Duration.ofMillis(POLL_MILLIS).toNanos()
                )
            }
        }
    }
}
