package io.greengageport.settings

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getOrElse
import io.greengageport.common.Clock
import io.greengageport.ports.LogBatch
import io.greengageport.ports.LogError
import io.greengageport.ports.LogService
import kotlin.time.Duration
import org.tinylog.kotlin.Logger

/**
 * Reads the log from the end of the current state and applies the records to the state.
 *
 * If the log was truncated beyond that point, it scans the retained records for a complete snapshot
 * that covers all records before the earliest retained one.
 */
internal class LogFollower(
    private val log: LogService,
    private val holder: StateHolder,
    private val tracker: SnapshotTracker,
    private val clock: Clock,
    private val config: SettingsStoreConfig
) {
    /** Progress of the search for a snapshot; [next] is the next offset to read. */
    private class Scan(var earliest: Long) {
        var next = earliest
        var range = ScanRange.UNDECIDED
        val assembler = SnapshotAssembler()
    }

    /** The last [SettingsStoreConfig.snapshotScanRecords] records, or all retained records. */
    private enum class ScanRange { UNDECIDED, TAIL, ALL }

    private var scan: Scan? = null

    /** Monotonic time at which the state was last known to include the end of the log. */
    @Volatile
    var provenAtMillis: Long? = null
        private set

    /** Whether the log holds neither the next record nor a usable snapshot. */
    @Volatile
    var shouldPull: Boolean = false
        private set

    /**
     * Reads one page of the log, waiting up to [wait] for a record. After a truncation, the page
     * belongs to the search for a snapshot.
     */
    suspend fun poll(wait: Duration): PollResult {
        val s = scan
        return if (s == null || holder.state.lastOffset + 1 >= s.earliest) {
            readNext(wait)
        } else {
            scanForSnapshot(s, wait)
        }
    }

    private suspend fun readNext(wait: Duration): PollResult {
        val from = holder.state.lastOffset + 1
        // Taken before the read because the reply may be outdated when it arrives.
        val startMillis = clock.monotonicMillis()
        val batch = log.readContiguous(config.stream, from, config.pageRecords, wait)
            .getOrElse { return onReadError(it) }
        if (batch.next < from) {
            return PollResult.Failed("log ends at ${batch.next - 1}, but ${from - 1} was read")
        }
        applyRecords(batch)
        scan = null
        shouldPull = false
        if (holder.state.lastOffset + 1 >= batch.next) {
            // An empty reply to a long poll shows that the state was current when the poll ended.
            provenAtMillis = if (batch.records.isEmpty()) clock.monotonicMillis() else startMillis
            holder.isReady.value = true
        }
        return PollResult.Read(batch.records.size)
    }

    private fun applyRecords(batch: LogBatch) {
        var state = holder.state
        for (r in batch.records) {
            val applied = state.apply(r)
            state = applied.state
            tracker.onRecord(r, applied.decision)
            logDecision(r.offset, applied.decision)
        }
        holder.offer(state)
    }

    private fun logDecision(offset: Long, d: Decision) {
        when (d) {
            is Decision.Accepted -> Logger.info { "settings: accepted change ${d.id} at $offset" }

            is Decision.Rejected ->
                Logger.info { "settings: rejected change ${d.id} at $offset: ${d.reason}" }

            is Decision.Malformed ->
                Logger.warn { "settings: skipped malformed record at $offset: ${d.reason}" }

            else -> Unit
        }
    }

    private fun onReadError(error: LogError): PollResult = when (error) {
        is LogError.Truncated -> onTruncation(error.earliest)
        else -> PollResult.Failed(error.toString())
    }

    private fun onTruncation(earliest: Long): PollResult {
        val s = scan ?: Scan(earliest).also { scan = it }
        s.earliest = maxOf(s.earliest, earliest)
        s.next = maxOf(s.next, earliest)
        Logger.info {
            "settings: log is truncated before offset $earliest; " +
                "searching for a snapshot from offset ${s.next}"
        }
        return PollResult.Truncated(earliest)
    }

    private suspend fun scanForSnapshot(s: Scan, wait: Duration): PollResult {
        val batch = log.readContiguous(config.stream, s.next, config.pageRecords, wait)
            .getOrElse { return onReadError(it) }
        s.earliest = maxOf(s.earliest, batch.earliest)
        if (s.range == ScanRange.UNDECIDED) {
            s.range = ScanRange.TAIL
            // The newest snapshot is near the end; reading all older records would cost far more.
            if (batch.next - s.next > config.snapshotScanRecords) {
                s.next = batch.next - config.snapshotScanRecords
                return PollResult.Read(0)
            }
        }
        for (r in batch.records) {
            s.next = r.offset + 1
            val part = RecordCodec.decode(r.payload).get() as? SnapshotPart ?: continue
            if (part.lastOffset <= holder.state.lastOffset) continue
            val state = s.assembler.add(part) ?: continue
            if (state.lastOffset + 1 < s.earliest) continue
            Logger.info { "settings: took the snapshot as of offset ${state.lastOffset}" }
            holder.offer(state)
            tracker.onSnapshot(state.lastOffset, r.appendedAtMillis)
            scan = null
            return PollResult.Read(batch.records.size)
        }
        if (s.next >= batch.next && s.range == ScanRange.TAIL) {
            s.range = ScanRange.ALL
            s.next = s.earliest
        } else {
            shouldPull = s.next >= batch.next
        }
        return PollResult.Read(batch.records.size)
    }
}

/**
 * Calls [LogService.read] and returns [LogError.Truncated] if the page starts after [from].
 *
 * Applying records across a gap would make the state differ from that of other readers.
 */
internal suspend fun LogService.readContiguous(
    stream: String,
    from: Long,
    max: Int,
    wait: Duration
): Result<LogBatch, LogError> = read(stream, from, max, wait).andThen { batch ->
    val first = batch.records.firstOrNull()?.offset ?: from
    val start = maxOf(first, batch.earliest)
    if (start > from) Err(LogError.Truncated(start)) else Ok(batch)
}

/** The result of one read of the log. */
internal sealed interface PollResult {
    /** A page of the log was read, of which [records] records were processed. */
    data class Read(val records: Int) : PollResult

    /** The log no longer has the requested record; the oldest retained one is at [earliest]. */
    data class Truncated(val earliest: Long) : PollResult

    /** The log could not be read, or ends before the current state. */
    data class Failed(val reason: String) : PollResult
}
