package io.greengageport.bench

/** Why an experiment cannot be run. */
internal sealed interface ExperimentError {
    /** The file cannot be read. */
    data class Unreadable(val path: String, val reason: String) : ExperimentError {
        override fun toString(): String = "$path cannot be read: $reason"
    }

    /** The file is not YAML of the expected form. */
    data class Malformed(val path: String, val line: Int, val reason: String) : ExperimentError {
        override fun toString(): String = "$path, line $line: $reason"
    }

    /** Values that contradict each other or are out of range; all of them are listed. */
    data class Invalid(val path: String, val problems: List<String>) : ExperimentError {
        override fun toString(): String = "$path: ${problems.joinToString("; ")}"
    }
}
