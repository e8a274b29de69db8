package io.greengageport.settings

import kotlinx.serialization.Serializable

/**
 * A path in the settings tree: segments separated by `/`. The root is the empty path.
 *
 * ```
 * SettingsPath("services/packing").covers(SettingsPath("services/packing/sheets")) // true
 * ```
 */
@Serializable
@JvmInline
public value class SettingsPath(public val value: String) : Comparable<SettingsPath> {
    /** Segments starting at the root; empty for the root. */
    public val segments: List<String>
        get() = if (value.isEmpty()) emptyList() else value.split('/')

    /** Last segment; empty for the root. */
    public val name: String get() = value.substringAfterLast('/')

    /** The path one level up, or null for the root. */
    public val parent: SettingsPath?
        get() = if (value.isEmpty()) null else SettingsPath(value.substringBeforeLast('/', ""))

    /** The kind of documents at or below this path; null for the root and unknown paths. */
    public val kind: SettingsKind?
        get() = SettingsKind.entries.find { it.segment == value.substringBefore('/') }

    /** Whether the path is that of a document and not of a subtree. */
    public val isDocument: Boolean get() = kind?.depth == segments.size

    /** Whether the path is the root or a possible path of a subtree or document. */
    public val isValid: Boolean
        get() = value.isEmpty() || isBelowKind()

    private fun isBelowKind(): Boolean {
        val k = kind ?: return false
        return segments.size <= k.depth && segments.drop(1).all { NAME.matches(it) }
    }

    /** The ancestors of this path, from its parent to the root. */
    public fun ancestors(): Sequence<SettingsPath> = generateSequence(parent) { it.parent }

    /** Returns whether [other] is this path or a descendant of it. */
    public fun covers(other: SettingsPath): Boolean = value.isEmpty() ||
        other.value == value ||
        (other.value.startsWith(value) && other.value[value.length] == '/')

    /** The path of the child [segment]. */
    public operator fun div(segment: String): SettingsPath =
        SettingsPath(if (value.isEmpty()) segment else "$value/$segment")

    override fun compareTo(other: SettingsPath): Int = value.compareTo(other.value)

    override fun toString(): String = value.ifEmpty { "(root)" }

    public companion object {
        /** The whole tree. */
        public val ROOT: SettingsPath = SettingsPath("")

        /** Regular expression of the segments below the kind. */
        public const val NAME_PATTERN: String = "[a-z0-9][a-z0-9._-]{0,62}"
        private val NAME = Regex(NAME_PATTERN)

        /** Path of a rank. */
        public fun rank(name: String): SettingsPath = SettingsPath("ranks/$name")

        /** Path of a service. */
        public fun service(team: String, name: String): SettingsPath =
            SettingsPath("services/$team/$name")

        /** Path of an organisation. */
        public fun organisation(team: String, name: String): SettingsPath =
            SettingsPath("organisations/$team/$name")

        /** Path of the access document of a team. */
        public fun access(team: String): SettingsPath = SettingsPath("access/$team")
    }
}

/** The first level of the tree. Document paths of a kind have [depth] segments. */
public enum class SettingsKind(public val segment: String, public val depth: Int) {
    RANKS("ranks", 2),
    SERVICES("services", 3),
    ORGANISATIONS("organisations", 3),
    ACCESS("access", 2)
}
