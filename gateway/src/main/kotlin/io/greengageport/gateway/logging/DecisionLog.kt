package io.greengageport.gateway.logging

import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.atomic.AtomicLong
import org.tinylog.kotlin.Logger

/**
 * Structured log lines that never hold up the thread that decides.
 *
 * A line is `part: event=NAME key=value ...`. Lines go through a bounded queue to a thread of their
 * own; while standard output stalls, lines are dropped and counted. Each part may write
 * [linesPerSecond] lines a second; what exceeds that is counted too, and the counts are logged.
 */
public class DecisionLog(
    private val linesPerSecond: Int = DEFAULT_LINES_PER_SECOND,
    private val write: (String) -> Unit = { Logger.info(it) }
) : AutoCloseable {
    private class Part(var second: Long = 0, var lines: Int = 0, var omitted: Int = 0)

    private val queue = ArrayBlockingQueue<String>(QUEUE_LINES)
    private val dropped = AtomicLong()
    private val parts = HashMap<String, Part>()

    @Volatile
    private var isClosing = false
    private val writer = Thread(::writeLines, "decision-log").apply {
        isDaemon = true
        start()
    }

    /** Lines that were dropped because the queue was full. */
    public val droppedLines: Long get() = dropped.get()

    /** Writes a line of [part]; used on the event loop's thread only. */
    public fun record(part: String, event: String, vararg fields: Pair<String, Any?>) {
        if (!admits(part)) return
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

    override fun close() {
        isClosing = true
        writer.interrupt()
        writer.join(CLOSE_MILLIS)
    }

    private fun admits(part: String): Boolean {
        val p = parts.getOrPut(part, ::Part)
        val second = System.nanoTime() / NANOS_PER_SECOND
        if (p.second != second) {
            if (p.omitted > 0) offer("$part: event=lines_omitted count=${p.omitted}")
            p.second = second
            p.lines = 0
            p.omitted = 0
        }
        if (p.lines < linesPerSecond) {
            p.lines++
            return true
        }
        p.omitted++
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
                // Closing: what is queued is still written.
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
        const val CLOSE_MILLIS = 500L
        const val NANOS_PER_SECOND = 1_000_000_000L
    }
}
