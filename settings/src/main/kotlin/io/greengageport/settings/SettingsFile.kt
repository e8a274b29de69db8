package io.greengageport.settings

import com.charleskorn.kaml.EmptyYamlDocumentException
import com.charleskorn.kaml.Yaml
import com.charleskorn.kaml.YamlConfiguration
import com.charleskorn.kaml.YamlException
import com.charleskorn.kaml.YamlMap
import com.charleskorn.kaml.YamlNode
import com.charleskorn.kaml.YamlNull
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.KSerializer

/**
 * Reads and writes settings as YAML: a whole tree, a subtree or a single document.
 *
 * ```
 * SettingsFile.parse("urgent: {priority: 0, ...}", at = SettingsPath("ranks"))
 * ```
 */
public object SettingsFile {
    private const val MAX_CODE_POINTS = 64 * 1024 * 1024
    private val PLAIN_KEY = Regex("[a-z][a-z0-9_-]*")

    /** Quoted as keys because YAML parsers may read them as null or as booleans. */
    private val RESERVED_KEYS = setOf("null", "true", "false", "yes", "no", "on", "off", "y", "n")

    internal val yaml: Yaml = Yaml(
        configuration = YamlConfiguration(
            encodeDefaults = false,
            codePointLimit = MAX_CODE_POINTS
        )
    )

    /**
     * Parses [text], the content at or below [at], and validates it as a replacement of that part
     * of [base]. Without a base, references must be resolved within the file.
     *
     * Returns all problems together. If the YAML is not well-formed, only that problem is returned.
     */
    public fun parse(
        text: String,
        at: SettingsPath = SettingsPath.ROOT,
        base: SettingsView = SettingsView(SettingsState.EMPTY)
    ): Result<Map<SettingsPath, SettingsDocument>, List<Problem>> {
        val reader = FileReader()
        try {
            reader.read(at, yaml.parseToYamlNode(text))
        } catch (e: EmptyYamlDocumentException) {
            return Ok(emptyMap())
        } catch (e: YamlException) {
            return Err(listOf(malformed(at, e.message, e.line)))
        }
        val problems = reader.problems + reader.checkAgainst(at, base)
        return if (problems.isEmpty()) Ok(reader.documents) else Err(problems.sorted())
    }

    /** Returns the [documents] at or below [at] as YAML that [parse] accepts. */
    public fun render(
        documents: Map<SettingsPath, SettingsDocument>,
        at: SettingsPath = SettingsPath.ROOT
    ): String {
        val own = documents[at]
        if (own != null) return encode(own)
        val groups = documents.filterKeys { at.covers(it) }.toSortedMap().entries
            .groupBy { (p, _) -> p.segments[at.segments.size] }
        return groups.entries.joinToString("\n") { (segment, entries) ->
            val below = render(entries.associate { it.toPair() }, at / segment)
            "${key(segment)}:\n${below.prependIndent("  ")}"
        }
    }

    internal fun serializerOf(kind: SettingsKind): KSerializer<out SettingsDocument> = when (kind) {
        SettingsKind.RANKS -> RankSettings.serializer()
        SettingsKind.SERVICES -> ServiceSettings.serializer()
        SettingsKind.ORGANISATIONS -> OrganisationSettings.serializer()
        SettingsKind.ACCESS -> AccessSettings.serializer()
    }

    internal fun malformed(path: SettingsPath, found: String, line: Int) =
        Problem(ProblemKind.MALFORMED_FILE, path, "", found, "well-formed YAML", line)

    private fun key(segment: String) =
        if (PLAIN_KEY.matches(segment) && segment !in RESERVED_KEYS) segment else "'$segment'"

    private fun encode(d: SettingsDocument): String = when (d) {
        is RankSettings -> yaml.encodeToString(RankSettings.serializer(), d)
        is ServiceSettings -> yaml.encodeToString(ServiceSettings.serializer(), d)
        is OrganisationSettings -> yaml.encodeToString(OrganisationSettings.serializer(), d)
        is AccessSettings -> yaml.encodeToString(AccessSettings.serializer(), d)
    }
}

/** Reads one file and stores the line of each field for problems reported later. */
internal class FileReader {
    val documents = mutableMapOf<SettingsPath, SettingsDocument>()
    val problems = mutableListOf<Problem>()
    private val lines = mutableMapOf<Pair<SettingsPath, String>, Int>()
    private val unreadable = mutableSetOf<SettingsPath>()

    /** Reads the content of [path] from [node] into [documents] and [problems]. */
    fun read(path: SettingsPath, node: YamlNode) {
        lines[path to ""] = node.location.line
        when {
            path.isDocument -> readDocument(path, node)

            node is YamlMap -> for ((key, value) in node.entries) {
                val child = path / key.content
                if (child.isValid) {
                    read(child, value)
                    lines[child to ""] = key.location.line
                } else {
                    addUnknownKey(path, key.content, key.location.line)
                }
            }

            node !is YamlNull -> {
                val line = node.location.line
                val allowed = "a mapping of names"
                problems +=
                    Problem(ProblemKind.WRONG_TYPE, path, "", describe(node), allowed, line)
            }
        }
    }

    /**
     * Returns the problems of the file as a replacement of [at] in [base], without those that are
     * caused by unreadable documents.
     */
    fun checkAgainst(at: SettingsPath, base: SettingsView): List<Problem> {
        val found = base.replace(at, documents).problems
        val missing = unreadable.map { quoted(it.name) }.toSet()
        val isAccessUnreadable = unreadable.any { it.kind == SettingsKind.ACCESS }
        return found
            .filterNot { it.kind == ProblemKind.DANGLING_REFERENCE && it.found in missing }
            .filterNot { it.kind == ProblemKind.NO_ADMINISTRATOR && isAccessUnreadable }
            .map { it.copy(line = lineOf(it.path, it.field)) }
    }

    private fun readDocument(path: SettingsPath, node: YamlNode) {
        val serializer = SettingsFile.serializerOf(checkNotNull(path.kind))
        val schemaChecker = SchemaChecker(path) { field, line -> lines[path to field] = line }
        schemaChecker.check(serializer.descriptor, node, "")
        problems += schemaChecker.problems
        if (schemaChecker.problems.isNotEmpty()) {
            unreadable += path
            return
        }
        try {
            documents[path] = SettingsFile.yaml.decodeFromYamlNode(serializer, node)
        } catch (e: YamlException) {
            unreadable += path
            problems += SettingsFile.malformed(path, e.message, e.line)
        }
    }

    private fun addUnknownKey(path: SettingsPath, key: String, line: Int) {
        val allowed = if (path == SettingsPath.ROOT) kindNames() else SettingsPath.NAME_PATTERN
        problems += Problem(ProblemKind.UNKNOWN_KEY, path, "", quoted(key), allowed, line)
    }

    /** Returns the line of the field or of the nearest enclosing field present in the file. */
    private fun lineOf(path: SettingsPath, field: String): Int? {
        var f = field
        while (true) {
            lines[path to f]?.let { return it }
            if (f.isEmpty()) return null
            f = f.substring(0, maxOf(f.lastIndexOf('.'), f.lastIndexOf('['), 0))
        }
    }
}
