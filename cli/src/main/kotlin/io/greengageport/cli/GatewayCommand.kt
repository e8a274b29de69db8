package io.greengageport.cli

import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import io.greengageport.common.SystemClock
import io.greengageport.gateway.GatewayInstance
import io.greengageport.gateway.http.EventLoop
import io.greengageport.gateway.http.HttpConnector
import io.greengageport.gateway.port.MemberAddress
import io.greengageport.platform.HttpBackendProtocol
import io.greengageport.platform.LogStore
import io.greengageport.platform.SettingsDecoder
import java.nio.file.Path
import java.util.concurrent.Callable
import java.util.concurrent.CountDownLatch
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
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
                        reload(path, instance, loop)
                        instance.stop(signalledAtMillis)
                    } finally {
                        stopped.countDown()
                    }
                }
            }

            override fun onReload(signal: String) {
                loop.scope.launch {
                    instance.recordSignal(signal)
                    reload(path, instance, loop)
                }
            }
        })
        stopped.await()
        return ExitCodes.OK
    }

    /**
     * Reads the settings file at [path] again; an invalid one, or one that is not read within
     * [MAX_RELOAD_MILLIS], is logged and changes nothing: a stop must not wait for it.
     */
    private suspend fun reload(path: Path, instance: GatewayInstance, loop: EventLoop) {
        // Not a child of this coroutine, which would wait for its end after the timeout.
        val reading = loop.scope.async(Dispatchers.IO) {
            runCatching { SettingsDecoder.load(path) }
        }
        val result = withTimeoutOrNull(MAX_RELOAD_MILLIS) { reading.await() }
            ?: return loop.log.record("entry", "reload_failed", "ms" to MAX_RELOAD_MILLIS)
        result
            .onSuccess { settings ->
                settings.onSuccess { instance.reload(it.graceMillis) }
                    .onFailure { loop.log.record("entry", "reload_failed", "error" to it.problems) }
            }
            .onFailure { loop.log.record("entry", "reload_failed", "error" to it) }
    }

    private companion object {
        /** A small part of the shortest usable grace period. */
        const val MAX_RELOAD_MILLIS = 300L
    }
}
