package io.greengageport.ledger

import io.greengageport.common.Clock

/** A lease held by this instance. Its validity is measured on the monotonic clock. */
public class Lease internal constructor(
    public val name: String,
    private val clock: Clock,
    token: Long,
    validUntilMillis: Long
) {
    private var currentToken = token
    private var endMillis = validUntilMillis
    private val pendingRenewals = mutableSetOf<Long>()

    /** Fencing token for orders to engines; it increases with each acquisition and renewal. */
    public val token: Long @Synchronized get() = currentToken

    /**
     * Whether the lease is still valid; check this directly before each order. An expired lease
     * never becomes valid again.
     */
    @Synchronized
    public fun isValid(): Boolean = clock.monotonicMillis() < endMillis

    /** Remaining validity in milliseconds, at least 0. */
    @Synchronized
    internal fun remainingMillis(): Long = (endMillis - clock.monotonicMillis()).coerceAtLeast(0)

    /**
     * Extends the lease under a new [token]. Returns false if the lease expired during the renewal;
     * it then stays expired.
     */
    @Synchronized
    internal fun extend(token: Long, validUntilMillis: Long): Boolean {
        currentToken = token
        pendingRenewals.clear()
        if (!isValid()) return false
        endMillis = validUntilMillis
        return true
    }

    /** Records a renewal attempt, which may take effect even if its append seems to fail. */
    @Synchronized
    internal fun addPendingRenewal(id: Long) {
        pendingRenewals += id
    }

    /** Whether [id] is a renewal attempt made since the last confirmed renewal. */
    @Synchronized
    internal fun isPendingRenewal(id: Long): Boolean = id in pendingRenewals

    /** Invalidates the lease immediately. */
    @Synchronized
    internal fun expire() {
        endMillis = minOf(endMillis, clock.monotonicMillis())
    }
}
