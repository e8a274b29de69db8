package io.greengageport.bench

import java.io.BufferedReader
import java.nio.file.Path
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

/**
 * A packaged program that runs in a separate process, which is killed on [close].
 *
 * The programs print a line `listening HOST:PORT ...` when they are ready to serve.
 */
public class ProgramProcess(
    public val name: String,
    private val jar: Path,
    private val arguments: List<String>,
    heapMegabytes: Int = DEFAULT_HEAP_MEGABYTES,
    private val onLine: (String) -> Unit = {}
) : AutoCloseable {
    private val lines = ArrayDeque<String>()
    private val listeningLine = CompletableFuture<String>()
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
        Thread({ process.inputReader().use(::readOutput) }, "output of $name")
            .apply { isDaemon = true }
            .start()
    }

    /** Process id, for signals and for reading the resource usage. */
    public val pid: Long get() = process.pid()

    /**
     * The words that the program printed after `listening`.
     *
     * Waits for the line; fails if the program ends before or does not print it in time.
     */
    public val listeningWords: List<String>
        get() = listeningLine.get(START_TIMEOUT_SECONDS, TimeUnit.SECONDS).split(' ')

    /** The first address that the program listens on. */
    public val address: String get() = listeningWords.first()

    /** The last [MAX_LINES] lines that the program printed. */
    public val output: List<String> get() = synchronized(lines) { lines.toList() }

    public val isAlive: Boolean get() = process.isAlive

    /** Kills the process with SIGKILL and waits for its end. */
    public fun kill() {
        process.destroyForcibly().waitFor()
    }

    /** Sends SIGTERM to the process and returns without waiting for its end. */
    public fun terminate() {
        // Process.destroy would also close the output pipe and lose the last lines.
        sendSignal("TERM")
    }

    /** Waits up to [seconds] for the end of the process; returns null if it is still running. */
    public fun awaitExit(seconds: Long): Int? =
        if (process.waitFor(seconds, TimeUnit.SECONDS)) process.exitValue() else null

    /** Suspends the process with SIGSTOP, which simulates a pause of its machine. */
    public fun freeze(): Unit = sendSignal("STOP")

    /** Resumes a suspended process with SIGCONT. */
    public fun thaw(): Unit = sendSignal("CONT")

    override fun close() {
        if (process.isAlive) {
            thaw()
            kill()
        }
    }

    private fun sendSignal(signal: String) {
        ProcessBuilder("kill", "-$signal", pid.toString()).start().waitFor()
    }

    private fun readOutput(reader: BufferedReader) {
        try {
            readLines(reader)
        } catch (e: java.io.IOException) {
            // The process was killed while its output was read.
        }
        listeningLine.completeExceptionally(
            IllegalStateException(
                "$name ended before it was listening, last lines: ${output.takeLast(TAIL_LINES)}"
            )
        )
    }

    private fun readLines(reader: BufferedReader) {
        reader.forEachLine { line ->
            synchronized(lines) {
                lines += line
                if (lines.size > MAX_LINES) lines.removeFirst()
            }
            if (line.startsWith(LISTENING)) listeningLine.complete(line.removePrefix(LISTENING))
            onLine(line)
        }
    }

    private companion object {
        const val LISTENING = "listening "
        const val START_TIMEOUT_SECONDS = 60L
        const val MAX_LINES = 20_000
        const val TAIL_LINES = 20
        const val DEFAULT_HEAP_MEGABYTES = 128

        /**
         * Limits the processors and I/O threads of each program, because many share one machine.
         *
         * With all cores and 64 I/O threads per program, waking and parking idle threads takes more
         * time than their work. Each Ktor selector permanently occupies one I/O thread; with fewer
         * than [IO_THREADS], the selectors block all of them.
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
