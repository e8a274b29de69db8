package io.greengageport.ports

import com.github.michaelbull.result.Result
import kotlin.time.Duration

/**
 * The platform's append-only log. Each stream numbers its records from offset 1.
 *
 * ```
 * val offset = log.append("settings", payload)
 * ```
 */
public interface LogService {
    /** Appends a record and returns its offset. */
    public suspend fun append(stream: String, payload: ByteArray): Result<Long, LogError>

    /**
     * Reads up to [max] records from offset [from] on; waits up to [wait] for the first record.
     *
     * Fails with [LogError.Truncated] if [from] is before the earliest retained record.
     */
    public suspend fun read(
        stream: String,
        from: Long,
        max: Int,
        wait: Duration
    ): Result<LogBatch, LogError>
}

/** A log record; [appendedAtMillis] is a time on the log service's wall clock. */
public class LogRecord(
    public val offset: Long,
    public val appendedAtMillis: Long,
    public val payload: ByteArray
)

/**
 * The result of one read.
 *
 * [earliest] is the offset of the earliest retained record, and [next] the offset of the next
 * record to be appended to the stream.
 */
public class LogBatch(
    public val earliest: Long,
    public val next: Long,
    public val records: List<LogRecord>
)

/** Why a call to the log service failed. */
public sealed interface LogError {
    /** The log service is unavailable; the call had no effect. */
    public data class Unavailable(val reason: String) : LogError

    /** The append may have taken effect; only reading the stream can tell. */
    public data class Uncertain(val reason: String) : LogError

    /** The requested offset is before [earliest]. */
    public data class Truncated(val earliest: Long) : LogError

    /** The log service rejected the call, for example because the record is too large. */
    public data class Rejected(val reason: String) : LogError
}
