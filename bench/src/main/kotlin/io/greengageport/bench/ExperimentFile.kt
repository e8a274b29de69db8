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
    /** Time after which the fleet starts an engine anew that crashed; none without it. */
    @SerialName("restart_crashed_ms") val restartCrashedMillis: Long? = null,
    val groups: List<CallerGroup>,
    val events: List<TimedEvent> = emptyList(),
    val variants: Map<String, Map<String, String>> = DEFAULT_VARIANTS
) {
    companion object {
        /** The naive baseline and the design's choices. */
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

        /** Parses [text] and checks it; [source] names it in errors. */
        fun parse(source: String, text: String): Result<ExperimentFile, ExperimentError> = try {
            ExperimentChecks.check(source, Yaml.default.decodeFromString<ExperimentFile>(text))
        } catch (e: YamlException) {
            Err(ExperimentError.Malformed(source, e.line, e.message))
        }
    }
}

/** What a caller group asks for. */
@Serializable
internal enum class CallKind {
    /** A streamed answer of a model. */
    @SerialName("completion")
    COMPLETION,

    /** A non-idempotent call to a plain service. */
    @SerialName("order")
    ORDER,

    /** A repeatable call to a plain service. */
    @SerialName("lookup")
    LOOKUP
}

/** Callers that send like requests; each request uses one of [keys], chosen by the seed. */
@Serializable
internal data class CallerGroup(
    val name: String,
    val keys: List<String>,
    /** Name of the organisation class in reports. */
    @SerialName("class") val organisationClass: String = "small",
    val rank: String,
    val kind: CallKind = CallKind.COMPLETION,
    val service: String = "packing-line",
    /** Requests per second. */
    val rate: Double,
    val surges: List<Surge> = emptyList(),
    @SerialName("prompt_words") val promptWords: Int = 20,
    val tokens: Int = 16,
    @SerialName("deadline_ms") val deadlineMillis: Long? = null,
    /** Every request has this prompt instead of one of its own. */
    val prompt: String? = null,
    /** Requests that a caller sends in all until one is answered. */
    val attempts: Int = 1,
    @SerialName("retry_ms") val retryMillis: Long = 500
)

/** The group's rate is [rate] from [fromSeconds] until [untilSeconds]. */
@Serializable
internal data class Surge(
    @SerialName("from_s") val fromSeconds: Double,
    @SerialName("until_s") val untilSeconds: Double,
    val rate: Double
)

/** Something that is done to the fleet at a time; exactly one action is present. */
@Serializable
internal data class TimedEvent(
    @SerialName("at_s") val atSeconds: Double,
    val kill: String? = null,
    val terminate: String? = null,
    val freeze: String? = null,
    val thaw: String? = null,
    val restart: String? = null,
    val control: ControlCall? = null,
    val publish: Publish? = null
) {
    /** The names of the actions that are present. */
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

    /** Processes that the event names. */
    val targets: List<String>
        get() = listOfNotNull(kill, terminate, freeze, thaw, restart) + control?.on.orEmpty()

    override fun toString(): String = actions.joinToString()
}

/** `PUT /control` with the JSON [body] of the stand-ins [on]. */
@Serializable
internal data class ControlCall(val on: List<String>, val body: String)

/** Publishes [yaml] at [path] of the settings. */
@Serializable
internal data class Publish(val path: String, val yaml: String)
