package io.greengageport.gateway.logging

import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.atomic.AtomicLong
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.tinylog.kotlin.Logger

/**
 * Writes structured log lines without blocking the calling thread.
 *
 * A line has the form `part: event=NAME key=value ...`. Lines pass through a bounded queue to a
 * writer thread; while standard output blocks, lines are dropped and counted. Each part can write
 * [linesPerSecond] lines a second; lines above that limit are counted too, and the counts are
 * logged. [write] is called on the writer thread.
 */
public class DecisionLog(
    private val linesPerSecond: Int = DEFAULT_LINES_PER_SECOND,
    private val write: (String) -> Unit = { Logger.info(it) }
) : AutoCloseable {
    private class RateWindow(var second: Long = 0, var lines: Int = 0, var omitted: Int = 0)

    private val queue = ArrayBlockingQueue<String>(QUEUE_LINES)
    private val dropped = AtomicLong()
    private val rateWindows = HashMap<String, RateWindow>()

    @Volatile
    private var isClosing = false
    private val writer = Thread(::writeLines, "decision-log").apply {
        isDaemon = true
        start()
    }

    /** Lines dropped because the queue was full, since the writer last logged their number. */
    public val droppedLines: Long get() = dropped.get()

    /**
     * Writes a line for [part] unless its rate limit is exceeded; [fields] with a null value are
     * omitted. Must be called on the event loop's thread only.
     */
    public fun record(part: String, event: String, vararg fields: Pair<String, Any?>) {
        if (!tryAcquire(part)) return
        val line = buildString {
            append(part).append(": event=").append(event)
            for ((key, value) in fields) {
                if (value == null) continue
                append(' ').append(key).append('=')
                appendValue(value.toString())
            }
        }
        offer(line)
    }

    /**
     * Stops the writer thread after it has written the queued lines; waits for that for at most
     * [CLOSE_TIMEOUT_MILLIS].
     */
    override fun close() {
        isClosing = true
        writer.interrupt()
        writer.join(CLOSE_TIMEOUT_MILLIS)
    }

    /** Like [close], but does not block the calling thread. */
    public suspend fun closeSuspending() {
        isClosing = true
        writer.interrupt()
        withTimeoutOrNull(CLOSE_TIMEOUT_MILLIS) {
            while (writer.isAlive) delay(CLOSE_CHECK_INTERVAL_MILLIS)
        }
    }

    /**
     * Counts a line of [part] against its rate limit; returns false if the line has to be omitted.
     */
    private fun tryAcquire(part: String): Boolean {
        val window = rateWindows.getOrPut(part, ::RateWindow)
        val second = System.nanoTime() / NANOS_PER_SECOND
        if (window.second != second) {
            if (window.omitted > 0) offer("$part: event=lines_omitted count=${window.omitted}")
            window.second = second
            window.lines = 0
            window.omitted = 0
        }
        if (window.lines < linesPerSecond) {
            window.lines++
            return true
        }
        window.omitted++
        return false
    }

    private fun offer(line: String) {
        if (!queue.offer(line)) dropped.incrementAndGet()
    }

    private fun StringBuilder.appendValue(text: String) {
        if (text.isNotEmpty() && text.none { it <= ' ' || it == '"' }) {
            append(text)
            return
        }
        append('"')
        for (c in text) append(if (c == '"' || c < ' ') '\'' else c)
        append('"')
    }

    private fun writeLines() {
        val batch = ArrayList<String>()
        while (true) {
            try {
                batch += queue.take()
            } catch (e: InterruptedException) {
                // close() interrupts the thread; queued lines are still written.
                if (queue.isEmpty()) return
            }
            queue.drainTo(batch)
            for (line in batch) write(line)
            batch.clear()
            val lost = dropped.getAndSet(0)
            if (lost > 0) write("log: event=lines_dropped count=$lost")
            if (isClosing && queue.isEmpty()) return
        }
    }

    private companion object {
        const val QUEUE_LINES = 4_096
        const val DEFAULT_LINES_PER_SECOND = 300
        const val CLOSE_TIMEOUT_MILLIS = 500L
        const val CLOSE_CHECK_INTERVAL_MILLIS = 5L
        const val NANOS_PER_SECOND = 1_000_000_000L
    }
}
