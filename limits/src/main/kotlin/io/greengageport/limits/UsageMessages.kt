package io.greengageport.limits

import io.greengageport.common.OrganisationName
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * An instance's demand by organisation, sent to the aggregator.
 *
 * Serial names of the usage-sharing messages are short, because every instance sends them once per
 * second.
 */
@Serializable
public data class UsageReport(@SerialName("u") val usage: List<OrganisationUsage>)

/** Local demand of one organisation, including refused requests. */
@Serializable
public data class OrganisationUsage(
    @SerialName("o") val organisation: OrganisationName,
    @SerialName("t") val tokensPerSecond: Float,
    @SerialName("c") val concurrent: Int
)

/**
 * The aggregator's reply to a [UsageReport]. Shares are in the order of the report; organisations
 * without a policy at the aggregator are left out.
 */
@Serializable
public data class UsageReply(@SerialName("s") val shares: List<OrganisationShare>)

/**
 * One instance's share of the limits of an organisation, and the fleet-wide demand. The share of an
 * unlimited resource is to be ignored.
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
 * With up to [instancesPerSecond] live instances, each reports once per second. Beyond that, the
 * period grows with the number of instances, so that the aggregator of an organisation that is
 * active on all instances receives about [instancesPerSecond] reports per second for it at most.
 *
 * [maxReportsPerSecond] bounds the organisations that one instance reports per second.
 *
 * [silentReserve] is the fraction of an equal share that an aggregator reserves for each instance
 * that does not report. It is a half because instances report only above half of an equal share.
 */
public data class UsageSharing(
    val instancesPerSecond: Int = 36,
    val maxReportsPerSecond: Int = 12,
    val silentReserve: Double = 0.5
) {
    init {
        require(instancesPerSecond > 0 && maxReportsPerSecond > 0) {
            "the report rates must be positive"
        }
        require(silentReserve in 0.0..1.0) {
            "the silent reserve must be from 0 to 1, but is $silentReserve"
        }
    }

    /** Interval between two reports of the same organisation, in seconds. */
    public fun periodSeconds(liveInstances: Int): Int =
        maxOf(1, (liveInstances + instancesPerSecond - 1) / instancesPerSecond)

    /** Time for which a share is valid without a newer reply, in ms. */
    public fun validMillis(liveInstances: Int): Long =
        1_000L * (2 * periodSeconds(liveInstances) + 1)
}
