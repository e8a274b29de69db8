package io.greengageport.routing

import io.greengageport.common.RunnerId

/** Thresholds of outlier ejection; times are in milliseconds. */
public data class OutlierRules(
    val consecutiveErrors: Int = 3,
    val latencyFactor: Double = 4.0,
    val latencyWeight: Double = 0.2,
    val minSamples: Int = 5,
    val minPeers: Int = 2,
    val maxEjectedShare: Double = 0.3,
    val ejectionMillis: Long = 5_000,
    val maxEjectionMillis: Long = 300_000,
    val forgetMillis: Long = 600_000,
    val probesToReturn: Int = 3
) {
    init {
        require(consecutiveErrors > 0) { "some errors are needed: $consecutiveErrors" }
        require(latencyFactor > 1) { "a runner at the median is healthy: $latencyFactor" }
        require(maxEjectedShare in 0.0..1.0) { "a share is in 0..1: $maxEjectedShare" }
        require(ejectionMillis > 0) { "an ejection takes some time: $ejectionMillis ms" }
        require(probesToReturn > 0) { "some probes are needed: $probesToReturn" }
    }
}

/** Why a runner is ejected; a higher [severity] is ejected first while the cap allows it. */
public sealed interface EjectionReason {
    public val severity: Double

    /** Open work and nothing sent. */
    public data object Silent : EjectionReason {
        override val severity: Double get() = Double.MAX_VALUE
    }

    /** A probe of an ejected runner failed. */
    public data object ProbeFailed : EjectionReason {
        override val severity: Double get() = Double.MAX_VALUE
    }

    /** Errors without a success in between. */
    public data class Errors(val consecutive: Int) : EjectionReason {
        override val severity: Double get() = ERRORS_SEVERITY + consecutive
    }

    /** Latency per layer as a multiple of the peers' median. */
    public data class Slow(val ratio: Double) : EjectionReason {
        override val severity: Double get() = minOf(ratio, ERRORS_SEVERITY)
    }

    private companion object {
        const val ERRORS_SEVERITY = 1e9
    }
}

/** A change of a runner's standing. */
public sealed interface OutlierEvent {
    public val runner: RunnerId

    /** The line of the decision log. */
    public fun logLine(): String

    /** The runner gets no work for [durationMillis], and then probes. */
    public data class Ejected(
        override val runner: RunnerId,
        val reason: EjectionReason,
        val durationMillis: Long
    ) : OutlierEvent {
        override fun logLine(): String =
            "routing: ejected runner=$runner for=${durationMillis}ms reason=$reason"
    }

    /** The runner breaks a rule, but the cap on ejections or its layers' last holder count more. */
    public data class Spared(override val runner: RunnerId, val reason: EjectionReason) :
        OutlierEvent {
        override fun logLine(): String = "routing: spared runner=$runner reason=$reason"
    }

    /** The ejection time is over; probes decide. */
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
 * Limits ejections per stage. In each segment of layers at most the given share of holders, or one
 * where that is less than one, may be ejected, and one that takes new work always remains.
 */
internal class EjectionCap(
    fleet: ServiceFleet,
    private val rules: OutlierRules,
    state: (RunnerId) -> RunnerState
) {
    private val stages: List<List<Runner>> = if (fleet.isPlain) {
        listOf(fleet.runners)
    } else {
        fleet.holders.map { holders -> holders.map { fleet.runners[it] } }
    }
    private val ejected = fleet.runners.map { it.id }
        .filterTo(HashSet()) { state(it) != RunnerState.HEALTHY }

    /** Whether the cap allows the ejection of [runner]; if so, it is counted as ejected. */
    fun mayEject(runner: Runner): Boolean {
        val allowed = stages.filter { runner in it }.all { stage ->
            val out = stage.count { it.id in ejected }
            val limit = maxOf(1, (stage.size * rules.maxEjectedShare).toInt())
            out < limit && stage.any { it.id != runner.id && it.id !in ejected && !it.leaving }
        }
        if (allowed) ejected += runner.id
        return allowed
    }
}
