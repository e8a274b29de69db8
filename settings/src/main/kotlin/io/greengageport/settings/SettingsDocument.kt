package io.greengageport.settings

import io.greengageport.common.RankName
import io.greengageport.common.ServiceName
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * A typed, immutable document of the settings tree.
 *
 * A document may contain values out of range. The validation of the tree reports all of them.
 */
@Serializable
public sealed interface SettingsDocument {
    /** The part of the tree in which the document must be placed. */
    public val kind: SettingsKind
}

/**
 * A request rank.
 *
 * [priority] 0 is the most urgent. [firstTokenMillis] and [betweenTokensMillis] are targets for the
 * 95th percentile of requests and token gaps. [deadlineMillis] applies to requests without a
 * deadline. [floorShare] is the share of capacity (0 to 1) reserved for the rank under overload.
 * [weight] has no effect because the priority and the floor determine the order of ranks.
 * [retryReserveShare] is the share (0 to 1) of the retry budget reserved for this rank.
 */
@Serializable
@SerialName("rank")
public data class RankSettings(
    val priority: Int,
    val firstTokenMillis: Int,
    val betweenTokensMillis: Int,
    val deadlineMillis: Int,
    val floorShare: Double = 0.0,
    val weight: Double = 1.0,
    val retryReserveShare: Double = 0.0
) : SettingsDocument {
    override val kind: SettingsKind get() = SettingsKind.RANKS
}

/**
 * An organisation that calls services.
 *
 * [tokensPerSecond] and [concurrentRequests] are unlimited if null; null [services] or [ranks]
 * allow all of them. [weight] is the share relative to other organisations under overload.
 */
@Serializable
@SerialName("organisation")
public data class OrganisationSettings(
    val keyHashes: List<KeyHash>,
    val weight: Double = 1.0,
    val tokensPerSecond: Long? = null,
    val concurrentRequests: Int? = null,
    val services: List<ServiceName>? = null,
    val ranks: List<RankName>? = null,
    val sizeClass: SizeClass = SizeClass.SMALL
) : SettingsDocument {
    override val kind: SettingsKind get() = SettingsKind.ORGANISATIONS

    /** Whether the organisation may call [service]. */
    public fun allows(service: ServiceName): Boolean = services == null || service in services

    /** Whether the organisation may use [rank]. */
    public fun allows(rank: RankName): Boolean = ranks == null || rank in ranks
}

/** Groups organisations in metrics, to limit the number of time series. */
@Serializable
public enum class SizeClass {
    @SerialName("small")
    SMALL,

    @SerialName("large")
    LARGE
}

/** Grants holders of any of the keys write access to the paths at or below [prefixes]. */
@Serializable
@SerialName("access")
public data class AccessSettings(val keyHashes: List<KeyHash>, val prefixes: List<SettingsPath>) :
    SettingsDocument {
    override val kind: SettingsKind get() = SettingsKind.ACCESS
}
