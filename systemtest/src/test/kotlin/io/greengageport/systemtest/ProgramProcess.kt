package io.greengageport.systemtest

import java.io.BufferedReader
import java.nio.file.Path
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

/** A packaged program that runs as a process of its own; ended by its id when closed. */
internal class ProgramProcess(private val jar: Path, private vararg val arguments: String) :
    AutoCloseable {
    private val lines = mutableListOf<String>()
    private val firstAddress = CompletableFuture<String>()
    private val process: Process = ProcessBuilder(
        listOf(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-Xmx96m",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-jar",
            jar.toString()
        ) + arguments
    ).redirectErrorStream(true).start()

    init {
        Thread({ process.inputReader().use(::collect) }, "output").apply { isDaemon = true }.start()
    }

    /** The address that the program printed after `listening`. */
    val address: String get() = firstAddress.get(START_LIMIT_SECONDS, TimeUnit.SECONDS)

    /** What the program printed so far. */
    val output: List<String> get() = synchronized(lines) { lines.toList() }

    val isAlive: Boolean get() = process.isAlive

    /** Ends the process without notice. */
    fun kill() {
        process.destroyForcibly().waitFor()
    }

    /** Asks the process to end, as an operator does. */
    fun terminate(): CompletableFuture<Process> {
        process.destroy()
        return process.onExit()
    }

    /** Stops (`STOP`) or continues (`CONT`) the process by its id. */
    fun signal(name: String) {
        ProcessBuilder("kill", "-$name", process.pid().toString()).start().waitFor()
    }

    override fun close() {
        if (process.isAlive) {
            signal("CONT")
            kill()
        }
    }

    private fun collect(reader: BufferedReader) {
        reader.forEachLine { line ->
            synchronized(lines) { lines += line }
            if (line.startsWith(LISTENING)) firstAddress.complete(line.removePrefix(LISTENING))
        }
        firstAddress.completeExceptionally(
            IllegalStateException("${jar.fileName} ended: ${output.takeLast(TAIL_LINES)}")
        )
    }

    companion object {
        private const val LISTENING = "listening "
        private const val START_LIMIT_SECONDS = 60L
        private const val TAIL_LINES = 20
        private val root: Path = Path.of(System.getProperty("greengageport.root"))

        val standins: Path = root.resolve("standins/target/greengageport-standins")
        val program: Path = root.resolve("cli/target/greengageport")
    }
}
