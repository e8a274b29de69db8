package io.greengageport.ledger

import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Timing of leases.
 *
 * [forgetAfter] must be equal on all instances and shorter than the retention of the log.
 */
public data class LeaseSettings(
    /** Duration of a lease from the start of its acquisition or last renewal. */
    val ttl: Duration = 10.seconds,
    /**
     * Safety margin: the holder treats the lease as expired this long before its end, and other
     * instances wait this long after its end.
     */
    val margin: Duration = 2.seconds,
    /** Maximum time that an engine takes to execute or discard an order. */
    val orderTimeout: Duration = 5.seconds,
    /** Age at which a record is ignored, as if the lease had no record. */
    val forgetAfter: Duration = 10.minutes,
    /** Long-poll wait of idle reads. Decisions start a new read, so this does not delay them. */
    val readWait: Duration = 3.seconds
) {
    init {
        require(margin.isPositive() && ttl > margin * 2) { "ttl must exceed twice the margin" }
        require(forgetAfter > (ttl + margin) * 2) { "forgetAfter must exceed twice ttl and margin" }
    }
}
