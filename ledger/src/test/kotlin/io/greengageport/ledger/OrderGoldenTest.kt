package io.greengageport.ledger

import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.readText
import kotlin.io.path.writeText
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Compares one whole simulated session, records and answers, with a golden file. */
class OrderGoldenTest {
    /** Guards against unintended changes of the record format and of the decisions. */
    @Test
    fun `a session with faults leaves the recorded log and answers`() {
        val s = OrderSimulation(seed = 12).run(naive = false)
        val records = s.log.records("orders").mapIndexed { i, bytes ->
            val hash = Digest.of(bytes).high.toULong().toString(16)
            "${i + 1} $hash " + RecordCodec.orders(bytes).first.joinToString("; ") { describe(it) }
        }
        val ran = s.effects.map { (k, v) -> "${k.key} ran by $v" }.sorted()
        val told = s.told.toSortedMap().map { (id, t) -> "attempt $id $t" }
        val session = (records + ran + told).joinToString("\n", postfix = "\n")
        if (System.getProperty("golden.update") != null) file.writeText(session)
        expectThat(session).isEqualTo(if (Files.exists(file)) file.readText() else "")
    }

    private fun describe(r: OrderRecord): String {
        val id = r.claimId.toULong().toString(16)
        return when (r) {
            is OrderRecord.Claim -> "claim ${r.key.key} $id by ${r.claimant}"
            is OrderRecord.Takeover -> "takeover ${r.key.key} $id by ${r.claimant}"
            is OrderRecord.Outcome -> "outcome ${r.key.key} $id ${r.outcome.body.decodeToString()}"
            is OrderRecord.Released -> "released ${r.key.key} $id"
        }
    }

    private companion object {
        val file: Path = Path.of(
            System.getProperty("greengageport.root"),
            "ledger/src/test/resources/golden/order-session.txt"
        )
    }
}
