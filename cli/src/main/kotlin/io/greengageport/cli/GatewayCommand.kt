package io.greengageport.cli

import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import io.greengageport.common.SystemClock
import io.greengageport.gateway.GatewayInstance
import io.greengageport.gateway.http.EventLoop
import io.greengageport.gateway.http.HttpConnector
import io.greengageport.gateway.logging.DecisionLog
import io.greengageport.gateway.port.MemberAddress
import io.greengageport.platform.HttpBackendProtocol
import io.greengageport.platform.LogStore
import io.greengageport.platform.SettingsDecoder
import java.nio.file.Path
import java.util.concurrent.Callable
import java.util.concurrent.CountDownLatch
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import org.tinylog.kotlin.Logger
import picocli.CommandLine.Command
import picocli.CommandLine.Option

/** Runs an entry instance until SIGTERM or SIGINT; SIGHUP reloads its grace period. */
@Command(
    name = "gateway",
    description = ["Runs an entry instance on the platform; SIGTERM stops it gracefully."],
    mixinStandardHelpOptions = true
)
internal class GatewayCommand(private val signals: ProcessSignals = ProcessSignals()) :
    Callable<Int> {
    @Option(
        names = ["--settings"],
        paramLabel = "FILE",
        description = ["The settings file (default: the one set by the platform)."]
    )
    var file: Path? = null

    override fun call(): Int {
        val path = file ?: System.getenv(SettingsDecoder.PATH_VARIABLE)?.let(Path::of)
        if (path == null) {
            System.err.println("neither --settings nor ${SettingsDecoder.PATH_VARIABLE} is set")
            return ExitCodes.USAGE
        }
        val settings = SettingsDecoder.load(path).getOrElse { e ->
            e.problems.forEach { System.err.println("${e.path}: $it") }
            return ExitCodes.BAD_FILE
        }
        val loop = EventLoop()
        val connector = HttpConnector(loop)
        val instance = GatewayInstance(
            settings = settings,
            loop = loop,
            connector = connector,
            store = LogStore(
                connector,
                settings.storeAddress,
                settings.id,
                MemberAddress(settings.peerAddress, settings.dataCentre)
            ),
            protocol = HttpBackendProtocol(loop.log)
        )
        if (!signals.tryOpen()) return ExitCodes.OK
        try {
            instance.start()
        } catch (e: java.io.IOException) {
            Logger.error("gateway: cannot listen on ${settings.callerAddress}: $e")
            return ExitCodes.FAILED
        }
        val stopped = CountDownLatch(1)
        signals.attach(object : ProcessSignals.Receiver {
            override fun onStop(signal: String) {
                // The platform counts the grace period from the signal, and the thread may be busy.
                val signalledAtMillis = SystemClock.monotonicMillis()
                loop.scope.launch {
                    try {
                        instance.recordSignal(signal)
                        // The settings may also change without a signal.
                        reload(path, instance, loop.log)
                        instance.stop(signalledAtMillis)
                    } finally {
                        stopped.countDown()
                    }
                }
            }

            override fun onReload(signal: String) {
                loop.scope.launch {
                    instance.recordSignal(signal)
                    reload(path, instance, loop.log)
                }
            }
        })
        stopped.await()
        return ExitCodes.OK
    }

    /** Reads the settings file at [path] again; an invalid one is logged and changes nothing. */
    private suspend fun reload(path: Path, instance: GatewayInstance, log: DecisionLog) {
        try {
            withContext(Dispatchers.IO) { SettingsDecoder.load(path) }
                .onSuccess { instance.reload(it.graceMillis) }
                .onFailure { log.record("entry", "reload_failed", "error" to it.problems) }
        } catch (e: IllegalArgumentException) {
            // A value that no type accepts must not prevent the stop.
            log.record("entry", "reload_failed", "error" to e)
        }
    }
}
