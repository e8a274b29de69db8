package io.greengageport.settings

import com.charleskorn.kaml.YamlList
import com.charleskorn.kaml.YamlMap
import com.charleskorn.kaml.YamlNode
import com.charleskorn.kaml.YamlNull
import com.charleskorn.kaml.YamlScalar
import com.charleskorn.kaml.YamlScalarFormatException
import com.charleskorn.kaml.YamlTaggedNode
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.descriptors.SerialKind
import kotlinx.serialization.descriptors.StructureKind
import kotlinx.serialization.descriptors.elementNames

/**
 * Validates YAML against the serial descriptor of a document and collects all differences. The YAML
 * decoder would stop at the first one.
 *
 * [onField] receives the path of each field within the document and its line.
 */
internal class SchemaChecker(
    private val path: SettingsPath,
    private val onField: (field: String, line: Int) -> Unit
) {
    val problems = mutableListOf<Problem>()

    /** Validates [node] against [d]; [field] is its path within the document. */
    fun check(d: SerialDescriptor, node: YamlNode, field: String) {
        onField(field, node.location.line)
        when {
            node is YamlTaggedNode -> addWrongType(node, field, "a value without a tag")
            node is YamlNull -> if (!d.isNullable) addWrongType(node, field, describe(d))
            d.isInline -> check(d.getElementDescriptor(0), node, field)
            d.kind == StructureKind.CLASS -> checkClass(d, node, field)
            d.kind == StructureKind.LIST -> checkList(d, node, field)
            d.kind == SerialKind.ENUM -> checkEnum(d, node, field)
            else -> checkScalar(d, node, field)
        }
    }

    private fun checkClass(d: SerialDescriptor, node: YamlNode, field: String) {
        if (node !is YamlMap) return addWrongType(node, field, describe(d))
        for ((key, value) in node.entries) {
            val i = d.getElementIndex(key.content)
            if (i >= 0) {
                check(d.getElementDescriptor(i), value, join(field, key.content))
            } else {
                val line = key.location.line
                val allowed = d.elementNames.joinToString()
                add(ProblemKind.UNKNOWN_KEY, join(field, key.content), "it", allowed, line)
            }
        }
        val present = node.entries.keys.map { it.content }.toSet()
        for (i in 0 until d.elementsCount) {
            val name = d.getElementName(i)
            if (d.isElementOptional(i) || name in present) continue
            val allowed = describe(d.getElementDescriptor(i))
            add(ProblemKind.MISSING_KEY, join(field, name), "nothing", allowed, node.location.line)
        }
    }

    private fun checkList(d: SerialDescriptor, node: YamlNode, field: String) {
        if (node !is YamlList) return addWrongType(node, field, describe(d))
        node.items.forEachIndexed { i, item ->
            check(d.getElementDescriptor(0), item, "$field[$i]")
        }
    }

    private fun checkEnum(d: SerialDescriptor, node: YamlNode, field: String) {
        val isKnown = node is YamlScalar && node.content in d.elementNames
        if (!isKnown) addWrongType(node, field, describe(d))
    }

    private fun checkScalar(d: SerialDescriptor, node: YamlNode, field: String) {
        if (node !is YamlScalar) return addWrongType(node, field, describe(d))
        try {
            when (d.kind) {
                PrimitiveKind.INT -> node.toInt()
                PrimitiveKind.LONG -> node.toLong()
                PrimitiveKind.DOUBLE -> node.toDouble()
                PrimitiveKind.BOOLEAN -> node.toBoolean()
                else -> node.content
            }
        } catch (e: YamlScalarFormatException) {
            addWrongType(node, field, describe(d))
        }
    }

    private fun addWrongType(node: YamlNode, field: String, allowed: String) =
        add(ProblemKind.WRONG_TYPE, field, describe(node), allowed, node.location.line)

    private fun add(kind: ProblemKind, field: String, found: String, allowed: String, line: Int) {
        problems += Problem(kind, path, field, found, allowed, line)
    }

    private fun join(field: String, name: String) = if (field.isEmpty()) name else "$field.$name"

    private fun describe(d: SerialDescriptor): String = when {
        d.isInline -> describe(d.getElementDescriptor(0))
        d.kind == StructureKind.CLASS -> "a mapping of ${d.elementNames.joinToString()}"
        d.kind == StructureKind.LIST -> "a list, each item ${describe(d.getElementDescriptor(0))}"
        d.kind == SerialKind.ENUM -> "one of ${d.elementNames.joinToString()}"
        d.kind == PrimitiveKind.INT -> "a whole number of 32 bits"
        d.kind == PrimitiveKind.LONG -> "a whole number of 64 bits"
        d.kind == PrimitiveKind.DOUBLE -> "a number"
        d.kind == PrimitiveKind.BOOLEAN -> "true or false"
        else -> "text"
    }
}

internal fun describe(node: YamlNode): String = when (node) {
    is YamlScalar -> quoted(node.content)
    is YamlNull -> "no value"
    is YamlList -> "a list"
    is YamlMap -> "a mapping"
    is YamlTaggedNode -> "the tag ${node.tag}"
}
