package io.greengageport.bench

import io.greengageport.standins.EngineCounters
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Counters of the engine processes at [atNanos], keyed by engine id and process id. */
internal class EngineSample(
    val atNanos: Long,
    val counters: Map<Pair<String, Long>, EngineCounters>
)

/**
 * How an engine spent a run.
 *
 * It separates idle time from batches that are only partly filled or slower than nominal.
 */
@Serializable
internal data class EngineUsage(
    val id: String,
    val steps: Long,
    val batches: Long,
    /** Share of the time in which a batch ran. */
    @SerialName("busy_share") val busyShare: Double,
    /** Mean share of the slots of a batch that were occupied. */
    val fill: Double,
    /** Mean duration of a batch divided by the nominal duration. */
    @SerialName("step_ratio") val stepRatio: Double
) {
    companion object {
        /** Returns the usage between two samples for those [engines] that ran batches. */
        fun between(
            before: EngineSample,
            after: EngineSample,
            engines: List<EngineSpec>
        ): List<EngineUsage> {
            val nanos = maxOf(1L, after.atNanos - before.atNanos)
            return after.counters.mapNotNull { (process, now) ->
                val spec = engines.firstOrNull { it.id == process.first }
                val old = before.counters[process]
                val batches = now.batches - (old?.batches ?: 0)
                if (spec == null || batches == 0L) return@mapNotNull null
                val steps = now.steps - (old?.steps ?: 0)
                val busyMillis = (now.busyMillis - (old?.busyMillis ?: 0)).toDouble()
                EngineUsage(
                    id = spec.id,
                    steps = steps,
                    batches = batches,
                    busyShare = busyMillis * NANOS_PER_MILLI / nanos,
                    fill = steps.toDouble() / (batches * spec.batch),
                    stepRatio = busyMillis / (batches * maxOf(1L, spec.stepMillis))
                )
            }.sortedBy { it.id }
        }

        private const val NANOS_PER_MILLI = 1e6
    }
}
