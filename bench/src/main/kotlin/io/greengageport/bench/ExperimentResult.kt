package io.greengageport.bench

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Cores and load of the machine during a run; load averages are over one minute. */
@Serializable
internal data class Machine(
    val cores: Int,
    @SerialName("load_before") val loadBefore: Double,
    @SerialName("load_after") val loadAfter: Double,
    /** Mean utilisation of all cores, 0 to 1. */
    @SerialName("cpu_share") val cpuShare: Double = 0.0
)

/** Results of one experiment. */
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

/** An event with its scheduled time, for reports and plots. */
@Serializable
internal data class EventMark(@SerialName("at_s") val atSeconds: Double, val what: String)

/** Results of one policy variant. */
@Serializable
internal data class VariantResult(
    val name: String,
    val policies: Map<String, String>,
    val machine: Machine,
    val rows: List<ClassRow>,
    /** Mean throughput bound of the fleet during the run, as an entry instance reports it. */
    @SerialName("bound_tokens_per_second") val boundTokensPerSecond: Double,
    /** Throughput of answered requests; tokens that arrive after the run do not count. */
    @SerialName("tokens_per_second") val tokensPerSecond: Double,
    /** Tokens computed by the engines that run the last layers. */
    @SerialName("tokens_computed") val tokensComputed: Long,
    @SerialName("tokens_received") val tokensReceived: Long,
    /** Number of failed attempts by error code and reported execution. */
    val failures: Map<String, Int>,
    /** Number of attempts by fault of their text. */
    val faults: Map<String, Int>,
    val orders: OrderCheck,
    val recoveries: List<RecoveryTime>,
    val seconds: List<SecondRow>,
    /** Null if the demand never exceeded the bound. */
    val overloaded: OverloadedThroughput? = null,
    val engines: List<EngineUsage> = emptyList(),
    /** Number of engine processes that ended without a kill or terminate event. */
    @SerialName("engines_lost") val enginesLost: Int = 0,
    /** Failed events and internal errors that the instances logged. */
    val problems: List<String> = emptyList()
) {
    /** Throughput as a share of the bound; 0 if the bound is not known. */
    val boundShare: Double
        get() = if (boundTokensPerSecond > 0) tokensPerSecond / boundTokensPerSecond else 0.0

    /** Throughput as a share of the bound in the seconds in which demand exceeded the bound. */
    val overloadedShare: Double?
        get() = overloaded?.let { it.tokensPerSecond / boundTokensPerSecond }

    /** Tokens that were computed but received by no caller. */
    val tokensWasted: Long get() = maxOf(0, tokensComputed - tokensReceived)
}

/** Compares orders with their effects at the service; a correct run has 0 for the last two. */
@Serializable
internal data class OrderCheck(
    val orders: Int = 0,
    val effects: Int = 0,
    @SerialName("ran_twice") val ranTwice: Int = 0,
    /** Orders with an effect although every attempt reported "not_run" to the caller. */
    @SerialName("wrongly_not_run") val wronglyNotRun: Int = 0
) {
    companion object {
        /** Compares the orders in [results] with the idempotency keys of the [effects]. */
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
