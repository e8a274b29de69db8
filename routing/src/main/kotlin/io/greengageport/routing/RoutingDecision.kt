package io.greengageport.routing

import io.greengageport.common.LayerRange
import io.greengageport.common.RequestId
import io.greengageport.common.RunnerId
import io.greengageport.common.ServiceName
import java.util.Locale

/** The selected chain of stages; a single stage without layers for a plain service. */
public data class RoutingDecision(
    val request: RequestId,
    val attempt: Int,
    val service: ServiceName,
    val planner: String,
    val stages: List<PlannedStage>,
    val candidates: Int
) {
    /** Expected time until the last token, in milliseconds. */
    public val expectedMillis: Double get() = stages.sumOf { it.totalMillis }

    /** Returns the line for the decision log, which the `explain` command prints too. */
    public fun logLine(): String = "routing: request=$request attempt=$attempt service=$service " +
        "planner=$planner expected=${formatMillis(expectedMillis)} candidates=$candidates " +
        "chain=" + stages.joinToString(" -> ") { it.describe() }
}

/** One stage of a decision, with the expected times that led to its selection. */
public data class PlannedStage(
    val runner: Runner,
    val layers: LayerRange?,
    val workTokens: Double,
    val waitMillis: Double,
    val serviceMillis: Double,
    val linkMillis: Double,
    val savedTokens: Double
) {
    public val id: RunnerId get() = runner.id

    /** The sum of wait, service and link time. */
    public val totalMillis: Double get() = waitMillis + serviceMillis + linkMillis

    internal fun describe(): String = "$id${layers ?: ""}(wait=${formatMillis(waitMillis)}" +
        " run=${formatMillis(serviceMillis)} link=${formatMillis(linkMillis)}" +
        (if (savedTokens > 0) " cached=${savedTokens.toLong()}t" else "") + ")"
}

/** The reason why no chain or runner was selected. */
public sealed interface RoutingFailure {
    /** Returns the line for the decision log. */
    public fun logLine(request: RoutingRequest): String

    /** The service has no runner. */
    public data class NoRunners(val service: ServiceName) : RoutingFailure {
        override fun logLine(request: RoutingRequest): String =
            failureLine(request, "the service has no runner")
    }

    /**
     * No eligible runner holds layers [gap]. If [hasExcludedHolders] is true, a runner that is
     * leaving, excluded or busy with a marked request holds some of them, so a later retry may
     * succeed.
     */
    public data class UncoveredLayers(val gap: LayerRange, val hasExcludedHolders: Boolean) :
        RoutingFailure {
        override fun logLine(request: RoutingRequest): String = failureLine(
            request,
            "no live runner for layers $gap" + if (hasExcludedHolders) ", some are excluded" else ""
        )
    }

    /** Every runner of a plain service is leaving, excluded or busy with a marked request. */
    public data class AllExcluded(val service: ServiceName, val runners: Int) : RoutingFailure {
        override fun logLine(request: RoutingRequest): String =
            failureLine(request, "all $runners runners are excluded")
    }

    /** No runner holds [version] of the model. */
    public data class NoVersion(val service: ServiceName, val version: String) : RoutingFailure {
        override fun logLine(request: RoutingRequest): String =
            failureLine(request, "no runner holds version $version")
    }

    private companion object {
        fun failureLine(request: RoutingRequest, reason: String) =
            "routing: request=${request.id} attempt=${request.attempt} " +
                "service=${request.service} failed: $reason"
    }
}

internal fun formatMillis(value: Double): String = String.format(Locale.ROOT, "%.1fms", value)
