package io.greengageport.bench

/** Why an experiment cannot be run. */
internal sealed interface ExperimentError {
    /** The file cannot be read. */
    data class Unreadable(val path: String, val reason: String) : ExperimentError {
        override fun toString(): String = "$path cannot be read: $reason"
    }

    /** The file is not valid YAML or does not have the expected structure. */
    data class Malformed(val path: String, val line: Int, val reason: String) : ExperimentError {
        override fun toString(): String = "$path, line $line: $reason"
    }

    /** The file contains values that are out of range or contradict each other; lists them all. */
    data class Invalid(val path: String, val problems: List<String>) : ExperimentError {
        override fun toString(): String = "$path: ${problems.joinToString("; ")}"
    }
}
