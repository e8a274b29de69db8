package io.greengageport.bench

import java.io.BufferedReader
import java.nio.file.Path
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

/**
 * A packaged program that runs as a process of its own; ended by its id when closed.
 *
 * The programs print a line `listening HOST:PORT ...` once they serve.
 */
public class ProgramProcess(
    public val name: String,
    private val jar: Path,
    private val arguments: List<String>,
    heapMegabytes: Int = DEFAULT_HEAP_MEGABYTES,
    private val onLine: (String) -> Unit = {}
) : AutoCloseable {
    private val lines = ArrayDeque<String>()
    private val listening = CompletableFuture<String>()
    private val process: Process = ProcessBuilder(
        listOf(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-Xmx${heapMegabytes}m",
            "-Xss512k",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=${System.getProperty("greengageport.tier", "4")}",
            "-XX:-UseDynamicNumberOfCompilerThreads",
            "-XX:+UseStringDeduplication"
        ) + processorOptions() + listOf("-jar", jar.toString()) + arguments
    ).redirectErrorStream(true).start()

    init {
        Thread({ process.inputReader().use(::collect) }, "output of $name")
            .apply { isDaemon = true }
            .start()
    }

    /** Process id, for signals and for reading its use of resources. */
    public val pid: Long get() = process.pid()

    /** The words that the program printed after `listening`; fails if it ended before. */
    public val listeningWords: List<String>
        get() = listening.get(START_LIMIT_SECONDS, TimeUnit.SECONDS).split(' ')

    /** The first address that the program listens on. */
    public val address: String get() = listeningWords.first()

    /** The last lines that the program printed. */
    public val output: List<String> get() = synchronized(lines) { lines.toList() }

    public val isAlive: Boolean get() = process.isAlive

    /** Ends the process without notice. */
    public fun kill() {
        process.destroyForcibly().waitFor()
    }

    /** Asks the process to end, as an operator does; returns at once. */
    public fun terminate() {
        // Process.destroy would also close the pipe with the program's last lines.
        signal("TERM")
    }

    /** Waits for the end of the process; its exit code, or null if it still runs. */
    public fun awaitExit(seconds: Long): Int? =
        if (process.waitFor(seconds, TimeUnit.SECONDS)) process.exitValue() else null

    /** Stops the process as a pause of its machine does. */
    public fun freeze(): Unit = signal("STOP")

    /** Lets a stopped process go on. */
    public fun thaw(): Unit = signal("CONT")

    override fun close() {
        if (process.isAlive) {
            thaw()
            kill()
        }
    }

    private fun signal(signal: String) {
        ProcessBuilder("kill", "-$signal", pid.toString()).start().waitFor()
    }

    private fun collect(reader: BufferedReader) {
        try {
            readLines(reader)
        } catch (e: java.io.IOException) {
            // The process was killed while its output was read.
        }
        listening.completeExceptionally(
            IllegalStateException("$name ended: ${output.takeLast(TAIL_LINES)}")
        )
    }

    private fun readLines(reader: BufferedReader) {
        reader.forEachLine { line ->
            synchronized(lines) {
                lines += line
                if (lines.size > MAX_LINES) lines.removeFirst()
            }
            if (line.startsWith(LISTENING)) listening.complete(line.removePrefix(LISTENING))
            onLine(line)
        }
    }

    private companion object {
        const val LISTENING = "listening "
        const val START_LIMIT_SECONDS = 60L
        const val MAX_LINES = 20_000
        const val TAIL_LINES = 20
        const val DEFAULT_HEAP_MEGABYTES = 128

        /**
         * Many programs share one machine. With all its cores and 64 threads for input and output
         * each, waking and parking idle threads takes more time than their work. Each selector of
         * Ktor occupies one of these threads for good, so that fewer than [IO_THREADS] block all.
         */
        fun processorOptions(): List<String> =
            System.getProperty("greengageport.processors", "2").let {
                listOf(
                    "-XX:ActiveProcessorCount=$it",
                    "-Dkotlinx.coroutines.io.parallelism=$IO_THREADS"
                )
            }

        const val IO_THREADS = 8
    }
}
