package io.greengageport.settings

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class SettingsFileTest {
    private val tree = """
        ranks:
          urgent:
            priority: 0
            firstTokenMillis: 340
            betweenTokensMillis: 57
            deadlineMillis: 10000
            floorShare: 0.5
        services:
          packing:
            sheets:
              model:
                layers: 48
                version: v1
            dispatch:
              plain:
                nonIdempotent:
                  - method: POST
                    path: /pallets/*/dispatch
                deduplication: backend
        organisations:
          packing:
            '7north':
              keyHashes: [${KeyHash.of("k")}]
              services: [sheets]
              sizeClass: large
        access:
          ops:
            keyHashes: [${KeyHash.of("a")}]
            prefixes: ['']
    """.trimIndent()

    /** Guards against documents that change in a round trip through YAML. */
    @Test
    fun `a rendered tree is parsed to the same documents`() {
        val documents = SettingsFile.parse(tree).value
        expectThat(documents.keys.map { it.value }.sorted()).isEqualTo(
            listOf(
                "access/ops",
                "organisations/packing/7north",
                "ranks/urgent",
                "services/packing/dispatch",
                "services/packing/sheets"
            )
        )
        expectThat(SettingsFile.parse(SettingsFile.render(documents)).value).isEqualTo(documents)
        val sheets = SettingsPath("services/packing/sheets")
        val text = SettingsFile.render(documents, sheets)
        expectThat(SettingsFile.parse(text, sheets).value).isEqualTo(
            mapOf(sheets to documents.getValue(sheets))
        )
    }

    /** Guards against a check that stops at the first error or omits its location. */
    @Test
    fun `all errors are reported with line, found value and allowed values`() {
        val text = tree.replace("floorShare: 0.5", "floorShare: 1.5")
            .replace("layers: 48", "layers: many\n        colour: red")
            .replace("deduplication: backend", "deduplication: twice")
            .replace("services: [sheets]", "services: [sheets, none]\n      weight: 0")
            .replace("access:", "acess: {}\naccess:")
            .replace("prefixes: ['']", "prefixes: [ranks]")
        val problems = SettingsFile.parse(text).error
        expectThat(problems.map { listOf(it.line, it.kind, it.path.value, it.field) }).isEqualTo(
            listOf(
                listOf(1, ProblemKind.FLOORS_EXCEED_CAPACITY, "ranks", "floorShare"),
                listOf(7, ProblemKind.OUT_OF_RANGE, "ranks/urgent", "floorShare"),
                listOf(12, ProblemKind.WRONG_TYPE, "services/packing/sheets", "model.layers"),
                listOf(13, ProblemKind.UNKNOWN_KEY, "services/packing/sheets", "model.colour"),
                listOf(
                    20,
                    ProblemKind.WRONG_TYPE,
                    "services/packing/dispatch",
                    "plain.deduplication"
                ),
                listOf(
                    25,
                    ProblemKind.DANGLING_REFERENCE,
                    "organisations/packing/7north",
                    "services"
                ),
                listOf(26, ProblemKind.OUT_OF_RANGE, "organisations/packing/7north", "weight"),
                listOf(28, ProblemKind.UNKNOWN_KEY, "", ""),
                listOf(29, ProblemKind.NO_ADMINISTRATOR, "access", "prefixes")
            )
        )
        expectThat(problems[2].toString()).isEqualTo(
            "line 12: services/packing/sheets model.layers: found 'many', " +
                "allowed: a whole number of 32 bits"
        )
    }

    /** Guards against uncaught exceptions on malformed YAML. */
    @Test
    fun `malformed YAML is a single problem and an empty file is an empty tree`() {
        val texts = listOf("ranks: [", "a: 1\na: 2", "ranks: *x", "\t")
        expectThat(texts.map { t -> SettingsFile.parse(t).error.map { it.kind } })
            .isEqualTo(texts.map { listOf(ProblemKind.MALFORMED_FILE) })
        expectThat(SettingsFile.parse("").value).isEqualTo(emptyMap())
    }
}
