package io.greengageport.limits

import kotlin.math.floor

/**
 * What this instance may have in flight at the backend servers: [slots] requests at a time and, if
 * set, [tokensPerSecond].
 */
public data class Capacity(val slots: Int, val tokensPerSecond: Double? = null) {
    init {
        require(slots >= 0) { "the number of slots is not negative: $slots" }
        require(tokensPerSecond == null || tokensPerSecond >= 0) { "a rate is not negative" }
    }
}

/**
 * Load of the fleet for one service, summed over the load reports of its runners.
 *
 * For a chained model, [slots] and [tokensPerSecond] are the bound of the chains, not the sum over
 * stages. [inUseSlots] and [usedTokensPerSecond] include the work of all instances.
 */
public data class FleetLoad(
    val slots: Double,
    val inUseSlots: Double,
    val tokensPerSecond: Double? = null,
    val usedTokensPerSecond: Double = 0.0
)

/** This instance's own part of [FleetLoad] at the time of the load reports. */
public data class OwnLoad(val inUseSlots: Double, val usedTokensPerSecond: Double = 0.0)

/**
 * Computes the part of the fleet's capacity that one of several instances may use, without a
 * central counter.
 *
 * Every instance applies the same rule to the same load reports:
 *
 * `share = (1 - pull) * (own use + free / live) + pull * capacity / live`
 *
 * with `free = capacity - use of all`; without free capacity, own use is scaled to the capacity
 * instead. The shares of all instances add up to the capacity exactly, as far as the reports match
 * the instances' own use at the time of the report. An instance without use gets at least
 * `pull * capacity / live` at once, and if all instances have demand, the shares converge to the
 * equal share by a factor of `1 - pull` per report.
 *
 * Running requests are not cut, so an instance may be above a share that shrank. If the demand of
 * each instance swings between none and three times its equal share from one second to the next,
 * with reports 2 s old, the sum exceeds the capacity by about a tenth for some seconds.
 *
 * The caller passes its own use at the time of the reports, not the present one: a lag between the
 * two would count the same work twice.
 *
 * ```
 * val share = FleetShare().capacity(fleet, own, liveInstances = 9)
 * controller.updateCapacity(share)
 * ```
 */
public class FleetShare(private val pull: Double = 0.2) {
    init {
        require(pull > 0 && pull <= 1) { "the pull is a share above 0, not $pull" }
    }

    /** The capacity for [AdmissionController.updateCapacity]; at least one slot if any exists. */
    public fun capacity(fleet: FleetLoad, own: OwnLoad, liveInstances: Int): Capacity {
        val slots = share(fleet.slots, fleet.inUseSlots, own.inUseSlots, liveInstances)
        val tokens = fleet.tokensPerSecond?.let {
            share(it, fleet.usedTokensPerSecond, own.usedTokensPerSecond, liveInstances)
        }
        val least = if (fleet.slots > 0) 1 else 0
        return Capacity(maxOf(least, floor(slots).toInt()), tokens)
    }

    /** The share of one resource, in the unit of [capacity]. */
    public fun share(capacity: Double, used: Double, own: Double, liveInstances: Int): Double {
        require(liveInstances > 0) { "this instance is live itself" }
        val total = maxOf(used, own)
        val kept = when {
            total > capacity -> own * capacity / total
            else -> own + (capacity - total) / liveInstances
        }
        return (1 - pull) * kept + pull * capacity / liveInstances
    }
}
