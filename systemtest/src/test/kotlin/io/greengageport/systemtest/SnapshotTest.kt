package io.greengageport.systemtest

import io.greengageport.bench.LocalFleet
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEmpty

/** Checks that an instance can start from the log alone, even a truncated one (section 3.1). */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
internal class SnapshotTest {
    private val fleet = TestFleet(
        instances = 1,
        spare = listOf("entry-2"),
        snapshots = mapOf("every_records" to EVERY_RECORDS)
    )
    private val local = fleet.local

    @AfterAll
    fun close(): Unit = fleet.close()

    /** Guards against an instance that starts empty, or fails to start, from a logged snapshot. */
    @Test
    fun `a new instance takes the snapshot of the log when no peer is alive`() {
        repeat(EVERY_RECORDS.toInt() + 1) { publish("entry-1", 20_000 + it) }
        LocalFleet.await("a snapshot") { snapshots("entry-1", WRITTEN).isNotEmpty() }
        // This change is not in the snapshot, so it has to be applied after it.
        publish("entry-1", 30_000)
        val expected = local.readSettingsPage(PATH, "entry-1")
        val through = snapshots("entry-1", WRITTEN).last()
        fleet.fault(
            "platform",
            """"truncate_stream":"settings","truncate_before":${through + 1}"""
        )
        fleet.process("entry-1").kill()
        fleet.startInstance("entry-2")
        LocalFleet.await("entry-2 has ${expected.version}") {
            local.statusOrNull("entry-2")?.settings?.version == expected.version
        }
        expectThat(local.readSettingsPage(PATH, "entry-2")).isEqualTo(expected)
        expectThat(snapshots("entry-2", RESTORED)).isNotEmpty()
        publish("entry-2", 40_000)
    }

    private fun publish(through: String, deadline: Int) {
        val base = local.readSettingsPage(PATH, through).baseVersion
        val yaml = "{priority: 2, firstTokenMillis: 9000, betweenTokensMillis: 250, " +
            "deadlineMillis: $deadline, floorShare: 0.05, weight: 1}"
        expectThat(local.publish(PATH, yaml, base, through).statusCode()).isEqualTo(200)
        LocalFleet.await("$deadline is in force") {
            "deadlineMillis: $deadline" in local.readSettingsPage(PATH, through).yaml
        }
    }

    /** Returns the offsets of the snapshots in the log lines of [name] that match [line]. */
    private fun snapshots(name: String, line: Regex): List<Long> =
        fleet.process(name).output.mapNotNull { line.find(it) }.map { it.groupValues[1].toLong() }

    private companion object {
        const val PATH = "ranks/batch"
        const val EVERY_RECORDS = 4L
        val WRITTEN = Regex("wrote a snapshot as of (\\d+)")
        val RESTORED = Regex("took the snapshot as of offset (\\d+)")
    }
}
