package io.greengageport.routing

import io.greengageport.common.DataCentre
import io.greengageport.common.LayerRange
import io.greengageport.common.RunnerId
import io.greengageport.common.ServiceName

/** The role of a runner in a service. */
public enum class RunnerRole {
    /** The runner is used in chains. */
    SERVING,

    /** The runner keeps its weights loaded but gets no requests. */
    STANDBY
}

/** The layers, version and adapters that a runner holds or is to hold, and its role. */
public data class Assignment(
    val service: ServiceName,
    val layers: LayerRange,
    val version: String = "",
    val role: RunnerRole = RunnerRole.SERVING,
    val adapters: Set<String> = emptySet()
)

/**
 * The target state of a model: [tokensPerSecond] of demand to serve, the default [version] and the
 * [adapters] to hold, and the size of the weights of one layer in bytes.
 *
 * Each layer of [version] should be held by [minCopies] to [maxCopies] runners. In addition, each
 * of [furtherVersions] should have one complete chain.
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
        require(minCopies in 1..maxCopies) { "invalid number of copies: $minCopies..$maxCopies" }
        require(version !in furtherVersions) { "$version is both default and further version" }
        require(layers > 0) { "the number of layers must be positive, but is $layers" }
        require(bytesPerLayer > 0) { "the layer size must be positive, but is $bytesPerLayer B" }
        require(tokensPerSecond >= 0) { "demand must not be negative: $tokensPerSecond" }
    }
}

/**
 * A runner to which placement can assign layers.
 *
 * [layerTokensPerSecond] is the rate of its accelerators in layers times tokens per second.
 * [pending] is an assignment that was ordered but not yet reported as done; [assignedAtMillis] is
 * the time of the last change, by the monotonic clock.
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

/**
 * Limits of placement.
 *
 * @property maxConcurrentMoves maximum number of orders under way at a time
 * @property weightBytesPerSecond rate of the weight store
 * @property maxLoadMillis maximum time in which the weight store must be able to serve all loads
 * @property headroom factor by which the target supply exceeds demand
 * @property hysteresis share by which the gain of a move must exceed its loss
 * @property minGain minimum of gain minus loss of a move, as a share of the target supply
 * @property minResidenceMillis minimum time between two moves of a runner for supply
 */
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
        require(maxConcurrentMoves > 0) { "the move limit must be positive: $maxConcurrentMoves" }
        require(weightBytesPerSecond > 0) {
            "the rate of the weight store must be positive, but is $weightBytesPerSecond B/s"
        }
        require(headroom >= 1) { "headroom must be at least 1, but is $headroom" }
        require(hysteresis >= 0) { "hysteresis must not be negative, but is $hysteresis" }
    }
}

/** The reason for an [EngineOrder]. */
public sealed interface PlacementReason {
    /** No runner holds [layers] of the model. */
    public data class UncoveredLayers(val layers: LayerRange) : PlacementReason

    /** Only runners of [dataCentre] hold [layers]. */
    public data class OneDataCentre(val layers: LayerRange, val dataCentre: DataCentre) :
        PlacementReason

    /** The supply of [layers] is below demand with headroom; [gain] is the shortfall removed. */
    public data class Shortfall(val layers: LayerRange, val gain: Double) : PlacementReason

    /** Fewer than [minCopies] runners hold [layers] of the default version. */
    public data class TooFewCopies(val layers: LayerRange, val minCopies: Int) : PlacementReason

    /** More than [maxCopies] runners hold the layers of the runner in the default version. */
    public data class TooManyCopies(val maxCopies: Int) : PlacementReason

    /** The further [version] of the model has no complete chain. */
    public data class MissingVersion(val version: String) : PlacementReason

    /** The runner holds a version other than the default one. */
    public data class WrongVersion(val held: String) : PlacementReason

    /** The runner lacks adapters or holds additional ones. */
    public data class WrongAdapters(val held: Set<String>) : PlacementReason

    /** The order was sent earlier and is not yet reported as done. */
    public data object Pending : PlacementReason
}

/**
 * A declarative order: [runner] is to hold [desired], regardless of what it holds now. To do so, it
 * loads [loadBytes] from the weight store.
 */
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

/** A change that placement cannot make at present, with the limit that prevents it. */
public sealed interface PlacementObstacle {
    /** No runner can take [layers] of [service] without breaking a rule for other layers. */
    public data class NoCapacity(val service: ServiceName, val layers: LayerRange) :
        PlacementObstacle

    /** The maximum number of concurrent moves is reached. */
    public data class MovesExhausted(val underWay: Int) : PlacementObstacle

    /** The weight store is busy with loads of [pendingBytes]. */
    public data class WeightStoreBusy(val pendingBytes: Long) : PlacementObstacle

    /** [runner] keeps its old version, as no version would otherwise remain complete. */
    public data class LastHolder(val runner: RunnerId) : PlacementObstacle
}

/** The desired assignment of all runners, the orders that lead to it, and the obstacles. */
public data class PlacementPlan(
    val desired: Map<RunnerId, Assignment>,
    val orders: List<EngineOrder>,
    val obstacles: List<PlacementObstacle>
)
