package io.greengageport.routing

import io.greengageport.common.DataCentre
import io.greengageport.common.LayerRange
import io.greengageport.common.RunnerId
import io.greengageport.common.ServiceName

/** What a runner does for a service. */
public enum class RunnerRole {
    /** It takes part in chains. */
    SERVING,

    /** It holds its weights but takes no requests. */
    STANDBY
}

/** What a runner holds or shall hold. */
public data class Assignment(
    val service: ServiceName,
    val layers: LayerRange,
    val version: String = "",
    val role: RunnerRole = RunnerRole.SERVING,
    val adapters: Set<String> = emptySet()
)

/**
 * The wanted state of a model: [tokensPerSecond] of demand to serve, [version] and [adapters] to
 * hold, and the size of one layer's weights in bytes.
 *
 * Each layer of [version] shall have [minCopies] to [maxCopies] runners; each of [furtherVersions]
 * one whole chain besides.
 */
public data class ModelDemand(
    val service: ServiceName,
    val layers: Int,
    val tokensPerSecond: Double,
    val bytesPerLayer: Long,
    val version: String = "",
    val adapters: Set<String> = emptySet(),
    val minCopies: Int = 1,
    val maxCopies: Int = Int.MAX_VALUE,
    val furtherVersions: List<String> = emptyList()
) {
    init {
        require(minCopies in 1..maxCopies) { "copies are from 1 up: $minCopies..$maxCopies" }
        require(version !in furtherVersions) { "$version is the default and a further version" }
        require(layers > 0) { "a model has at least one layer, not $layers" }
        require(bytesPerLayer > 0) { "a layer has a size: $bytesPerLayer B" }
        require(tokensPerSecond >= 0) { "demand is not negative: $tokensPerSecond" }
    }
}

/**
 * A runner that placement may give an assignment.
 *
 * [layerTokensPerSecond] is the rate of its accelerators in layers times tokens per second.
 * [pending] is an order that was sent and isn't yet reported as done; [assignedAtMillis] (monotonic
 * clock) is the time of the last change.
 */
public data class PlaceableRunner(
    val id: RunnerId,
    val dataCentre: DataCentre,
    val accelerator: String,
    val memoryBytes: Long,
    val layerTokensPerSecond: Double,
    val current: Assignment? = null,
    val pending: Assignment? = null,
    val assignedAtMillis: Long? = null
) {
    internal val settled: Assignment? get() = pending ?: current

    internal fun tokensPerSecond(layers: LayerRange): Double = layerTokensPerSecond / layers.size
}

/** Limits of placement. */
public data class PlacementRules(
    val maxConcurrentMoves: Int = 4,
    val weightBytesPerSecond: Long = 2_000_000_000,
    val maxLoadMillis: Long = 120_000,
    val headroom: Double = 1.2,
    val hysteresis: Double = 0.2,
    val minGain: Double = 0.01,
    val minResidenceMillis: Long = 600_000
) {
    init {
        require(maxConcurrentMoves > 0) { "no move would be allowed: $maxConcurrentMoves" }
        require(weightBytesPerSecond > 0) { "the store has a rate: $weightBytesPerSecond B/s" }
        require(headroom >= 1) { "headroom covers at least the demand: $headroom" }
        require(hysteresis >= 0) { "hysteresis is not negative: $hysteresis" }
    }
}

/** Why an order is given. */
public sealed interface PlacementReason {
    /** No runner holds [layers] of the model. */
    public data class UncoveredLayers(val layers: LayerRange) : PlacementReason

    /** Only runners of [dataCentre] hold [layers]. */
    public data class OneDataCentre(val layers: LayerRange, val dataCentre: DataCentre) :
        PlacementReason

    /** The supply of [layers] is below demand with headroom; [gain] is the shortfall removed. */
    public data class Shortfall(val layers: LayerRange, val gain: Double) : PlacementReason

    /** The default version of [layers] has fewer than [minCopies] runners. */
    public data class TooFewCopies(val layers: LayerRange, val minCopies: Int) : PlacementReason

    /** The default version of the runner's layers has more than [maxCopies] runners. */
    public data class TooManyCopies(val maxCopies: Int) : PlacementReason

    /** The further [version] of the model lacks a whole chain. */
    public data class MissingVersion(val version: String) : PlacementReason

    /** The runner holds another version than the wanted one. */
    public data class WrongVersion(val held: String) : PlacementReason

    /** The runner lacks adapters or holds ones that are not wanted. */
    public data class WrongAdapters(val held: Set<String>) : PlacementReason

    /** The order was sent before and is not yet reported as done. */
    public data object Pending : PlacementReason
}

/** A declarative order: [runner] shall hold [desired], whatever it holds now. */
public data class EngineOrder(
    val runner: RunnerId,
    val desired: Assignment,
    val reason: PlacementReason,
    val loadBytes: Long
) {
    /** The line of the decision log. */
    public fun logLine(): String = "placement: runner=$runner service=${desired.service} " +
        "layers=${desired.layers} version=${desired.version} role=${desired.role} " +
        "load=${loadBytes}B reason=$reason"
}

/** Work that placement would do but may not or cannot do at present. */
public sealed interface PlacementObstacle {
    /** No runner can take the layers of the service without harm elsewhere. */
    public data class NoCapacity(val service: ServiceName, val layers: LayerRange) :
        PlacementObstacle

    /** As many moves are under way as are allowed. */
    public data class MovesExhausted(val underWay: Int) : PlacementObstacle

    /** The weight store is busy with [pendingBytes]. */
    public data class WeightStoreBusy(val pendingBytes: Long) : PlacementObstacle

    /** [runner] keeps its old version, as layers would be left without a holder of a version. */
    public data class LastHolder(val runner: RunnerId) : PlacementObstacle
}

/** The desired assignment of all runners, the orders towards it, and what stands in the way. */
public data class PlacementPlan(
    val desired: Map<RunnerId, Assignment>,
    val orders: List<EngineOrder>,
    val obstacles: List<PlacementObstacle>
)
