package io.greengageport.bench

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** Checks the values of an experiment file that its types allow; reports all problems at once. */
internal object ExperimentChecks {
    private const val MAX_DURATION_SECONDS = 600
    private const val MAX_RATE = 5_000.0
    private val POLICIES = mapOf(
        "planner" to setOf("shortest", "least_queue", "first_fit"),
        "queue" to setOf("fair", "fifo"),
        "retry" to setOf("budget", "always")
    )

    /** Returns [f], or all its problems; [source] names the file in the error. */
    fun check(source: String, f: ExperimentFile): Result<ExperimentFile, ExperimentError> {
        val problems = buildList {
            if (!f.name.matches(Regex("[a-z0-9-]+"))) {
                add("name '${f.name}' contains characters other than a-z, 0-9 and -")
            }
            if (f.durationSeconds !in 1..MAX_DURATION_SECONDS) {
                add("duration_s is ${f.durationSeconds}, not 1 to $MAX_DURATION_SECONDS")
            }
            if (f.groups.isEmpty()) add("groups is empty, at least 1 is needed")
            for (name in findDuplicates(f.groups.map { it.name })) add("duplicate group '$name'")
            f.groups.forEach { addAll(groupProblems(it)) }
            f.events.forEach { addAll(eventProblems(it, f.durationSeconds)) }
            if (f.variants.isEmpty()) add("variants is empty, at least 1 is needed")
            f.variants.forEach { (name, policies) -> addAll(variantProblems(name, policies)) }
        }
        return if (problems.isEmpty()) Ok(f) else Err(ExperimentError.Invalid(source, problems))
    }

    /** Checks that [fleet] has all processes and services that [f] names. */
    fun checkTargets(
        source: String,
        f: ExperimentFile,
        fleet: FleetFile
    ): Result<ExperimentFile, ExperimentError> {
        val known = fleet.instances.map { it.id } + fleet.engines.map { it.id } +
            fleet.plain.map { it.id } + "platform"
        val services = fleet.engines.map { it.service } + fleet.plain.map { it.service }
        val problems = f.events.flatMap { it.targets }.filter { it !in known }.distinct()
            .map { "the fleet has no process '$it'" } +
            f.groups.filter { it.service !in services }
                .map { "group ${it.name}: the fleet has no service '${it.service}'" }
        return if (problems.isEmpty()) Ok(f) else Err(ExperimentError.Invalid(source, problems))
    }

    private fun groupProblems(g: CallerGroup): List<String> = buildList {
        if (g.keys.isEmpty()) add("keys is empty, at least 1 is needed")
        if (g.rate !in 0.0..MAX_RATE) add("rate is ${g.rate}, not 0 to $MAX_RATE")
        if (g.promptWords < 1) add("prompt_words is ${g.promptWords}, at least 1 is needed")
        if (g.tokens < 1) add("tokens is ${g.tokens}, at least 1 is needed")
        if (g.attempts < 1) add("attempts is ${g.attempts}, at least 1 is needed")
        if (g.retryMillis < 0) add("retry_ms is negative")
        for (s in g.surges) {
            if (s.rate !in 0.0..MAX_RATE) add("a surge's rate is ${s.rate}, not 0 to $MAX_RATE")
            if (s.fromSeconds < 0 || s.untilSeconds <= s.fromSeconds) {
                add("a surge from ${s.fromSeconds} s until ${s.untilSeconds} s is empty")
            }
        }
        val sorted = g.surges.sortedBy { it.fromSeconds }
        if (sorted.zipWithNext().any { (a, b) -> b.fromSeconds < a.untilSeconds }) {
            add("surges overlap")
        }
    }.map { "group ${g.name}: $it" }

    private fun eventProblems(e: TimedEvent, maxSeconds: Int): List<String> = buildList {
        if (e.actions.size != 1) add("has ${e.actions.size} actions, not 1")
        if (e.atSeconds < 0 || e.atSeconds > maxSeconds) add("is outside 0 to $maxSeconds s")
        e.control?.let {
            if (!isJsonObject(it.body)) add("control body is not a JSON object: ${it.body}")
        }
    }.map { "event at ${e.atSeconds} s: $it" }

    private fun isJsonObject(text: String): Boolean = try {
        Json.parseToJsonElement(text) is kotlinx.serialization.json.JsonObject
    } catch (e: SerializationException) {
        false
    }

    private fun variantProblems(name: String, policies: Map<String, String>) =
        policies.mapNotNull { (k, v) ->
            val allowed = POLICIES[k]
            when {
                allowed == null -> "variant $name: no policy is named '$k'"
                v !in allowed -> "variant $name: $k is '$v', not one of ${allowed.sorted()}"
                else -> null
            }
        }

    private fun findDuplicates(names: List<String>) =
        names.groupingBy { it }.eachCount().filter { it.value > 1 }.keys
}
