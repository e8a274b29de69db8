package io.greengageport.settings

import kotlinx.serialization.Serializable

/**
 * A validation error in a settings document or file.
 *
 * [field] is the path of the field within the document, such as `model.layers`; it is empty for the
 * document itself. [found] and [allowed] describe the present and the permitted values in words.
 * [line] is null unless the settings were read from a file.
 */
@Serializable
public data class Problem(
    val kind: ProblemKind,
    val path: SettingsPath,
    val field: String,
    val found: String,
    val allowed: String,
    val line: Int? = null
) : Comparable<Problem> {
    override fun compareTo(other: Problem): Int = ORDER.compare(this, other)

    override fun toString(): String = buildString {
        if (line != null) append("line $line: ")
        append(path)
        if (field.isNotEmpty()) append(" $field")
        append(": found $found, allowed: $allowed")
    }

    private companion object {
        val ORDER = compareBy<Problem>({ it.line ?: 0 }, { it.path.value }, { it.field })
            .thenBy { it.found }
    }
}

/** The kind of a [Problem]. */
@Serializable
public enum class ProblemKind {
    /** The file is not well-formed YAML. */
    MALFORMED_FILE,
    UNKNOWN_KEY,
    MISSING_KEY,
    WRONG_TYPE,
    OUT_OF_RANGE,

    /** An organisation refers to a service or rank that does not exist. */
    DANGLING_REFERENCE,

    /** A list contains a value twice, or a name, key or priority occurs twice in the tree. */
    DUPLICATE,

    /** The floor shares of all ranks add up to more than 1. */
    FLOORS_EXCEED_CAPACITY,

    /** No access document grants write access to all access documents. */
    NO_ADMINISTRATOR,

    /** The path of a document is invalid, outside the replaced part or that of another kind. */
    MISPLACED
}
