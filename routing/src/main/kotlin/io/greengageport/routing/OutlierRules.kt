package io.greengageport.routing

import io.greengageport.common.RunnerId

/**
 * Thresholds of outlier ejection; times are in milliseconds.
 *
 * @property consecutiveErrors errors without a success in between after which a runner is ejected
 * @property latencyFactor multiple of the median latency of the peers above which it is ejected
 * @property latencyWeight weight of a new latency in the moving average
 * @property minSamples latencies needed before a runner is compared with its peers
 * @property minPeers peers needed for the comparison
 * @property maxEjectedShare maximum share of the holders of a segment that can be ejected
 * @property ejectionMillis duration of the first ejection; it doubles with each further one
 * @property maxEjectionMillis maximum duration of an ejection
 * @property ejectionResetMillis healthy time after which [ejectionMillis] applies again
 * @property probesToReturn successful probes needed to return from probation
 */
public data class OutlierRules(
    val consecutiveErrors: Int = 3,
    val latencyFactor: Double = 4.0,
    val latencyWeight: Double = 0.2,
    val minSamples: Int = 5,
    val minPeers: Int = 2,
    val maxEjectedShare: Double = 0.3,
    val ejectionMillis: Long = 5_000,
    val maxEjectionMillis: Long = 300_000,
    val ejectionResetMillis: Long = 600_000,
    val probesToReturn: Int = 3
) {
    init {
        require(consecutiveErrors > 0) { "consecutiveErrors must be > 0: $consecutiveErrors" }
        require(latencyFactor > 1) { "latencyFactor must exceed 1, but is $latencyFactor" }
        require(maxEjectedShare in 0.0..1.0) { "the share must be in 0..1: $maxEjectedShare" }
        require(ejectionMillis > 0) { "ejectionMillis must be positive, but is $ejectionMillis" }
        require(probesToReturn > 0) { "probesToReturn must be positive, but is $probesToReturn" }
    }
}

/** The reason for an ejection; while the cap allows, higher [severity] is ejected first. */
public sealed interface EjectionReason {
    public val severity: Double

    /** The runner has requests in flight but sent nothing within its timeout. */
    public data object Silent : EjectionReason {
        override val severity: Double get() = Double.MAX_VALUE
    }

    /** A probe of an ejected runner failed. */
    public data object ProbeFailed : EjectionReason {
        override val severity: Double get() = Double.MAX_VALUE
    }

    /** Consecutive errors without a success in between. */
    public data class Errors(val consecutive: Int) : EjectionReason {
        override val severity: Double get() = ERRORS_SEVERITY + consecutive
    }

    /** Too high a latency per layer; [ratio] is the multiple of the median of the peers. */
    public data class Slow(val ratio: Double) : EjectionReason {
        override val severity: Double get() = minOf(ratio, ERRORS_SEVERITY)
    }

    private companion object {
        const val ERRORS_SEVERITY = 1e9
    }
}

/** A change of the ejection state of a runner. */
public sealed interface OutlierEvent {
    public val runner: RunnerId

    /** The line of the decision log. */
    public fun logLine(): String

    /** The runner gets no work for [durationMillis], and is probed after that. */
    public data class Ejected(
        override val runner: RunnerId,
        val reason: EjectionReason,
        val durationMillis: Long
    ) : OutlierEvent {
        override fun logLine(): String =
            "routing: ejected runner=$runner for=${durationMillis}ms reason=$reason"
    }

    /**
     * The runner breaks a rule, but is not ejected, because the cap is reached or because it is the
     * last holder of a layer.
     */
    public data class Spared(override val runner: RunnerId, val reason: EjectionReason) :
        OutlierEvent {
        override fun logLine(): String = "routing: spared runner=$runner reason=$reason"
    }

    /** The ejection time is over; probes decide whether the runner returns. */
    public data class ProbationStarted(override val runner: RunnerId) : OutlierEvent {
        override fun logLine(): String = "routing: probing runner=$runner"
    }

    /** The runner gets work again. */
    public data class Returned(override val runner: RunnerId) : OutlierEvent {
        override fun logLine(): String = "routing: returned runner=$runner"
    }
}

internal enum class RunnerState { HEALTHY, EJECTED, PROBATION }

/**
 * Limits ejections per segment of layers. At most [OutlierRules.maxEjectedShare] of the holders of
 * a segment can be ejected, or one if the share is less than one holder. At least one holder that
 * accepts new work always remains.
 */
internal class EjectionCap(
    fleet: ServiceFleet,
    private val rules: OutlierRules,
    state: (RunnerId) -> RunnerState
) {
    private val holdersPerSegment: List<List<Runner>> = if (fleet.isPlain) {
        listOf(fleet.runners)
    } else {
        fleet.holders.map { holders -> holders.map { fleet.runners[it] } }
    }
    private val ejected = fleet.runners.map { it.id }
        .filterTo(HashSet()) { state(it) != RunnerState.HEALTHY }

    /** Returns whether the cap allows the ejection of [runner], and counts it as ejected if so. */
    fun tryEject(runner: Runner): Boolean {
        val isAllowed = holdersPerSegment.filter { runner in it }.all { holders ->
            val ejectedHolders = holders.count { it.id in ejected }
            val limit = maxOf(1, (holders.size * rules.maxEjectedShare).toInt())
            ejectedHolders < limit &&
                holders.any { it.id != runner.id && it.id !in ejected && !it.isLeaving }
        }
        if (isAllowed) ejected += runner.id
        return isAllowed
    }
}
