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
     * Reads at most [max] records that start at offset [from], waiting up to [wait] for the first.
     *
     * Fails with [LogError.Truncated] when [from] lies before the earliest retained record.
     */
    public suspend fun read(
        stream: String,
        from: Long,
        max: Int,
        wait: Duration
    ): Result<LogBatch, LogError>
}

/** A record of the log; [appendedAtMillis] is the log service's wall clock. */
public class LogRecord(
    public val offset: Long,
    public val appendedAtMillis: Long,
    public val payload: ByteArray
)

/**
 * Records of one read.
 *
 * [earliest] is the offset of the earliest retained record and [next] the offset that the next
 * appended record of the stream will get.
 */
public class LogBatch(
    public val earliest: Long,
    public val next: Long,
    public val records: List<LogRecord>
)

/** Why a call to the log service failed. */
public sealed interface LogError {
    /** The call surely had no effect. */
    public data class Unavailable(val reason: String) : LogError

    /** The append may have taken effect; only reading back can tell. */
    public data class Uncertain(val reason: String) : LogError

    /** The asked offset lies before [earliest]. */
    public data class Truncated(val earliest: Long) : LogError

    /** The log service refuses the call, for example a record that is too large. */
    public data class Rejected(val reason: String) : LogError
}
