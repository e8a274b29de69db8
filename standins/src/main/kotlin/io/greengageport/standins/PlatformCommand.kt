package io.greengageport.standins

import io.greengageport.common.HostPort
import java.util.concurrent.Callable
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.runBlocking
import picocli.CommandLine.Command
import picocli.CommandLine.Option

/** Runs the platform stand-in until SIGTERM. */
@Command(name = "platform", description = ["Append-only log, instance list, load reports."])
internal class PlatformCommand : Callable<Int> {
    @Option(names = ["--listen"], defaultValue = "127.0.0.1:0")
    lateinit var listen: String

    @Option(names = ["--list-lag-ms"], defaultValue = "500")
    var listLagMillis: Long = 0

    @Option(names = ["--load-lag-ms"], defaultValue = "300")
    var loadLagMillis: Long = 0

    @Option(names = ["--retention-ms"], defaultValue = "3600000")
    var retentionMillis: Long = 0

    override fun call(): Int = runBlocking {
        val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
        val platform = PlatformServer(
            PlatformTimes(
                listLagMillis = listLagMillis,
                loadLagMillis = loadLagMillis,
                retentionMillis = retentionMillis
            )
        )
        platform.start(scope)
        val (_, address) = startServer(HostPort.parse(listen)) { platform.installRoutes(this) }
        announceAddress(address)
        awaitTermination {}
        0
    }
}
