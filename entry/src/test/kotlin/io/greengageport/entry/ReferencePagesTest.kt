package io.greengageport.entry

import io.greengageport.common.DataCentre
import io.greengageport.common.InstanceId
import io.greengageport.settings.ChangeId
import io.greengageport.settings.HistoryEntry
import io.greengageport.settings.RankSettings
import io.greengageport.settings.SettingsPath
import java.nio.file.Files
import java.nio.file.Path
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.descriptors.StructureKind
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEmpty
import strikt.assertions.isNull

class ReferencePagesTest {
    private val root = Path.of(System.getProperty("user.dir")).let {
        if (Files.exists(it.resolve("docs"))) it else it.parent
    }

    /** Guards against missing or removed keys and wrong defaults in the settings reference. */
    @Test
    fun `the settings reference lists exactly the keys of the instance file and their defaults`() {
        val example = InstanceConfig(
            instance = InstanceId("entry-1"),
            dataCentre = DataCentre("dc1"),
            listen = ListenConfig("", "", ""),
            platform = "",
            peerSecret = ""
        )
        val json = Json { encodeDefaults = true }
        val value = json.encodeToJsonElement(InstanceConfig.serializer(), example)
        val expected = mutableMapOf<String, String>()
        collect(InstanceConfig.serializer().descriptor, value, "", expected)
        val documented = Files.readString(root.resolve("docs/settings.md"))
            .substringAfter("## The instance's own file")
            .lines()
            .mapNotNull { line -> ROW.find(line)?.let { it.groupValues[1] to line.split("|") } }
            .associate { (key, cells) -> key to cells[DEFAULT_COLUMN].trim().trim('`') }
        expectThat(documented).isEqualTo(expected)
    }

    /** Guards against undocumented metrics and documented metrics that were removed. */
    @Test
    fun `the operations page lists exactly the metrics and their labels`() {
        val metrics = EntryMetrics::class.java.declaredFields
            .filter { it.type.name.startsWith("io.prometheus") && it.name != "registry" }
            .map { field ->
                field.isAccessible = true
                val m = field.get(EntryMetrics())
                val name = m.javaClass.getMethod("getPrometheusName").invoke(m) as String
                val names = generateSequence<Class<*>>(m.javaClass) { it.superclass }
                    .mapNotNull { c -> c.declaredFields.find { it.name == "labelNames" } }
                    .first().also { it.isAccessible = true }
                @Suppress("UNCHECKED_CAST")
                name to (names.get(m) as Array<String>).joinToString()
            }
        val documented = Files.readAllLines(root.resolve("docs/OPERATIONS.md"))
            .mapNotNull { METRIC.find(it) }
            .map { it.groupValues[1].removeSuffix("_total") to it.groupValues[2].trim() }
        expectThat(metrics).isNotEmpty()
        expectThat(documented.map { (n, l) -> "$n {${l.replace("`", "")}}" }.sorted()).isEqualTo(
            metrics.map { (n, l) -> "${n.removeSuffix("_total")} {${l.ifEmpty { "–" }}}" }.sorted()
        )
    }

    /** Guards against paths that cannot be rolled forward to a version published at the root. */
    @Test
    fun `a roll-forward uses the values of its path from a change above the path`() {
        val batch = SettingsPath.rank("batch")
        val value = RankSettings(2, 1, 1, 1)
        val all = mapOf(batch to value, SettingsPath.rank("urgent") to RankSettings(0, 1, 1, 1))
        val history = listOf(
            HistoryEntry(1, 0, ChangeId("a"), "o", SettingsPath.ROOT, all, 1),
            HistoryEntry(2, 0, ChangeId("b"), "o", batch, null, 1)
        )
        expectThat(valueAtVersion(history, batch, 1)?.value).isEqualTo(mapOf(batch to value))
        expectThat(valueAtVersion(history, SettingsPath("ranks"), 2)).isNull()
    }

    private fun collect(
        d: SerialDescriptor,
        value: JsonElement?,
        prefix: String,
        into: MutableMap<String, String>
    ) {
        for (i in 0 until d.elementsCount) {
            val element = d.getElementDescriptor(i)
            val own = (value as? JsonObject)?.get(d.getElementName(i))
            val isMapping = element.kind == StructureKind.CLASS && !element.isInline
            into[prefix + d.getElementName(i)] = when {
                !d.isElementOptional(i) -> "required"
                isMapping -> "–"
                own is JsonPrimitive -> own.content.ifEmpty { "empty" }
                else -> own.toString()
            }
            if (isMapping) collect(element, own, "$prefix${d.getElementName(i)}.", into)
        }
    }

    private companion object {
        const val DEFAULT_COLUMN = 4
        val ROW = Regex("^\\| `([a-z_.]+)` \\|")
        val METRIC = Regex("^\\| `(greengageport_(?!gateway_)\\w+)` \\| ([^|]*) \\|")
    }
}
