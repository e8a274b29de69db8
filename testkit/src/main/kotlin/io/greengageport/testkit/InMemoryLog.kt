package io.greengageport.testkit

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.greengageport.common.Clock
import io.greengageport.common.SystemClock
import io.greengageport.ports.LogBatch
import io.greengageport.ports.LogError
import io.greengageport.ports.LogRecord
import io.greengageport.ports.LogService
import kotlin.time.Duration
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.withTimeoutOrNull

/**
 * An in-memory append-only log with fault injection.
 *
 * ```
 * val log = InMemoryLog()
 * log.nextAppendFault = AppendFault.LOSE_ACKNOWLEDGEMENT
 * ```
 */
public class InMemoryLog(private val clock: Clock = SystemClock) : LogService {
    private class Stream {
        var earliest = 1L
        val records = ArrayDeque<LogRecord>()
        val next get() = earliest + records.size
    }

    private val lock = Any()
    private val streams = mutableMapOf<String, Stream>()
    private val readSignals = mutableListOf<Channel<Unit>>()

    /** While true, every call fails with [LogError.Unavailable]. */
    @Volatile
    public var isDown: Boolean = false

    /** Fault to inject into the next append; reset after it. */
    @Volatile
    public var nextAppendFault: AppendFault = AppendFault.NONE

    /** Number of records stored so far. */
    @Volatile
    public var appendCount: Long = 0
        private set

    override suspend fun append(stream: String, payload: ByteArray): Result<Long, LogError> {
        if (isDown) return Err(LogError.Unavailable("log is down"))
        val fault = nextAppendFault
        nextAppendFault = AppendFault.NONE
        if (fault == AppendFault.DROP) return Err(LogError.Uncertain("append dropped"))
        val offset = store(stream, payload)
        return when (fault) {
            AppendFault.LOSE_ACKNOWLEDGEMENT -> Err(LogError.Uncertain("acknowledgement lost"))
            else -> Ok(offset)
        }
    }

    override suspend fun read(
        stream: String,
        from: Long,
        max: Int,
        wait: Duration
    ): Result<LogBatch, LogError> {
        val signal = Channel<Unit>(Channel.CONFLATED)
        synchronized(lock) { readSignals += signal }
        try {
            withTimeoutOrNull(wait) {
                while (!isDown && !hasRecord(stream, from)) signal.receive()
            }
        } finally {
            synchronized(lock) { readSignals -= signal }
        }
        if (isDown) return Err(LogError.Unavailable("log is down"))
        return readBatch(stream, from, max)
    }

    /** Appends a record without fault injection, like another writer, and returns its offset. */
    public fun store(stream: String, payload: ByteArray): Long = synchronized(lock) {
        val s = streams.getOrPut(stream) { Stream() }
        val offset = s.next
        s.records += LogRecord(offset, clock.wallMillis(), payload)
        appendCount++
        readSignals.forEach { it.trySend(Unit) }
        offset
    }

    /** Removes the records of [stream] before offset [earliest], like log retention. */
    public fun truncate(stream: String, earliest: Long): Unit = synchronized(lock) {
        val s = streams.getOrPut(stream) { Stream() }
        while (s.earliest < earliest && s.records.isNotEmpty()) {
            s.records.removeFirst()
            s.earliest++
        }
    }

    /** Removes the records of all streams that were appended before [wallMillis]. */
    public fun expire(wallMillis: Long): Unit = synchronized(lock) {
        for (s in streams.values) {
            while (s.records.isNotEmpty() && s.records.first().appendedAtMillis < wallMillis) {
                s.records.removeFirst()
                s.earliest++
            }
        }
    }

    private fun hasRecord(stream: String, from: Long): Boolean = synchronized(lock) {
        (streams[stream]?.next ?: 1L) > from
    }

    private fun readBatch(stream: String, from: Long, max: Int): Result<LogBatch, LogError> =
        synchronized(lock) {
            val s = streams.getOrPut(stream) { Stream() }
            if (from < s.earliest) return Err(LogError.Truncated(s.earliest))
            val skipped = (from - s.earliest).coerceAtMost(s.records.size.toLong()).toInt()
            val records = s.records.subList(skipped, minOf(skipped + max, s.records.size)).toList()
            Ok(LogBatch(earliest = s.earliest, next = s.next, records = records))
        }
}
