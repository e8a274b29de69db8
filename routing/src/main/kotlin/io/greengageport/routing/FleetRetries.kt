package io.greengageport.routing

/**
 * What the retry budget of a fleet looks like to one of its [instances].
 *
 * [allowance] retries per window are allowed to the fleet beyond what requests earn. [others] is
 * what the other instances told last, which is up to [RetryBudget.LAG_MILLIS] old.
 */
public data class FleetRetries(val instances: Int, val allowance: Double, val others: RetryUsage) {
    init {
        require(instances > 0) { "a fleet has instances: $instances" }
    }

    /** Retries that the fleet may still make in this window, if this instance made [own]. */
    public fun left(own: RetryUsage): Double =
        allowance + others.earned - others.used + own.earned - own.used
}

/** Retries that were made within the window, and those that the requests in it earned. */
public data class RetryUsage(val used: Double, val earned: Double) {
    public operator fun plus(other: RetryUsage): RetryUsage =
        RetryUsage(used + other.used, earned + other.earned)

    public companion object {
        public val NONE: RetryUsage = RetryUsage(0.0, 0.0)
    }
}
