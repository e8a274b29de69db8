package io.greengageport.ledger

import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Times of leases.
 *
 * [forgetAfter] must be equal on all instances, and the log must retain records for longer.
 */
public data class LeaseSettings(
    /** How long a lease lasts after its last renewal began. */
    val ttl: Duration = 10.seconds,
    /** The holder stops this long before the end; a contender waits this long after it. */
    val margin: Duration = 2.seconds,
    /** Bound on the time that an engine takes to carry out or drop an order. */
    val orderTimeout: Duration = 5.seconds,
    /** Age beyond which a record no longer takes part in compare-and-set. */
    val forgetAfter: Duration = 10.minutes,
    /** Decisions begin with a fresh read, so this wait delays none. */
    val readWait: Duration = 3.seconds
) {
    init {
        require(margin.isPositive() && ttl > margin * 2) { "ttl must exceed twice the margin" }
        require(forgetAfter > (ttl + margin) * 2) { "forgetAfter must exceed twice ttl and margin" }
    }
}
