package io.greengageport.settings

import io.greengageport.common.ServiceName
import java.net.URI
import java.net.URISyntaxException
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * The settings of a service. Exactly one of [model] and [plain] must be set.
 *
 * ```
 * ServiceSettings(model = ModelSettings(layers = 48, version = "v3"))
 * ```
 */
@Serializable
@SerialName("service")
public data class ServiceSettings(
    val model: ModelSettings? = null,
    val plain: PlainSettings? = null,
    val timeouts: TimeoutSettings = TimeoutSettings(),
    val retry: RetrySettings = RetrySettings()
) : SettingsDocument {
    override val kind: SettingsKind get() = SettingsKind.SERVICES
}

/**
 * A model whose [layers] are distributed over runners.
 *
 * [version] serves requests that do not specify one; [versions] are additional versions to keep
 * loaded. Each runner of the model should hold exactly the [adapters]. [checksFencing] is true if
 * the engines reject orders with a stale fencing token.
 */
@Serializable
public data class ModelSettings(
    val layers: Int,
    val version: String,
    val versions: List<String> = emptyList(),
    val adapters: List<String> = emptyList(),
    val checksFencing: Boolean = false,
    val placement: PlacementSettings = PlacementSettings()
)

/** How many runners hold each layer, and how many may reload concurrently. */
@Serializable
public data class PlacementSettings(
    val minCopies: Int = 1,
    val maxCopies: Int = MAX_COPIES,
    val maxConcurrentMoves: Int = 1
) {
    public companion object {
        /** Upper limit for [minCopies] and [maxCopies]. */
        public const val MAX_COPIES: Int = 1_000
    }
}

/** A plain HTTP service. Calls that match no pattern in [nonIdempotent] may be retried. */
@Serializable
public data class PlainSettings(
    val nonIdempotent: List<CallPattern> = emptyList(),
    val deduplication: Deduplication = Deduplication.NONE
) {
    /**
     * Returns whether a call must not be retried.
     *
     * The path is decoded and normalised first because backend servers treat `/orders/`, `//orders`
     * and `/%6frders` alike. A path that cannot be normalised is considered non-idempotent if any
     * pattern matches the method.
     */
    public fun isNonIdempotent(method: String, path: String): Boolean {
        val normal = normalise(path)
        return nonIdempotent.any { p ->
            p.matchesMethod(method) && (normal == null || p.matchesPath(normal))
        }
    }

    private fun normalise(path: String): String? = try {
        val decoded = URI(path.substringBefore('?').replace(SLASHES, "/")).path
        val resolved = decoded?.let { URI(null, null, it.replace(SLASHES, "/"), null) }
        resolved?.normalize()?.path?.removeSuffix("/")?.ifEmpty { "/" }
    } catch (e: URISyntaxException) {
        null
    }

    private companion object {
        val SLASHES = Regex("/+")
    }
}

/** Which component deduplicates non-idempotent calls with the same idempotency key. */
@Serializable
public enum class Deduplication {
    /** Only greengageport does; a call with an unknown outcome is never retried. */
    @SerialName("none")
    NONE,

    /** The backend server executes each key once, so the call may be retried. */
    @SerialName("backend")
    BACKEND
}

/**
 * Matches calls by [method] (`*` for any) and [path]. In the path, `*` matches one segment, and
 * `**` as the last segment matches any number of segments. Case is ignored in both.
 */
@Serializable
public data class CallPattern(val method: String, val path: String) {
    internal fun matchesMethod(other: String) = method == "*" || method.equals(other, true)

    internal fun matchesPath(other: String): Boolean {
        val pattern = segments(path)
        val actual = segments(other)
        val isOpenEnded = pattern.lastOrNull() == "**"
        val fixed = if (isOpenEnded) pattern.dropLast(1) else pattern
        val fits = if (isOpenEnded) actual.size >= fixed.size else actual.size == fixed.size
        return fits && fixed.indices.all { fixed[it] == "*" || fixed[it].equals(actual[it], true) }
    }

    private fun segments(path: String) = path.split('/').filter { it.isNotEmpty() }
}

/**
 * Timeouts in milliseconds: to connect, to receive the next frame of a model or the response head
 * of a plain service, and to receive the complete response.
 */
@Serializable
public data class TimeoutSettings(
    val connectMillis: Int = 300,
    val silenceMillis: Int = 600,
    val answerMillis: Int = 120_000
)

/** The total number of attempts and the bounds of the exponential backoff between them. */
@Serializable
public data class RetrySettings(
    val maxAttempts: Int = 5,
    val baseDelayMillis: Int = 20,
    val maxDelayMillis: Int = 1_000
)

/** A service with its name and the team that owns it. */
public data class Service(val name: ServiceName, val team: String, val settings: ServiceSettings)
