package io.greengageport.settings

import io.greengageport.settings.Fixtures.access
import io.greengageport.settings.Fixtures.admin
import io.greengageport.settings.Fixtures.change
import io.greengageport.settings.Fixtures.model
import io.greengageport.settings.Fixtures.organisation
import io.greengageport.settings.Fixtures.packer
import io.greengageport.settings.Fixtures.rank
import java.io.File
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/**
 * Compares a sequence of records in hexadecimal CBOR and their decisions with a golden file.
 *
 * Run with `-Dgreengageport.golden=write` to regenerate the file after an intended change of the
 * rule or the encoding. Such a change needs a migration plan because instances of the old and the
 * new version compute different states.
 */
class GoldenSessionTest {
    private val file = File(System.getProperty("basedir", "."), "src/test/resources/session.txt")

    private fun payloads(): List<ByteArray> = listOf(
        change("c1", "ranks/urgent", 0, rank(0)),
        change("c2", "ranks/lowest", 0, rank(2, floor = 0.95)),
        change("c3", "ranks/lowest", 0, rank(2)),
        change("c4", "services/packing/sheets", 0, model()),
        change("c5", "services/packing/dispatch", 0, plain()),
        change("c6", "organisations/packing/north", 0, organisation("n", listOf("sheets"))),
        change("c7", "services/packing/sheets", 0, model("v2"), packer),
        change("c8", "services/packing/sheets", 4, null),
        Withdraw(ChangeId("c9")),
        change("c9", "services/packing/sheets", 4, model("v2")),
        change("c10", "services/packing/sheets", 4, model("v2")),
        change("c10", "services/packing/sheets", 4, model("v2")),
        Withdraw(ChangeId("c10")),
        change("c11", "access/ops", 0, access(admin, "")),
        change("c12", "access/packing", 0, access(packer, "services/packing")),
        change("c13", "ranks/urgent", 1, rank(1), packer),
        change("c14", "services/packing/dispatch", 5, null, packer),
        change("c15", "services/elsewhere", 0, null, packer),
        change("c16", "teams/packing", 0, rank(1)),
        change("c17", "organisations", 6, null),
        SnapshotPart(20, "00".repeat(32), 0, 2, byteArrayOf(1, 2, 3))
    ).map { RecordCodec.encode(it) } + byteArrayOf(0x7f, 0x00)

    private fun plain() = ServiceSettings(
        plain = PlainSettings(listOf(CallPattern("POST", "/pallets/*/dispatch")))
    )

    private fun session(payloads: List<ByteArray>): String {
        var state = SettingsState.EMPTY
        return payloads.joinToString("\n", postfix = "\n") { p ->
            val applied = state.apply(Fixtures.record(state.lastOffset + 1, p))
            state = applied.state
            "${p.toHex()}\n  ${applied.decision}\n  ${state.version} ${state.hash}"
        }
    }

    /** Guards against unintended changes of the encoding or the rule between program versions. */
    @Test
    fun `records, decisions and hashes match the golden file`() {
        val now = session(payloads())
        if (System.getProperty("greengageport.golden") == "write") file.writeText(now)
        val golden = file.readText()
        expectThat(now).isEqualTo(golden)
        val recorded = golden.lines().filter { it.isNotBlank() && !it.startsWith(" ") }
        expectThat(session(recorded.map(::bytes))).isEqualTo(golden)
    }

    private fun bytes(hex: String) = hex.chunked(2).map { it.toInt(16).toByte() }.toByteArray()
}
