package io.greengageport.standins

import io.greengageport.common.DataCentre
import io.greengageport.common.HostPort
import io.greengageport.common.RunnerId
import io.greengageport.common.ServiceName
import io.greengageport.ports.ListedRunner
import io.greengageport.ports.ListedState
import java.util.concurrent.Callable
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.runBlocking
import picocli.CommandLine.Command
import picocli.CommandLine.Mixin
import picocli.CommandLine.Option

/** Runs a stand-in for a runner of a plain service until SIGTERM. */
@Command(name = "plain", description = ["A plain service with non-idempotent calls."])
internal class PlainCommand : Callable<Int> {
    @Mixin
    lateinit var runner: RunnerOptions

    @Option(names = ["--deduplicates"], description = ["Runs each idempotency key once."])
    var deduplicates: Boolean = false

    override fun call(): Int = runBlocking {
        val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
        val plain = PlainServer(runner.id, deduplicates)
        val (_, address) = startServer(HostPort.parse(runner.listen)) { plain.installRoutes(this) }
        runner.platform?.let { url ->
            scope.registerPeriodically(newHttpClient(), url) {
                ListedRunner(
                    id = RunnerId(runner.id),
                    service = ServiceName(runner.service),
                    address = runner.advertised ?: address.toString(),
                    dataCentre = DataCentre(runner.dataCentre),
                    state = if (plain.isLeaving) ListedState.LEAVING else ListedState.LIVE
                )
            }
        }
        announceAddress(address)
        awaitTermination {
            plain.startLeaving()
            drain { plain.isIdle }
        }
        0
    }
}
