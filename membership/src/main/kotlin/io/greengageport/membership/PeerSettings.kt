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
 * A [listenPort] of 0 takes an ephemeral port. [advertisedHost] is the IP number that peers use;
 * it defaults to [listenHost], and [advertisedPort] to the bound port. [seeds] are peer addresses
 * in the form `ip:port`.
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

/** Periods, timeouts and bounds of the peer protocol; all instances should use the same. */
public data class PeerTimings(
    val tick: Duration = 100.milliseconds,
    val probePeriod: Duration = 1.seconds,
    /** Waiting time of each of the three stages of a probe: direct, reconnected and indirect. */
    val probeTimeout: Duration = 500.milliseconds,
    val indirectProbes: Int = 3,
    /** Multiplied by log10 of the number of instances, but at least by one. */
    val suspicionTimeout: Duration = 3.seconds,
    /** A gap between two ticks above this bound counts as a pause of this process. */
    val pauseThreshold: Duration = 1.seconds,
    /** Between two anti-entropy exchanges, each with one random peer. */
    val syncPeriod: Duration = 10.seconds,
    /** Between two probes of a random failed member, which may return after a partition. */
    val failedRetryPeriod: Duration = 10.seconds,
    val failedRetention: Duration = 6.hours,
    val leftRetention: Duration = 10.minutes,
    /** Between two contacts with a seed that is not a live member. */
    val seedPeriod: Duration = 60.seconds,
    /** Bytes of events and items sent per second, with an estimated 130 B of headers a message. */
    val gossipBytesPerSecond: Int = 2_200,
    /** From publishing; items held longer are dropped everywhere. */
    val itemLifetime: Duration = 1.hours,
    val maxItems: Int = 4_096,
    val maxItemBytes: Int = 2 * 1_024 * 1_024,
    /** A connection without frames for this long is closed, unless to a neighbour. */
    val idleConnection: Duration = 5.seconds,
    /** Bound of connecting and authenticating together. */
    val connectTimeout: Duration = 2.seconds,
    /** How long [PeerNode.leave] lets the leaving event spread before it returns. */
    val leaveSpread: Duration = 2.seconds
)

/** Why a node did not start. */
public sealed interface StartError {
    /** The listen address cannot be bound. */
    public data class CannotListen(val address: String, val reason: String) : StartError

    /** The node was started before. */
    public data object AlreadyStarted : StartError
}

/** Counters since the start of a node; bytes are those of frames, without TCP/IP headers. */
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
