package io.greengageport.limits

import io.greengageport.common.Clock

/**
 * Feeds the capacity of one [AdmissionController] from the load reports of its service's runners.
 *
 * Reports older than [maxAgeMillis] say little about the free capacity; then the equal share of the
 * last known capacity applies, so that the instances cannot overrun the runners together.
 *
 * ```
 * feed.sample()                                     // each second
 * feed.onReports(fleet, reportAgeMillis, live.size) // for each batch of load reports
 * ```
 */
public class CapacityFeed(
    private val clock: Clock,
    private val controller: AdmissionController,
    private val share: FleetShare = FleetShare(),
    private val maxAgeMillis: Long = 10_000
) {
    private val history = OwnLoadHistory(keepMillis = 2 * maxAgeMillis)

    /** Records the present load of the controller; to be called each second. */
    @Synchronized
    public fun sample() {
        history.record(controller.state, clock.monotonicMillis())
    }

    /**
     * Sets the capacity from [fleet], the sum of reports that are [ageMillis] old, and the number
     * of live instances, this one included.
     */
    @Synchronized
    public fun onReports(fleet: FleetLoad, ageMillis: Long, liveInstances: Int) {
        val capacity = if (ageMillis > maxAgeMillis) {
            equalShare.capacity(fleet, OwnLoad(0.0), liveInstances)
        } else {
            val own = history.at(clock.monotonicMillis() - ageMillis)
            share.capacity(fleet, own, liveInstances)
        }
        controller.updateCapacity(capacity)
    }

    private companion object {
        val equalShare = FleetShare(pull = 1.0)
    }
}
