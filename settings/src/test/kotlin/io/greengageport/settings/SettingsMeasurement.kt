package io.greengageport.settings

import io.greengageport.settings.Fixtures.change
import io.greengageport.settings.Fixtures.organisation
import io.greengageport.settings.Fixtures.record
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.condition.EnabledIfSystemProperty

/**
 * Prints times and sizes; run with `-Dtest=SettingsMeasurement -Dgreengageport.measure=true`.
 *
 * The results depend on the machine and are not asserted.
 */
@EnabledIfSystemProperty(named = "greengageport.measure", matches = "true")
class SettingsMeasurement {
    @Test
    fun `time of one change, snapshot size and time, and memory`() {
        for (count in listOf(150, 1_500, 15_000, 15_000)) {
            val before = usedBytes()
            val state = Fixtures.stateWith(count)
            val heap = usedBytes() - before
            val apply = micros(5_000) { changeOne(state, it % count) }
            val used = SettingsPath.service("models", "model-1")
            val base = state.pathVersion(used)
            val removal = change("x", used.value, base, known = state.lastOffset)
            check(state.rejectionOf(removal) is Rejection.Invalid)
            val rejection = micros(20) { state.rejectionOf(removal) }
            val bytes = Snapshot.encode(state)
            val encode = micros(10) { Snapshot.split(state) }
            val decode = micros(10) { Snapshot.decode(bytes) }
            println(
                "organisations=$count apply=${apply}us refusal-of-removal=${rejection}us " +
                    "snapshot=${bytes.size / 1024}KiB parts=${Snapshot.split(state).size} " +
                    "split=${encode / 1000}ms decode=${decode / 1000}ms heap=${heap / 1024}KiB"
            )
        }
    }

    private fun changeOne(state: SettingsState, i: Int) {
        val path = SettingsPath.organisation("team-${i % 50}", "organisation-$i")
        val base = state.pathVersion(path)
        val value = organisation("new-$i", listOf("model-1"), listOf("middle"))
        val c = change("m$i", path.value, base, value, known = state.lastOffset)
        check(state.apply(record(state.lastOffset + 1, c)).decision is Decision.Accepted)
    }

    private fun micros(times: Int, block: (Int) -> Unit): Long {
        repeat(times) { block(it) }
        val start = System.nanoTime()
        repeat(times) { block(it) }
        return (System.nanoTime() - start) / times / 1_000
    }

    private fun usedBytes(): Long {
        repeat(4) { System.gc() }
        return Runtime.getRuntime().let { it.totalMemory() - it.freeMemory() }
    }
}
