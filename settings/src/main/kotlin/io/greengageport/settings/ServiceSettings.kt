package io.greengageport.settings

import io.greengageport.common.ServiceName
import java.net.URI
import java.net.URISyntaxException
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * A service: exactly one of [model] and [plain] is present.
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
 * A model whose [layers] are spread over runners.
 *
 * [version] serves requests that name none; [versions] are further ones to keep loaded.
 * [checksFencing] says that the engines reject orders with a stale fencing token.
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

/** How many runners are to hold each layer, and how many may be reloading at a time. */
@Serializable
public data class PlacementSettings(
    val minCopies: Int = 1,
    val maxCopies: Int = MAX_COPIES,
    val maxConcurrentMoves: Int = 1
) {
    public companion object {
        /** Largest number of copies of a layer that can be asked for. */
        public const val MAX_COPIES: Int = 1_000
    }
}

/** A plain HTTP service; calls that match none of [nonIdempotent] may be repeated. */
@Serializable
public data class PlainSettings(
    val nonIdempotent: List<CallPattern> = emptyList(),
    val deduplication: Deduplication = Deduplication.NONE
) {
    /**
     * Whether a call may not be repeated. The path is decoded and normalised first, since backend
     * servers treat `/orders/`, `//orders` and `/%6frders` alike; a path that cannot be normalised
     * counts as non-idempotent if any pattern has the method.
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

/** Who removes repeated non-idempotent calls with the same key. */
@Serializable
public enum class Deduplication {
    /** Only greengageport; a call whose outcome was lost is never sent again. */
    @SerialName("none")
    NONE,

    /** The backend server runs a key once, so that the call may be sent again. */
    @SerialName("backend")
    BACKEND
}

/**
 * Calls of a [method] (`*` for any) to a [path]; in it, `*` stands for one segment and a last
 * `**` for any number of segments.
 */
@Serializable
public data class CallPattern(val method: String, val path: String) {
    internal fun matchesMethod(other: String) = method == "*" || method.equals(other, true)

    internal fun matchesPath(other: String): Boolean {
        val pattern = segments(path)
        val actual = segments(other)
        val open = pattern.lastOrNull() == "**"
        val fixed = if (open) pattern.dropLast(1) else pattern
        val fits = if (open) actual.size >= fixed.size else actual.size == fixed.size
        return fits && fixed.indices.all { fixed[it] == "*" || fixed[it].equals(actual[it], true) }
    }

    private fun segments(path: String) = path.split('/').filter { it.isNotEmpty() }
}

/**
 * Time limits in milliseconds: to connect, for a frame of a model or the head of a plain reply to
 * arrive, and for the whole answer.
 */
@Serializable
public data class TimeoutSettings(
    val connectMillis: Int = 300,
    val silenceMillis: Int = 600,
    val answerMillis: Int = 120_000
)

/** Attempts in all, and the bounds of the exponential backoff between them. */
@Serializable
public data class RetrySettings(
    val maxAttempts: Int = 5,
    val baseDelayMillis: Int = 20,
    val maxDelayMillis: Int = 1_000
)

/** A service with its name and the team that owns it. */
public data class Service(val name: ServiceName, val team: String, val settings: ServiceSettings)
