package io.greengageport.bench

import com.charleskorn.kaml.Yaml
import com.charleskorn.kaml.YamlException
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.decodeFromString

/**
 * One experiment: a fleet, callers, events at given times and the policy variants to compare.
 *
 * ```yaml
 * name: runner-killed
 * seed: 7
 * duration_s: 20
 * groups: [{ name: help, keys: [line-one-key], rank: urgent, rate: 6, tokens: 12 }]
 * events: [{ at_s: 8, kill: pack-b1 }]
 * ```
 */
@Serializable
internal data class ExperimentFile(
    val name: String,
    val title: String = "",
    /** Fleet file, relative to the experiment file. */
    val fleet: String = "fleet.yaml",
    val seed: Long = 1,
    @SerialName("duration_s") val durationSeconds: Int = 20,
    /** Delay until a crashed engine is restarted; if null, it is not restarted. */
    @SerialName("restart_crashed_ms") val restartCrashedMillis: Long? = null,
    val groups: List<CallerGroup>,
    val events: List<TimedEvent> = emptyList(),
    val variants: Map<String, Map<String, String>> = DEFAULT_VARIANTS
) {
    companion object {
        /** The baseline with naive policies, and the policies that the router uses by default. */
        val DEFAULT_VARIANTS: Map<String, Map<String, String>> = linkedMapOf(
            "naive" to mapOf("planner" to "first_fit", "queue" to "fifo", "retry" to "always"),
            "chosen" to mapOf("planner" to "shortest", "queue" to "fair", "retry" to "budget")
        )

        /** Reads the file at [path] and checks it. */
        fun load(path: Path): Result<ExperimentFile, ExperimentError> = try {
            parse(path.toString(), Files.readString(path))
        } catch (e: IOException) {
            Err(ExperimentError.Unreadable(path.toString(), e.toString()))
        }

        /** Parses and checks [text]; [source] names the file in errors. */
        fun parse(source: String, text: String): Result<ExperimentFile, ExperimentError> = try {
            ExperimentChecks.check(source, Yaml.default.decodeFromString<ExperimentFile>(text))
        } catch (e: YamlException) {
            Err(ExperimentError.Malformed(source, e.line, e.message))
        }
    }
}

/** Kind of request that a caller group sends. */
@Serializable
internal enum class CallKind {
    /** A request for a streamed answer of a model. */
    @SerialName("completion")
    COMPLETION,

    /** A non-idempotent call to a plain service. */
    @SerialName("order")
    ORDER,

    /** An idempotent call to a plain service. */
    @SerialName("lookup")
    LOOKUP
}

/** Callers that send similar requests; each request uses a random one of [keys]. */
@Serializable
internal data class CallerGroup(
    val name: String,
    val keys: List<String>,
    /** Organisation class under which reports list the group. */
    @SerialName("class") val organisationClass: String = "small",
    val rank: String,
    val kind: CallKind = CallKind.COMPLETION,
    val service: String = "packing-line",
    /** Requests per second. */
    val rate: Double,
    val surges: List<Surge> = emptyList(),
    /** Number of words of a unique prompt. */
    @SerialName("prompt_words") val promptWords: Int = 20,
    /** Number of tokens that a completion asks for. */
    val tokens: Int = 16,
    /** Deadline that each request states; if null, it states none. */
    @SerialName("deadline_ms") val deadlineMillis: Long? = null,
    /** Prompt of all requests; if null, each request gets a unique one. */
    val prompt: String? = null,
    /** Maximum number of attempts per request, the first one included. */
    val attempts: Int = 1,
    /** Delay before each further attempt, which goes to the next entry instance. */
    @SerialName("retry_ms") val retryMillis: Long = 500
)

/** Replaces the rate of a group by [rate] from [fromSeconds] until [untilSeconds]. */
@Serializable
internal data class Surge(
    @SerialName("from_s") val fromSeconds: Double,
    @SerialName("until_s") val untilSeconds: Double,
    val rate: Double
)

/** An action on the fleet at a given time; exactly one of the actions must be set. */
@Serializable
internal data class TimedEvent(
    @SerialName("at_s") val atSeconds: Double,
    val kill: String? = null,
    val terminate: String? = null,
    val freeze: String? = null,
    val thaw: String? = null,
    val restart: String? = null,
    val control: ControlCall? = null,
    val publish: PublishCall? = null
) {
    /** Descriptions of the actions that are set. */
    val actions: List<String>
        get() = listOfNotNull(
            kill?.let { "kill $it" },
            terminate?.let { "terminate $it" },
            freeze?.let { "freeze $it" },
            thaw?.let { "thaw $it" },
            restart?.let { "restart $it" },
            control?.let { "control ${it.on.joinToString("+")} ${it.body}" },
            publish?.let { "publish ${it.path}" }
        )

    /** Names of the processes that the event affects. */
    val targets: List<String>
        get() = listOfNotNull(kill, terminate, freeze, thaw, restart) + control?.on.orEmpty()

    override fun toString(): String = actions.joinToString()
}

/** Sends `PUT /control` with the JSON [body] to the stand-ins [on]. */
@Serializable
internal data class ControlCall(val on: List<String>, val body: String)

/** Publishes [yaml] at the settings path [path]. */
@Serializable
internal data class PublishCall(val path: String, val yaml: String)
