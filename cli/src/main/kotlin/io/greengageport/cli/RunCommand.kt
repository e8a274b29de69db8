package io.greengageport.cli

import com.github.michaelbull.result.getOrElse
import io.greengageport.entry.ConfigError
import io.greengageport.entry.EntryInstance
import io.greengageport.entry.InstanceConfig
import java.io.IOException
import java.nio.file.Path
import java.util.concurrent.Callable
import java.util.concurrent.CountDownLatch
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.runBlocking
import org.tinylog.kotlin.Logger
import picocli.CommandLine.Command
import picocli.CommandLine.Parameters

/** Runs an entry instance until SIGTERM, which starts a graceful shutdown. */
@Command(
    name = "run",
    description = ["Runs an entry instance; SIGTERM starts a graceful shutdown."],
    mixinStandardHelpOptions = true
)
internal class RunCommand : Callable<Int> {
    @Parameters(paramLabel = "FILE", description = ["The instance's settings file (YAML)."])
    lateinit var file: Path

    override fun call(): Int {
        val config = InstanceConfig.load(file).getOrElse {
            System.err.println(describe(it))
            return ExitCodes.BAD_FILE
        }
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
        val stopped = CountDownLatch(1)
        Runtime.getRuntime().addShutdownHook(
            Thread {
                runBlocking { instance.drain() }
                stopped.await()
            }
        )
        runBlocking { instance.awaitDrained() }
        instance.close()
        stopped.countDown()
        return ExitCodes.OK
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
