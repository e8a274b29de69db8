package io.greengageport.standins

import io.greengageport.common.DataCentre
import io.greengageport.common.LayerRange
import io.greengageport.common.RunnerId
import io.greengageport.common.ServiceName
import io.greengageport.platform.ListedRunner
import io.greengageport.platform.ListedState
import io.ktor.client.HttpClient
import io.ktor.client.request.put
import io.ktor.client.request.setBody
import java.io.IOException
import java.util.concurrent.Callable
import java.util.concurrent.CountDownLatch
import kotlin.system.exitProcess
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.encodeToString
import picocli.CommandLine
import picocli.CommandLine.Command
import picocli.CommandLine.Option

/** Test-only stand-ins of what lies around the entry instances. */
@Command(
    name = "greengageport-standins",
    description = ["Test-only stand-ins: platform, model engine, plain service."],
    mixinStandardHelpOptions = true,
    subcommands = [PlatformCommand::class, EngineCommand::class, PlainCommand::class]
)
internal class Standins

/** Prints `listening HOST:PORT` for the process that started this one. */
internal fun announce(address: HostPort) {
    println("listening $address")
    System.out.flush()
}

/** Blocks until SIGTERM, then runs [drain] before the process ends. */
internal fun awaitTermination(drain: suspend () -> Unit) {
    val done = CountDownLatch(1)
    val ended = CountDownLatch(1)
    Runtime.getRuntime().addShutdownHook(
        Thread {
            done.countDown()
            ended.await()
        }
    )
    done.await()
    runBlocking { drain() }
    ended.countDown()
}

@Command(name = "platform", description = ["Append-only log, instance list, load reports."])
internal class PlatformCommand : Callable<Int> {
    @Option(names = ["--listen"], defaultValue = "127.0.0.1:0")
    lateinit var listen: String

    @Option(names = ["--list-lag-ms"], defaultValue = "500")
    var listLag: Long = 0

    @Option(names = ["--load-lag-ms"], defaultValue = "300")
    var loadLag: Long = 0

    @Option(names = ["--retention-ms"], defaultValue = "3600000")
    var retention: Long = 0

    override fun call(): Int = runBlocking {
        val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
        val platform = PlatformServer(
            PlatformTimes(
                listLagMillis = listLag,
                loadLagMillis = loadLag,
                retentionMillis = retention
            )
        )
        platform.start(scope)
        val (_, address) = startServer(HostPort.parse(listen)) { platform.routes(this) }
        announce(address)
        awaitTermination {}
        0
    }
}

@Command(name = "engine", description = ["A model engine that holds a range of layers."])
internal class EngineCommand : Callable<Int> {
    @Option(names = ["--listen"], defaultValue = "127.0.0.1:0")
    lateinit var listen: String

    @Option(names = ["--id"], required = true)
    lateinit var id: String

    @Option(names = ["--service"], required = true)
    lateinit var service: String

    @Option(names = ["--data-centre"], defaultValue = "dc1")
    lateinit var dataCentre: String

    @Option(names = ["--platform"], description = ["Base URL of the platform."])
    var platform: String? = null

    @Option(names = ["--from"], defaultValue = "0")
    var from: Int = 0

    @Option(names = ["--until"], defaultValue = "12")
    var until: Int = 0

    @Option(names = ["--model-layers"], defaultValue = "12")
    var modelLayers: Int = 0

    @Option(names = ["--accelerator"], defaultValue = "standard")
    lateinit var accelerator: String

    @Option(names = ["--step-ms"], defaultValue = "0")
    var step: Long = 0

    @Option(names = ["--batch"], defaultValue = "16")
    var batch: Int = 0

    @Option(names = ["--hop-ms"], defaultValue = "0")
    var hop: Long = 0

    @Option(names = ["--load-ms"], defaultValue = "200")
    var load: Long = 0

    @Option(names = ["--ignores-fencing"])
    var ignoresFencing: Boolean = false

    @Option(names = ["--crash-marker"], description = ["Crashes on prompts with this text."])
    var crashMarker: String? = null

    @Option(names = ["--version-loaded"], description = ["Model version held at the start."])
    var version: String = "v1"

