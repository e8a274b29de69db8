package io.greengageport.routing

/**
 * The retry budget of a fleet as seen by one of its [instances].
 *
 * The fleet may make [allowance] retries per window in addition to those earned by requests.
 * [others] is the usage last reported by the other instances, which is up to
 * [RetryBudget.USAGE_LAG_MILLIS] old.
 */
public data class FleetRetries(val instances: Int, val allowance: Double, val others: RetryUsage) {
    init {
        require(instances > 0) { "the number of instances must be positive, but is $instances" }
    }

    /** Retries remaining to the fleet in this window if the usage of this instance is [own]. */
    public fun remaining(own: RetryUsage): Double =
        allowance + others.earned - others.used + own.earned - own.used
}

/** The retries made within the window, and those earned by the requests admitted in it. */
public data class RetryUsage(val used: Double, val earned: Double) {
    public operator fun plus(other: RetryUsage): RetryUsage =
        RetryUsage(used + other.used, earned + other.earned)

    public companion object {
        public val NONE: RetryUsage = RetryUsage(0.0, 0.0)
    }
}
