package io.greengageport.settings

import com.github.michaelbull.result.fold
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.name
import kotlinx.serialization.KSerializer
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.descriptors.StructureKind
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEmpty

class SettingsReferenceTest {
    private val root = Path.of(System.getProperty("user.dir")).let {
        if (Files.exists(it.resolve("docs"))) it else it.parent
    }

    /** Guards against missing keys, obsolete keys and wrong defaults in `docs/settings.md`. */
    @Test
    fun `the reference lists exactly the keys of the schema with their defaults`() {
        val hash = KeyHash.of("k")
        val expected = keys("ranks", RankSettings.serializer(), RankSettings(0, 1, 1, 1)) +
            keys(
                "services",
                ServiceSettings.serializer(),
                ServiceSettings(ModelSettings(1, "v"), PlainSettings(listOf(CallPattern("", ""))))
            ) +
            keys(
                "organisations",
                OrganisationSettings.serializer(),
                OrganisationSettings(listOf(hash))
            ) +
            keys("access", AccessSettings.serializer(), AccessSettings(listOf(hash), emptyList()))
        expectThat(documented()).isEqualTo(expected)
    }

    /** Guards against examples that are not valid settings. */
    @Test
    fun `all example settings are valid`() {
        val files = Files.walk(root.resolve("examples")).use { all ->
            all.filter { it.name == "settings.yaml" }.toList()
        }
        expectThat(files).isNotEmpty()
        val problems = files.flatMap { f ->
            SettingsFile.parse(Files.readString(f)).fold({ emptyList() }, { it })
        }
        expectThat(problems).isEqualTo(emptyList())
    }

    /** Parses the rows `| key | type | unit | default | ...` below a heading `### kind`. */
    private fun documented(): Map<String, String> {
        val found = mutableMapOf<String, String>()
        var kind = ""
        for (line in Files.readAllLines(root.resolve("docs/settings.md"))) {
            if (line.startsWith("#")) kind = KIND.matchEntire(line)?.groupValues?.get(1).orEmpty()
            val key = ROW.find(line)?.groupValues?.get(1) ?: continue
            if (kind.isEmpty()) continue
            found["$kind $key"] = line.split("|")[DEFAULT_COLUMN].trim().trim('`')
        }
        return found
    }

    /** Returns each key with its default; [example] sets only the required keys. */
    private fun <T> keys(kind: String, s: KSerializer<T>, example: T): Map<String, String> {
        val found = mutableMapOf<String, String>()
        collect(s.descriptor, json.encodeToJsonElement(s, example), "$kind ", found)
        return found
    }

    private fun collect(
        d: SerialDescriptor,
        value: JsonElement?,
        prefix: String,
        into: MutableMap<String, String>
    ) {
        for (i in 0 until d.elementsCount) {
            val name = prefix + d.getElementName(i)
            val element = d.getElementDescriptor(i)
            val own = (value as? JsonObject)?.get(d.getElementName(i))
            val item = if (element.kind == StructureKind.LIST) {
                element.getElementDescriptor(0)
            } else {
                element
            }
            into[name] = if (d.isElementOptional(i)) defaultOf(element, own) else "required"
            if (item.kind != StructureKind.CLASS || item.isInline) continue
            if (element.kind != StructureKind.LIST) {
                collect(item, own, "$name.", into)
            } else {
                collect(item, null, "$name[].", into)
            }
        }
    }

    private fun defaultOf(d: SerialDescriptor, value: JsonElement?): String = when {
        d.kind == StructureKind.CLASS && !d.isInline -> "–"
        d.kind == StructureKind.LIST -> if (d.isNullable) "none" else "[]"
        value is JsonPrimitive -> value.contentOrNull ?: "none"
        else -> "none"
    }

    private companion object {
        const val DEFAULT_COLUMN = 4
        val KIND = Regex("### `(\\w+)/.*")
        val ROW = Regex("^\\| `([A-Za-z.\\[\\]]+)` \\|")
        val json = Json { encodeDefaults = true }
    }
}
