package io.greengageport.bench

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The machine of a run; the load average is that of the last minute. */
@Serializable
internal data class Machine(
    val cores: Int,
    @SerialName("load_before") val loadBefore: Double,
    @SerialName("load_after") val loadAfter: Double,
    /** Mean share of all cores that was in use, 0 to 1. */
    @SerialName("cpu_share") val cpuShare: Double = 0.0
)

/** All figures of one experiment. */
@Serializable
internal data class ExperimentResult(
    val name: String,
    val title: String,
    val seed: Long,
    @SerialName("duration_s") val durationSeconds: Int,
    @SerialName("started_at") val startedAt: String,
    val events: List<EventMark>,
    val variants: List<VariantResult>
)

/** An event with the time at which it was due, for plots. */
@Serializable
internal data class EventMark(@SerialName("at_s") val atSeconds: Double, val what: String)

/** Figures of one policy variant. */
@Serializable
internal data class VariantResult(
    val name: String,
    val policies: Map<String, String>,
    val machine: Machine,
    val rows: List<ClassRow>,
    /** Mean over the run of the fleet's bound as the instances report it. */
    @SerialName("bound_tokens_per_second") val boundTokensPerSecond: Double,
    @SerialName("tokens_per_second") val tokensPerSecond: Double,
    /** Tokens that left a last stage. */
    @SerialName("tokens_computed") val tokensComputed: Long,
    @SerialName("tokens_received") val tokensReceived: Long,
    val failures: Map<String, Int>,
    val faults: Map<String, Int>,
    val orders: OrderCheck,
    val recoveries: List<RecoveryTime>,
    val seconds: List<SecondRow>,
    /** Absent if the callers never asked for more than the bound. */
    val overloaded: OverloadedPart? = null,
    val engines: List<EngineUse> = emptyList(),
    @SerialName("engines_lost") val enginesLost: Int = 0,
    val problems: List<String> = emptyList()
) {
    val boundShare: Double
        get() = if (boundTokensPerSecond > 0) tokensPerSecond / boundTokensPerSecond else 0.0

    /** Share of the bound in the seconds in which more than the bound was asked for. */
    val overloadedShare: Double?
        get() = overloaded?.let { it.tokensPerSecond / boundTokensPerSecond }

    val tokensWasted: Long get() = maxOf(0, tokensComputed - tokensReceived)
}

/** Orders against their effects at the service; the last two counts are 0 if all is right. */
@Serializable
internal data class OrderCheck(
    val orders: Int = 0,
    val effects: Int = 0,
    @SerialName("ran_twice") val ranTwice: Int = 0,
    /** Orders whose caller was told "not run" at each try, but that had an effect. */
    @SerialName("wrongly_not_run") val wronglyNotRun: Int = 0
) {
    companion object {
        /** Compares [results] with the idempotency keys of the [effects]. */
        fun of(results: List<CallResult>, effects: List<String>): OrderCheck {
            val orders = results.filter { it.idempotencyKey.isNotEmpty() }
            val counts = effects.groupingBy { it }.eachCount()
            return OrderCheck(
                orders = orders.size,
                effects = effects.size,
                ranTwice = counts.count { it.value > 1 },
                wronglyNotRun = orders.count { o ->
                    o.attempts.all { it.execution == "not_run" } && o.idempotencyKey in counts
                }
            )
        }
    }
}
