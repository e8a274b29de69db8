package io.greengageport.ledger

import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Bounds of the order ledger.
 *
 * [skew] must be equal on all instances, because it is part of the rule by which a claim wins.
 */
public data class LedgerSettings(
    /** How long after its issue time a key is remembered. */
    val rememberFor: Duration = 24.hours,
    /** How far an issue time may lie ahead of the log service's clock. */
    val skew: Duration = 30.seconds,
    /** Time from before the append of a claim within which its call may be sent. */
    val sendWindow: Duration = 2.seconds,
    /** Appends per second of this instance. */
    val appendsPerSecond: Int = 30,
    /**
     * Appends per second of all instances together. The log takes several hundred of all streams;
     * settings, snapshots and leases need few.
     */
    val fleetAppendsPerSecond: Int = 300,
    /** Claims that may wait for their append. */
    val maxQueuedClaims: Int = 4_096,
    val maxBatchBytes: Int = 256 * 1024,
    /** Outcome bodies above this size in bytes are recorded without body. */
    val maxOutcomeBody: Int = 16 * 1024,
    /** Estimated memory of all remembered keys, in bytes. */
    val maxBytes: Long = 32L * 1024 * 1024,
    /** Age of the last proof that the copy is current, beyond which no decision is taken. */
    val currencyBound: Duration = 5.seconds,
    /** A copy is proven as of the start of a read, so two waits have to fit in [currencyBound]. */
    val readWait: Duration = 1.seconds,
    val readBackTimeout: Duration = 3.seconds,
    val minBackoff: Duration = 100.milliseconds,
    val maxBackoff: Duration = 5.seconds,
    /** Time that a claimant takes at most to answer a query for an outcome that is pending. */
    val peerWait: Duration = 1.seconds,
    /** Time that one call waits at most for the outcome of another with the same key. */
    val maxOutcomeWait: Duration = 30.seconds,
    val sweepEvery: Duration = 1.minutes
) {
    init {
        require(appendsPerSecond > 0) { "appendsPerSecond must be positive" }
        require(fleetAppendsPerSecond > 0) { "fleetAppendsPerSecond must be positive" }
        require(sendWindow.isPositive()) { "sendWindow must be positive" }
        require(readWait * 2 < currencyBound) { "currencyBound must exceed twice readWait" }
        require(rememberFor > skew) { "rememberFor must exceed skew" }
    }

    /** Time between the starts of two appends of one of [instances] instances. */
    internal fun appendSpacing(instances: Int): Duration = maxOf(
        1.seconds / appendsPerSecond,
        1.seconds * instances / fleetAppendsPerSecond
    )
}
