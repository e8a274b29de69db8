package io.greengageport.settings

import kotlin.time.Duration
import kotlin.time.Duration.Companion.days
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Times and sizes of a [SettingsStore].
 *
 * [longPoll] is below [currentWithin], so that an idle log still gives proof in time. [retention]
 * is that of the log service. A page of [pageRecords] may consist of snapshot parts of 64 KiB and
 * is held in memory. A reader that needs a snapshot looks at the last [scanBack] records first.
 *
 * [snapshotEvery] counts records other than snapshot parts. A snapshot that is due is written
 * after [snapshotStagger] times the position of this instance among the live ones, unless another
 * instance wrote a part within [snapshotQuiet]. A peer's newer state is pulled only once the log
 * has failed to deliver it for [pullAfter].
 */
public data class SettingsStoreConfig(
    val stream: String = "settings",
    val pageRecords: Int = 16,
    val longPoll: Duration = 3.seconds,
    val retryDelay: Duration = 250.milliseconds,
    val tick: Duration = 500.milliseconds,
    val currentWithin: Duration = 5.seconds,
    val proofEvery: Duration = 1.seconds,
    val pullAfter: Duration = 1.seconds,
    val pullTimeout: Duration = 2.seconds,
    val snapshotEvery: Int = 1_000,
    val scanBack: Int = 2_500,
    val snapshotPartBytes: Int = Snapshot.PART_BYTES,
    val retention: Duration = 7.days,
    val snapshotStagger: Duration = 2.seconds,
    val snapshotQuiet: Duration = 10.seconds
) {
    init {
        require(longPoll < currentWithin) { "longPoll $longPoll is not below $currentWithin" }
        require(snapshotPartBytes in 1..Snapshot.PART_BYTES) {
            "snapshotPartBytes is at most ${Snapshot.PART_BYTES}, not $snapshotPartBytes"
        }
        require(pageRecords > 0) { "pageRecords is positive, not $pageRecords" }
    }
}

/**
 * Whether the settings in force here are known to be the newest, and how long ago, in seconds,
 * that was last shown by the log or by a live peer; null if it never was.
 */
public data class Currency(val current: Boolean, val secondsSinceProof: Double?)
