package io.greengageport.ledger

import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.readText
import kotlin.io.path.writeText
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Compares the log records and results of one simulated session with a golden file. */
class OrderGoldenTest {
    /** Guards against unintended changes of the record format and of the results of calls. */
    @Test
    fun `a session with faults produces the records and results of the golden file`() {
        val simulation = OrderSimulation(seed = 12).run(naive = false)
        val records = simulation.log.records("orders").mapIndexed { i, bytes ->
            val hash = Digest.of(bytes).high.toULong().toString(16)
            "${i + 1} $hash " +
                RecordCodec.decodeOrders(bytes).first.joinToString("; ") { describe(it) }
        }
        val executions = simulation.executions.map { (k, v) -> "${k.key} ran by $v" }.sorted()
        val results = simulation.attemptResults.toSortedMap().map { (id, t) -> "attempt $id $t" }
        val session = (records + executions + results).joinToString("\n", postfix = "\n")
        if (System.getProperty("golden.update") != null) goldenFile.writeText(session)
        expectThat(session).isEqualTo(if (Files.exists(goldenFile)) goldenFile.readText() else "")
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
        val goldenFile: Path = Path.of(
            System.getProperty("greengageport.root"),
            "ledger/src/test/resources/golden/order-session.txt"
        )
    }
}
