package io.greengageport.entry

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.greengageport.common.RequestError
import java.time.DateTimeException
import java.time.Instant
import java.util.UUID

/** The names and the parsers of the headers that callers use. */
internal object CallerHeaders {
    const val RANK = "Greengage-Rank"
    const val DEADLINE = "Greengage-Deadline-Ms"
    const val IDEMPOTENCY_KEY = "Idempotency-Key"
    const val ISSUED_AT = "Greengage-Issued-At"
    const val REQUEST_ID = "Greengage-Request-Id"
    const val EXECUTION = "Greengage-Execution"
    const val REPLAYED = "Greengage-Replayed"
    private const val SERVICES = "/services/"
    private const val MAX_KEY_LENGTH = 128
    private const val MAX_DEADLINE_MILLIS = 3_600_000L
    private const val UUID_TIME_SHIFT = 16
    private const val UUID_TIME_VERSION = 7

    /** Parses a deadline in milliseconds from now; null if the header is absent. */
    fun parseDeadlineMillis(text: String?): Result<Long?, RequestError> {
        if (text == null) return Ok(null)
        val millis = text.toLongOrNull()
        return if (millis == null || millis !in 1..MAX_DEADLINE_MILLIS) {
            Err(RequestError.Invalid("$DEADLINE is from 1 to $MAX_DEADLINE_MILLIS, not '$text'"))
        } else {
            Ok(millis)
        }
    }

    /**
     * Returns the path below the service, with the query, of the request target [uri]. It is taken
     * from the undecoded target, in which the service's name may be percent-encoded.
     */
    fun serviceTarget(uri: String): String {
        val remainder = uri.removePrefix(SERVICES)
        val end = remainder.indexOfFirst { it == '/' || it == '?' }
        return when {
            end < 0 -> "/"
            remainder[end] == '?' -> "/" + remainder.substring(end)
            else -> remainder.substring(end)
        }
    }

    /** Parses the key and the issue time of a non-idempotent call. */
    fun parseCallKey(key: String?, issuedAt: String?): Result<CallKey, RequestError> {
        if (key.isNullOrEmpty() || key.length > MAX_KEY_LENGTH) {
            return Err(
                RequestError.KeyRequired("$IDEMPOTENCY_KEY has 1 to $MAX_KEY_LENGTH characters")
            )
        }
        val issuedAtMillis =
            if (issuedAt != null) parseInstantMillis(issuedAt) else uuidTimeMillis(key)
        return if (issuedAtMillis == null) {
            Err(
                RequestError.KeyRequired(
                    "$ISSUED_AT holds an ISO-8601 time, unless the key is a version 7 UUID"
                )
            )
        } else {
            Ok(CallKey(key, issuedAtMillis))
        }
    }

    private fun parseInstantMillis(text: String): Long? = try {
        Instant.parse(text).toEpochMilli()
    } catch (e: DateTimeException) {
        null
    }

    /** The time in a version 7 UUID (RFC 9562, section 5.7). */
    private fun uuidTimeMillis(key: String): Long? = try {
        UUID.fromString(key).takeIf { it.version() == UUID_TIME_VERSION }
            ?.let { it.mostSignificantBits ushr UUID_TIME_SHIFT }
    } catch (e: IllegalArgumentException) {
        null
    }
}
