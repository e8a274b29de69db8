package io.greengageport.settings

import io.greengageport.common.RankName
import io.greengageport.common.ServiceName
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * A typed, immutable document of the settings tree.
 *
 * A document may hold values out of range; the checks of a tree report them all at once.
 */
@Serializable
public sealed interface SettingsDocument {
    /** Where in the tree such a document may lie. */
    public val kind: SettingsKind
}

/**
 * A request rank.
 *
 * [priority] 0 is the most urgent. [firstTokenMillis] and [betweenTokensMillis] are targets for 95
 * in 100 requests and gaps. [floorShare] is the share of capacity (0 to 1) that the rank keeps
 * under overload; [deadlineMillis] applies to requests that name none; [weight] has no effect,
 * since the priority and the floor already decide between ranks. [retryReserveShare] is the share
 * (0 to 1) of the retry budget that only this rank may use.
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
 * Without [tokensPerSecond] or [concurrentRequests] there is no such limit; without [services] or
 * [ranks] all are allowed. [weight] is its share relative to others under overload.
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

/** Class of an organisation in metrics, which keeps the number of series bounded. */
@Serializable
public enum class SizeClass {
    @SerialName("small")
    SMALL,

    @SerialName("large")
    LARGE
}

/** The paths that holders of any of the keys may write, with all that lies below them. */
@Serializable
@SerialName("access")
public data class AccessSettings(val keyHashes: List<KeyHash>, val prefixes: List<SettingsPath>) :
    SettingsDocument {
    override val kind: SettingsKind get() = SettingsKind.ACCESS
}
