package io.greengageport.limits

import kotlin.math.floor

/**
 * Capacity of the backend servers that this instance may use: [slots] concurrent requests and, if
 * set, [tokensPerSecond].
 */
public data class Capacity(val slots: Int, val tokensPerSecond: Double? = null) {
    init {
        require(slots >= 0) { "the number of slots must not be negative: $slots" }
        require(tokensPerSecond == null || tokensPerSecond >= 0) {
            "the token rate must not be negative: $tokensPerSecond"
        }
    }
}

/**
 * Capacity and load of the fleet for one service, summed over the load reports of its runners.
 *
 * For a model whose layers are split over a chain of runners, [slots] and [tokensPerSecond] are the
 * bound of the chains, not the sum over the stages. [inUseSlots] and [usedTokensPerSecond] include
 * the work of all instances.
 */
public data class FleetLoad(
    val slots: Double,
    val inUseSlots: Double,
    val tokensPerSecond: Double? = null,
    val usedTokensPerSecond: Double = 0.0
)

/** The part of [FleetLoad] that this instance caused, at the time of the load reports. */
public data class OwnLoad(val inUseSlots: Double, val usedTokensPerSecond: Double = 0.0)

/**
 * Computes this instance's share of the fleet's capacity without a central counter.
 *
 * Every instance applies the same formula to the same load reports:
 *
 * `share = (1 - equalShareWeight) * (own use + free / live) + equalShareWeight * capacity / live`
 *
 * where `free = capacity - total use`. If nothing is free, own use is scaled down to the capacity
 * instead. The shares of all instances add up to exactly the capacity if the reports match the
 * instances' own use at the time of the report. An idle instance gets at least
 * `equalShareWeight * capacity / live` immediately. If all instances have demand, the distance of
 * each share from the equal share is multiplied by `1 - equalShareWeight` on every report.
 *
 * Running requests are not cancelled, so an instance can exceed a share that has shrunk. If the
 * demand of each instance alternates between zero and three times its equal share every second, and
 * reports are 2 s old, the total exceeds the capacity by about 10% for some seconds.
 *
 * Callers must pass their own use at the time of the reports, not the current use: a time lag
 * between the two would count the same work twice.
 *
 * ```
 * val share = FleetShare().capacity(fleet, own, liveInstances = 9)
 * controller.updateCapacity(share)
 * ```
 */
public class FleetShare(private val equalShareWeight: Double = 0.2) {
    init {
        require(equalShareWeight > 0 && equalShareWeight <= 1) {
            "equalShareWeight must be above 0 and at most 1, but is $equalShareWeight"
        }
    }

    /**
     * Computes the capacity to pass to [AdmissionController.updateCapacity]: at least one slot if
     * the fleet has any.
     */
    public fun capacity(fleet: FleetLoad, own: OwnLoad, liveInstances: Int): Capacity {
        val slots = share(fleet.slots, fleet.inUseSlots, own.inUseSlots, liveInstances)
        val tokens = fleet.tokensPerSecond?.let {
            share(it, fleet.usedTokensPerSecond, own.usedTokensPerSecond, liveInstances)
        }
        val minSlots = if (fleet.slots > 0) 1 else 0
        return Capacity(maxOf(minSlots, floor(slots).toInt()), tokens)
    }

    /** Computes the share of one resource, in the unit of [capacity]. */
    public fun share(capacity: Double, used: Double, own: Double, liveInstances: Int): Double {
        require(liveInstances > 0) { "the live instances must include this one" }
        val total = maxOf(used, own)
        val retained = when {
            total > capacity -> own * capacity / total
            else -> own + (capacity - total) / liveInstances
        }
        return (1 - equalShareWeight) * retained + equalShareWeight * capacity / liveInstances
    }
}
