package io.greengageport.cli

import com.github.michaelbull.result.getOrElse
import io.greengageport.entry.ConfigError
import io.greengageport.entry.EntryInstance
import io.greengageport.entry.InstanceConfig
import java.io.IOException
import java.nio.file.Path
import java.util.concurrent.Callable
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.tinylog.kotlin.Logger
import picocli.CommandLine.Command
import picocli.CommandLine.Parameters

/** Runs an entry instance until SIGTERM, SIGINT or a drain; SIGHUP has no effect. */
@Command(
    name = "run",
    description = ["Runs an entry instance; SIGTERM starts a graceful shutdown."],
    mixinStandardHelpOptions = true
)
internal class RunCommand(private val signals: ProcessSignals = ProcessSignals()) : Callable<Int> {
    @Parameters(paramLabel = "FILE", description = ["The instance's settings file (YAML)."])
    lateinit var file: Path

    override fun call(): Int {
        val config = InstanceConfig.load(file).getOrElse {
            System.err.println(describe(it))
            return ExitCodes.BAD_FILE
        }
        if (!signals.tryOpen()) return signals.exitCode
        val instance = EntryInstance(config)
        val addresses = try {
            runBlocking { instance.start() }.getOrElse {
                Logger.error("entry: start failed: $it")
                return ExitCodes.FAILED
            }
        } catch (e: IOException) {
            return cannotListen(config, e)
        } catch (e: CancellationException) {
            // The HTTP server reports an address in use by cancelling its own task.
            return cannotListen(config, e)
        }
        println("listening ${addresses.callers} admin ${addresses.admin} peers ${addresses.peers}")
        System.out.flush()
        runBlocking {
            signals.attach(receiver(instance))
            instance.awaitDrained()
        }
        instance.close()
        return signals.exitCode
    }

    private fun CoroutineScope.receiver(instance: EntryInstance) =
        object : ProcessSignals.Receiver {
            override fun onStop(signal: String) {
                launch(Dispatchers.Default) {
                    Logger.info("entry: received SIG$signal")
                    instance.drain()
                }
            }

            override fun onReload(signal: String) {
                launch(Dispatchers.Default) {
                    Logger.info("entry: received SIG$signal, which has no effect")
                }
            }
        }

    private fun cannotListen(config: InstanceConfig, e: Exception): Int {
        val l = config.listen
        val reason = generateSequence<Throwable>(e) { it.cause }.last().message
        Logger.error("entry: cannot listen on ${l.callers} and ${l.admin}: $reason")
        return ExitCodes.FAILED
    }

    private fun describe(e: ConfigError): String = when (e) {
        is ConfigError.Unreadable -> "${e.path}: cannot be read: ${e.reason}"
        is ConfigError.Malformed if e.line > 0 -> "${e.path}: line ${e.line}: ${e.reason}"
        is ConfigError.Malformed -> "${e.path}: ${e.reason}"
        is ConfigError.Invalid -> "$file: ${e.reason}"
    }
}
