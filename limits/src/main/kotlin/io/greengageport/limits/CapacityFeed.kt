package io.greengageport.limits

import io.greengageport.common.Clock

/**
 * Updates the capacity of one [AdmissionController] from the load reports of its service's runners.
 *
 * Reports older than [maxAgeMillis] are too old to tell the free capacity. Each instance then uses
 * an equal share of the last known capacity, so that the instances together do not overload the
 * runners.
 *
 * ```
 * feed.recordOwnLoad()                              // once per second
 * feed.onReports(fleet, reportAgeMillis, live.size) // on each batch of load reports
 * ```
 */
public class CapacityFeed(
    private val clock: Clock,
    private val controller: AdmissionController,
    private val share: FleetShare = FleetShare(),
    private val maxAgeMillis: Long = 10_000
) {
    private val history = OwnLoadHistory(retentionMillis = 2 * maxAgeMillis)

    /** Records the current load of the controller; must be called once per second. */
    @Synchronized
    public fun recordOwnLoad() {
        history.record(controller.state, clock.monotonicMillis())
    }

    /**
     * Updates the capacity from [fleet], the sum of load reports that are [ageMillis] old.
     * [liveInstances] includes this instance.
     */
    @Synchronized
    public fun onReports(fleet: FleetLoad, ageMillis: Long, liveInstances: Int) {
        val capacity = if (ageMillis > maxAgeMillis) {
            equalShare.capacity(fleet, OwnLoad(0.0), liveInstances)
        } else {
            val own = history.loadAt(clock.monotonicMillis() - ageMillis)
            share.capacity(fleet, own, liveInstances)
        }
        controller.updateCapacity(capacity)
    }

    private companion object {
        val equalShare = FleetShare(equalShareWeight = 1.0)
    }
}
