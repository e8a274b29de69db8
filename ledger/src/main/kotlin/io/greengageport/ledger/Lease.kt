package io.greengageport.ledger

import io.greengageport.common.Clock

/** A lease held by this instance; valid for a time counted on the monotonic clock. */
public class Lease internal constructor(
    public val name: String,
    private val clock: Clock,
    token: Long,
    validUntil: Long
) {
    private var currentToken = token
    private var end = validUntil
    private val attempts = mutableSetOf<Long>()

    /** Fencing token for orders: it grows with each acquisition and renewal. */
    public val token: Long @Synchronized get() = currentToken

    /** Must be checked directly before each order; false for good once the lease has passed. */
    @Synchronized
    public fun isValid(): Boolean = clock.monotonicMillis() < end

    @Synchronized
    internal fun left(): Long = (end - clock.monotonicMillis()).coerceAtLeast(0)

    /** False if the lease passed while it was renewed; it does not come back then. */
    @Synchronized
    internal fun extend(token: Long, validUntil: Long): Boolean {
        currentToken = token
        attempts.clear()
        if (!isValid()) return false
        end = validUntil
        return true
    }

    /** Notes a renewal that may take effect unseen. */
    @Synchronized
    internal fun attempt(id: Long) {
        attempts += id
    }

    @Synchronized
    internal fun attempted(id: Long): Boolean = id in attempts

    @Synchronized
    internal fun end() {
        end = minOf(end, clock.monotonicMillis())
    }
}
