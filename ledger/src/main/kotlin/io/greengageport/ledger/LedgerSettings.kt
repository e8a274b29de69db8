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
    /** Appends per second of this instance; the log takes several hundred of the whole fleet. */
    val appendsPerSecond: Int = 30,
    /** Claims that may wait for their append. */
    val maxQueuedClaims: Int = 4_096,
    val maxBatchBytes: Int = 256 * 1024,
    /** Outcome bodies above this size in bytes are recorded without body. */
    val maxOutcomeBody: Int = 16 * 1024,
    /** Estimated memory of all remembered keys, in bytes. */
    val maxBytes: Long = 32L * 1024 * 1024,
    /** Age of the last proof that the copy is current, beyond which no decision is taken. */
    val currencyBound: Duration = 5.seconds,
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
        require(sendWindow.isPositive()) { "sendWindow must be positive" }
        require(rememberFor > skew) { "rememberFor must exceed skew" }
    }
}