    override fun call(): Int = runBlocking {
        val settings = EngineSettings(
            id = RunnerId(id),
            service = ServiceName(service),
            dataCentre = DataCentre(dataCentre),
            layers = LayerRange(from, until),
            modelLayers = modelLayers,
            accelerator = accelerator,
            stepMillis = step,
            batch = batch,
            hopMillis = hop,
            loadMillis = load,
            checksFencing = !ignoresFencing,
            crashMarker = crashMarker,
            version = version
        )
        val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
        val client = newHttpClient()
        val engine = EngineServer(settings, client)
        engine.start(scope)
        val (_, address) = startServer(HostPort.parse(listen)) { engine.routes(this) }
        platform?.let { url ->
            scope.register(client, url) {
                ListedRunner(
                    id = settings.id,
                    service = settings.service,
                    address = address.toString(),
                    dataCentre = settings.dataCentre,
                    state = if (engine.isLeaving) ListedState.LEAVING else ListedState.LIVE,
                    accelerator = settings.accelerator,
                    layers = settings.layers
                )
            }
            scope.repeatedly(settings.reportMillis) {
                if (engine.isReporting) {
                    client.put("$url/v1/load") { setBody(json.encodeToString(engine.load())) }
                }
            }
        }
        announce(address)
        awaitTermination {
            engine.leave()
            drain { engine.isIdle }
        }
        0
    }
}

@Command(name = "plain", description = ["A plain service with non-idempotent calls."])
internal class PlainCommand : Callable<Int> {
    @Option(names = ["--listen"], defaultValue = "127.0.0.1:0")
    lateinit var listen: String

    @Option(names = ["--id"], required = true)
    lateinit var id: String

    @Option(names = ["--service"], required = true)
    lateinit var service: String

    @Option(names = ["--data-centre"], defaultValue = "dc1")
    lateinit var dataCentre: String

    @Option(names = ["--platform"], description = ["Base URL of the platform."])
    var platform: String? = null

    @Option(names = ["--deduplicates"], description = ["Runs each idempotency key once."])
    var deduplicates: Boolean = false

    override fun call(): Int = runBlocking {
        val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
        val plain = PlainServer(id, deduplicates)
        val (_, address) = startServer(HostPort.parse(listen)) { plain.routes(this) }
        platform?.let { url ->
            scope.register(newHttpClient(), url) {
                ListedRunner(
                    id = RunnerId(id),
                    service = ServiceName(service),
                    address = address.toString(),
                    dataCentre = DataCentre(dataCentre),
                    state = if (plain.isLeaving) ListedState.LEAVING else ListedState.LIVE
                )
            }
        }
        announce(address)
        awaitTermination {
            plain.leave()
            drain { plain.isIdle }
        }
        0
    }
}

private const val REGISTER_MILLIS = 500L
private const val DRAIN_POLL_MILLIS = 50L
private const val DRAIN_LIMIT_MILLIS = 30_000L

/** Time for callers to learn that the runner is leaving, before its port closes. */
private const val LEAVE_NOTICE_MILLIS = 1_500L

private fun CoroutineScope.register(client: HttpClient, url: String, runner: () -> ListedRunner) =
    repeatedly(REGISTER_MILLIS) {
        client.put("$url/v1/instances/runners") { setBody(json.encodeToString(runner())) }
    }

private fun CoroutineScope.repeatedly(millis: Long, action: suspend () -> Unit) = launch {
    while (isActive) {
        try {
            action()
        } catch (e: IOException) {
            // The platform may be down; the next round tries again.
        }
        delay(millis)
    }
}

private suspend fun drain(isIdle: () -> Boolean) {
    delay(LEAVE_NOTICE_MILLIS)
    var waited = 0L
    while (!isIdle() && waited < DRAIN_LIMIT_MILLIS) {
        delay(DRAIN_POLL_MILLIS)
        waited += DRAIN_POLL_MILLIS
    }
}

/** Entry point of the program. */
public fun main(args: Array<String>) {
    exitProcess(CommandLine(Standins()).execute(*args))
}
