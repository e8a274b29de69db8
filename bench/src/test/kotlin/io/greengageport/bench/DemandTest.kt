package io.greengageport.bench

import io.greengageport.standins.EngineCounters
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards against a share of the bound that includes seconds with less demand than the bound. */
class DemandTest {
    private val surge = Surge(2.0, 6.0, rate = 10.0)
    private val groups = listOf(
        CallerGroup("help", listOf("a"), rank = "urgent", rate = 1.0, tokens = 16),
        CallerGroup("bulk", listOf("a"), rank = "batch", rate = 1.0, surges = listOf(surge)),
        CallerGroup("orders", listOf("a"), rank = "urgent", kind = CallKind.ORDER, rate = 90.0)
    )

    @Test
    fun `demand counts answer tokens of all groups and leaves out the start of a surge`() {
        val demand = Demand(groups, seconds = 8)
        expectThat((0..7).map { demand.tokensPerSecond(it) })
            .isEqualTo(listOf(32.0, 32.0, 176.0, 176.0, 176.0, 176.0, 32.0, 32.0))
        expectThat(demand.secondsAbove(100.0)).isEqualTo(listOf(4, 5))
    }

    /** Guards against a usage that includes the time and work before the run. */
    @Test
    fun `usage of an engine is the difference of two samples`() {
        fun sample(second: Long, steps: Long, batches: Long, busy: Long) = EngineSample(
            second * 1_000_000_000,
            mapOf(("e" to 7L) to EngineCounters(0, steps, 0, 0, 0, 0, 0, "", batches, busy))
        )
        val engine = EngineSpec("e", service = "s", stepMillis = 10, batch = 2)
        val before = sample(1, 5, 5, 100)
        val usage = EngineUsage.between(before, sample(3, 155, 105, 1_100), listOf(engine))
        expectThat(usage).isEqualTo(listOf(EngineUsage("e", 150, 100, 0.5, 0.75, 1.0)))
    }
}
