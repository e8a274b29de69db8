package io.greengageport.standins

import io.greengageport.common.DataCentre
import io.greengageport.common.HostPort
import io.greengageport.common.LayerRange
import io.greengageport.common.RunnerId
import io.greengageport.common.ServiceName
import io.greengageport.ports.ListedRunner
import io.greengageport.ports.ListedState
import io.ktor.client.request.put
import io.ktor.client.request.setBody
import java.util.concurrent.Callable
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.encodeToString
import picocli.CommandLine.Command
import picocli.CommandLine.Mixin
import picocli.CommandLine.Option

/** Runs a stand-in for a model engine until SIGTERM. */
@Command(name = "engine", description = ["A model engine that serves a range of layers."])
internal class EngineCommand : Callable<Int> {
    @Mixin
    lateinit var runner: RunnerOptions

    @Option(names = ["--from"], defaultValue = "0")
    var from: Int = 0

    @Option(names = ["--until"], defaultValue = "12")
    var until: Int = 0

    @Option(names = ["--model-layers"], defaultValue = "12")
    var modelLayers: Int = 0

    @Option(names = ["--accelerator"], defaultValue = "standard")
    lateinit var accelerator: String

    @Option(names = ["--step-ms"], defaultValue = "0")
    var stepMillis: Long = 0

    @Option(names = ["--batch"], defaultValue = "16")
    var batchSize: Int = 0

    @Option(names = ["--hop-ms"], defaultValue = "0")
    var hopMillis: Long = 0

    @Option(names = ["--load-ms"], defaultValue = "200")
    var loadMillis: Long = 0

    @Option(names = ["--ignores-fencing"])
    var ignoresFencing: Boolean = false

    @Option(names = ["--crash-marker"], description = ["Crashes on prompts with this text."])
    var crashMarker: String? = null

    @Option(names = ["--version-loaded"], description = ["Model version loaded at startup."])
    var loadedVersion: String = "v1"

    override fun call(): Int = runBlocking {
        val settings = EngineSettings(
            id = RunnerId(runner.id),
            service = ServiceName(runner.service),
            dataCentre = DataCentre(runner.dataCentre),
            layers = LayerRange(from, until),
            modelLayers = modelLayers,
            accelerator = accelerator,
            stepMillis = stepMillis,
            batchSize = batchSize,
            hopMillis = hopMillis,
            loadMillis = loadMillis,
            checksFencing = !ignoresFencing,
            crashMarker = crashMarker,
            version = loadedVersion
        )
        val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
        val client = newHttpClient()
        val engine = EngineServer(settings, client)
        engine.start(scope)
        val (_, address) = startServer(HostPort.parse(runner.listen)) { engine.installRoutes(this) }
        runner.platform?.let { url ->
            scope.registerPeriodically(client, url) {
                ListedRunner(
                    id = settings.id,
                    service = settings.service,
                    address = runner.advertised ?: address.toString(),
                    dataCentre = settings.dataCentre,
                    state = if (engine.isLeaving) ListedState.LEAVING else ListedState.LIVE,
                    accelerator = settings.accelerator,
                    layers = settings.layers
                )
            }
            scope.repeatEvery(settings.reportMillis) {
                if (engine.isReporting) {
                    client.put("$url/v1/load") {
                        setBody(json.encodeToString(engine.createLoadReport()))
                    }
                }
            }
        }
        announceAddress(address)
        awaitTermination {
            engine.startLeaving()
            drain { engine.isIdle }
        }
        0
    }
}
