package io.greengageport.settings

import kotlin.time.Duration
import kotlin.time.Duration.Companion.days
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Configuration of a [SettingsStore].
 *
 * The store reads the log [stream] in long polls and waits for [retryDelay] after a failed read.
 * Every [syncInterval] it synchronises with peers and writes a snapshot if one is due.
 *
 * [longPoll] must be less than [maxProofAge], so that reads of an idle log keep the settings
 * current. [retention] is the retention time of the log service. A page of [pageRecords] is held in
 * memory; each record may be a snapshot part of 64 KiB. The search for a snapshot starts with the
 * last [snapshotScanRecords] records.
 *
 * A snapshot is due after more than [snapshotEvery] records, not counting snapshot parts, or after
 * half of [retention]. A due snapshot is written after [snapshotStagger] times the position of this
 * instance among the live ones, unless another instance wrote a part within [snapshotQuietPeriod].
 *
 * A newer state is pulled from a peer if the log has not delivered it within [pullDelay] of its
 * announcement. It is pulled without this delay if the log cannot be read at the start, or holds
 * neither the next record nor a usable snapshot. The request for each part times out after
 * [pullTimeout].
 *
 * A proof that a version is the newest is published at most once per [proofInterval].
 */
public data class SettingsStoreConfig(
    val stream: String = "settings",
    val pageRecords: Int = 16,
    val longPoll: Duration = 3.seconds,
    val retryDelay: Duration = 250.milliseconds,
    val syncInterval: Duration = 500.milliseconds,
    val maxProofAge: Duration = 5.seconds,
    val proofInterval: Duration = 1.seconds,
    val pullDelay: Duration = 1.seconds,
    val pullTimeout: Duration = 2.seconds,
    val snapshotEvery: Int = 1_000,
    val snapshotScanRecords: Int = 2_500,
    val snapshotPartBytes: Int = Snapshot.PART_BYTES,
    val retention: Duration = 7.days,
    val snapshotStagger: Duration = 2.seconds,
    val snapshotQuietPeriod: Duration = 10.seconds
) {
    init {
        require(longPoll < maxProofAge) { "longPoll $longPoll must be less than $maxProofAge" }
        require(snapshotPartBytes in 1..Snapshot.PART_BYTES) {
            "snapshotPartBytes must be 1 to ${Snapshot.PART_BYTES}, but is $snapshotPartBytes"
        }
        require(pageRecords > 0) { "pageRecords must be positive, but is $pageRecords" }
    }
}

/**
 * Whether the local settings are known to be the newest.
 *
 * [isCurrent] is true if the last proof is at most [SettingsStoreConfig.maxProofAge] old.
 * [secondsSinceProof] is the time since the log or a live peer last proved it; null if never.
 */
public data class Freshness(val isCurrent: Boolean, val secondsSinceProof: Double?)
