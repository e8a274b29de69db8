package io.greengageport.common

/**
 * An error that is returned to a caller.
 *
 * Each error has its HTTP [status], a stable machine-readable [code], whether the request ran, and
 * for refusals under load the time after which to retry.
 */
public sealed class RequestError(
    public val status: Int,
    public val code: String,
    public val message: String,
    public val execution: Execution = Execution.NOT_RUN,
    public val retryAfterMillis: Long? = null
) {
    /** The request is malformed. */
    public class Invalid(message: String) : RequestError(400, "invalid_request", message)

    /** The credentials are missing or unknown. */
    public class Unauthenticated : RequestError(401, "unauthenticated", "unknown or missing key")

    /** The organisation may not use the service or rank. */
    public class Forbidden(message: String) : RequestError(403, "forbidden", message)

    /** The service does not exist. */
    public class UnknownService(name: String) :
        RequestError(404, "unknown_service", "no service is named '$name'")

    /** The model does not offer the version that the request names. */
    public class UnknownVersion(service: String, version: String) :
        RequestError(404, "unknown_version", "'$service' does not offer version '$version'")

    /** The body or its headers exceed the configured size. */
    public class TooLarge(limitBytes: Long) :
        RequestError(413, "request_too_large", "the request exceeds $limitBytes bytes")

    /** The organisation has reached its limit. */
    public class OverLimit(message: String, retryAfterMillis: Long) :
        RequestError(429, "over_limit", message, retryAfterMillis = retryAfterMillis)

    /** The fleet has no capacity for the request within its deadline. */
    public class Overloaded(message: String, retryAfterMillis: Long) :
        RequestError(503, "overloaded", message, retryAfterMillis = retryAfterMillis)

    /** No chain of live runners covers the layers of the model, or no plain runner is live. */
    public class NoCapacity(message: String, retryAfterMillis: Long) :
        RequestError(503, "no_backend_server", message, retryAfterMillis = retryAfterMillis)

    /** This instance is stopping or not yet ready. */
    public class NotServing(message: String, retryAfterMillis: Long) :
        RequestError(503, "not_serving", message, retryAfterMillis = retryAfterMillis)

    /** The deadline passed before the answer was complete. */
    public class DeadlineExceeded(execution: Execution, retryAfterMillis: Long? = null) :
        RequestError(
            504,
            "deadline_exceeded",
            "the deadline passed before the answer was complete",
            execution,
            retryAfterMillis
        )

    /** The request crashed several backend servers and is not retried. */
    public class CrashesRunners :
        RequestError(
            422,
            "request_crashes_runners",
            "the request crashed more than one backend server and is blocked",
            Execution.RAN
        )

    /** The backend server failed while it ran the request. */
    public class BackendFailed(message: String, execution: Execution) :
        RequestError(502, "backend_failed", message, execution)

    /** The ledger of non-idempotent calls cannot be written at the moment. */
    public class LedgerUnavailable(retryAfterMillis: Long) :
        RequestError(
            503,
            "ledger_unavailable",
            "the log service does not take records at present",
            retryAfterMillis = retryAfterMillis
        )

    /** The idempotency key or issue time of a non-idempotent call is missing or malformed. */
    public class KeyRequired(message: String) :
        RequestError(400, "idempotency_key_required", message)

    /** The idempotency key was used before with a different request. */
    public class KeyReused :
        RequestError(409, "idempotency_key_reused", "the key was used before with another request")

    /** The idempotency key is older than the retained records, so the outcome is unknown. */
    public class KeyExpired :
        RequestError(
            409,
            "key_expired",
            "the key is older than the records kept; an earlier request with it may have run",
            Execution.UNKNOWN
        )

    /** An earlier request with the same idempotency key is still running. */
    public class KeyInProgress(retryAfterMillis: Long) :
        RequestError(
            409,
            "key_in_progress",
            "an earlier request with the key is running",
            Execution.UNKNOWN,
            retryAfterMillis
        )

    /** An earlier request with the idempotency key may have run; its outcome was lost. */
    public class OutcomeUnknown :
        RequestError(
            409,
            "outcome_unknown",
            "the call may have run; its outcome is not known",
            Execution.UNKNOWN
        )

    /** An internal error of this instance. */
    public class Internal(message: String, execution: Execution) :
        RequestError(500, "internal", message, execution)

    override fun toString(): String = "$code (${execution.wireName}): $message"
}
