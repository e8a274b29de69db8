package io.greengageport.ledger

import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Limits and timing of [OrderLedger].
 *
 * [maxClockSkew] must be equal on all instances, because it decides which claims win.
 */
public data class LedgerSettings(
    /** How long a key is kept after its issue time. */
    val keyRetention: Duration = 24.hours,
    /** How far an issue time may be ahead of the clock of the log service. */
    val maxClockSkew: Duration = 30.seconds,
    /** Time within which a call may be sent, measured from before the append of its claim. */
    val sendWindow: Duration = 2.seconds,
    /** Maximum appends per second of one instance. */
    val appendsPerSecond: Int = 30,
    /**
     * Maximum appends per second of all instances together. The log handles several hundred
     * appends per second over all streams; settings, snapshots and leases need few of them.
     */
    val fleetAppendsPerSecond: Int = 300,
    /** Maximum number of claims that wait for their append. */
    val maxQueuedClaims: Int = 4_096,
    /** Maximum size of one append in bytes; a larger single record is appended alone. */
    val maxBatchBytes: Int = 256 * 1024,
    /** Size in bytes above which the body of an outcome is not recorded. */
    val maxOutcomeBodyBytes: Int = 16 * 1024,
    /** Limit on the estimated memory of all keys, in bytes. */
    val maxBytes: Long = 32L * 1024 * 1024,
    /** Maximum time since the local copy was last known to be current; decisions need this. */
    val maxCopyAge: Duration = 5.seconds,
    /**
     * Long-poll wait of idle reads. The copy is known to be current as of the start of the last
     * complete read, so two waits must fit into [maxCopyAge].
     */
    val readWait: Duration = 1.seconds,
    /** Maximum wait for reading back an append whose acknowledgement was lost. */
    val readBackTimeout: Duration = 3.seconds,
    /** First delay between retries while the log fails; it doubles up to [maxBackoff]. */
    val minBackoff: Duration = 100.milliseconds,
    val maxBackoff: Duration = 5.seconds,
    /** Maximum time that a claimant holds a query for a pending outcome before it replies. */
    val maxPeerWait: Duration = 1.seconds,
    /** Maximum time that a call waits for the outcome of another call with the same key. */
    val maxOutcomeWait: Duration = 30.seconds,
    /** Interval at which expired keys are removed and the memory limit is enforced. */
    val sweepInterval: Duration = 1.minutes
) {
    init {
        require(appendsPerSecond > 0) { "appendsPerSecond must be positive" }
        require(fleetAppendsPerSecond > 0) { "fleetAppendsPerSecond must be positive" }
        require(sendWindow.isPositive()) { "sendWindow must be positive" }
        require(readWait * 2 < maxCopyAge) { "maxCopyAge must exceed twice readWait" }
        require(keyRetention > maxClockSkew) { "keyRetention must exceed maxClockSkew" }
    }

    /** Minimum time between the starts of two appends of one instance. */
    internal fun appendInterval(instanceCount: Int): Duration = maxOf(
        1.seconds / appendsPerSecond,
        1.seconds * instanceCount / fleetAppendsPerSecond
    )
}
