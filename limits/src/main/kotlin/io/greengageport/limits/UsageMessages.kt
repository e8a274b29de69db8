package io.greengageport.limits

import io.greengageport.common.OrganisationName
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * The messages of usage sharing between instances. Field names are short because every instance
 * sends them each second.
 */
@Serializable
public data class UsageReport(@SerialName("u") val usage: List<OrganisationUsage>)

/** Local demand of one organisation, refused requests included. */
@Serializable
public data class OrganisationUsage(
    @SerialName("o") val organisation: OrganisationName,
    @SerialName("t") val tokensPerSecond: Float,
    @SerialName("c") val concurrent: Int
)

/** The aggregator's reply to a [UsageReport], in the same order. */
@Serializable
public data class UsageReply(@SerialName("s") val shares: List<OrganisationShare>)

/**
 * The share of one instance in the limits of an organisation, and the demand in the whole fleet. A
 * share has no meaning for a resource without a limit.
 */
@Serializable
public data class OrganisationShare(
    @SerialName("o") val organisation: OrganisationName,
    @SerialName("d") val fleetTokensPerSecond: Float,
    @SerialName("t") val tokensPerSecond: Float,
    @SerialName("c") val concurrent: Int
)

/**
 * Timing of usage sharing.
 *
 * Up to [instancesPerSecond] instances, each reports every second. Beyond that, the period grows
 * with the number of instances, so that an aggregator of an organisation that is active everywhere
 * receives at most about [instancesPerSecond] reports a second for it.
 *
 * [silentReserve] is the part of an equal share that an aggregator keeps free for each instance
 * that does not report. An instance below half of an equal share does not report, hence a half.
 */
public data class UsageSharing(
    val instancesPerSecond: Int = 36,
    val maxReportsPerSecond: Int = 12,
    val silentReserve: Double = 0.5
) {
    init {
        require(instancesPerSecond > 0 && maxReportsPerSecond > 0) { "the bounds are positive" }
        require(silentReserve in 0.0..1.0) { "the reserve is a share, not $silentReserve" }
    }

    /** Seconds between two reports of the same organisation. */
    public fun periodSeconds(liveInstances: Int): Int =
        maxOf(1, (liveInstances + instancesPerSecond - 1) / instancesPerSecond)

    /** How long a share applies without a newer reply. */
    public fun validMillis(liveInstances: Int): Long =
        1_000L * (2 * periodSeconds(liveInstances) + 1)
}
