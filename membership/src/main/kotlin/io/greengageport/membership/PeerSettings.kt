package io.greengageport.membership

import io.greengageport.common.DataCentre
import io.greengageport.common.InstanceId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Identity and addresses of an instance, as given in its settings file.
 *
 * A [listenPort] of 0 selects an ephemeral port. Peers connect to [advertisedHost], an IP address
 * that defaults to [listenHost], and to [advertisedPort], which defaults to the bound port. [seeds]
 * are peer addresses in the form `ip:port`.
 */
public data class PeerSettings(
    val id: InstanceId,
    val dataCentre: DataCentre,
    val listenHost: String,
    val listenPort: Int = 0,
    val advertisedHost: String = listenHost,
    val advertisedPort: Int? = null,
    val seeds: List<String> = emptyList()
)

/** Periods, timeouts and limits of the peer protocol; all instances should use the same ones. */
public data class PeerTimings(
    /** Interval at which the node checks for due work, such as probes, timeouts and gossip. */
    val tickInterval: Duration = 100.milliseconds,
    /** Interval between probes, each of one member. */
    val probePeriod: Duration = 1.seconds,
    /** Timeout of each of the three stages of a probe: direct, reconnected and indirect. */
    val probeTimeout: Duration = 500.milliseconds,
    /** Number of other members that are asked to ping a member that did not answer. */
    val indirectProbes: Int = 3,
    /**
     * Time in which a suspected member can refute the suspicion before it counts as failed.
     * Multiplied by log10 of the number of instances, at least by one.
     */
    val suspicionTimeout: Duration = 3.seconds,
    /** A longer gap between two ticks counts as a pause of this process. */
    val pauseThreshold: Duration = 1.seconds,
    /** Interval between anti-entropy exchanges, each with one random peer. */
    val syncPeriod: Duration = 10.seconds,
    /** Interval between probes of a random failed member, which may return after a partition. */
    val failedRetryPeriod: Duration = 10.seconds,
    /** How long a failed member is retained. */
    val failedRetention: Duration = 6.hours,
    /** How long a member that left is retained. */
    val leftRetention: Duration = 10.minutes,
    /** Interval between contacts with a random seed that is not a live member. */
    val seedPeriod: Duration = 60.seconds,
    /** Limits events and items sent, including an estimated 130 B of headers per message. */
    val gossipBytesPerSecond: Int = 2_200,
    /** Lifetime from publishing, after which all instances drop an item. */
    val itemLifetime: Duration = 1.hours,
    /** Maximum number of items that an instance holds. */
    val maxItems: Int = 4_096,
    /** Maximum estimated size of all items that an instance holds, in bytes. */
    val maxItemBytes: Int = 2 * 1_024 * 1_024,
    /**
     * Idle time after which the instance that opened a connection closes it, unless it is to a
     * neighbour. The other instance waits three times as long.
     */
    val connectionIdleTimeout: Duration = 5.seconds,
    /** Timeout of connecting and authenticating together. */
    val connectTimeout: Duration = 2.seconds,
    /** How long [PeerNode.leave] waits for the leaving event to spread. */
    val leaveDelay: Duration = 2.seconds
)

/** Reasons for a node that did not start. */
public sealed interface StartError {
    /** The listen address cannot be bound. */
    public data class CannotListen(val address: String, val reason: String) : StartError

    /** The node has already been started. */
    public data object AlreadyStarted : StartError
}

/**
 * Counters since the start of a node; bytes are of frames, without TCP/IP headers.
 *
 * [openConnections] is the current number. [replacedConnections] counts connections that were
 * closed because the peer did not answer on them, [badFrames] malformed frames, and [refusedPeers]
 * accepted connections whose handshake failed.
 */
public data class PeerStats(
    val sentFrames: Long,
    val sentBytes: Long,
    val receivedFrames: Long,
    val receivedBytes: Long,
    val openedConnections: Long,
    val openConnections: Int,
    val replacedConnections: Long,
    val badFrames: Long,
    val refusedPeers: Long
)
