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
 * Reads the log from where the held state ends, and folds it.
 *
 * Behind the truncation point it scans the retained records for a complete snapshot that covers
 * all records before the earliest retained one.
 */
internal class LogFollower(
    private val log: LogService,
    private val holder: StateHolder,
    private val tracker: SnapshotTracker,
    private val clock: Clock,
    private val config: SettingsStoreConfig
) {
    private class Scan(var earliest: Long) {
        var next = earliest
        var range = ScanRange.UNDECIDED
        val assembler = SnapshotAssembler()
    }

    private enum class ScanRange { UNDECIDED, TAIL, ALL }

    private var scan: Scan? = null

    /** Monotonic time at which the state here was last seen to reach the end of the log. */
    @Volatile
    var provenAtMillis: Long? = null
        private set

    /** Whether the log no longer holds the records or snapshot needed to go on. */
    @Volatile
    var needsPeer: Boolean = false
        private set

    /** Reads once, waiting up to [wait] for a record. */
    suspend fun poll(wait: Duration): Poll {
        val s = scan
        return if (s == null || holder.state.through + 1 >= s.earliest) {
            follow(wait)
        } else {
            scan(s, wait)
        }
    }

    private suspend fun follow(wait: Duration): Poll {
        val from = holder.state.through + 1
        // Before the read, since the reply may be old by the time it arrives.
        val asked = clock.monotonicMillis()
        val batch = log.readFrom(config.stream, from, config.pageRecords, wait)
            .getOrElse { return failed(it) }
        if (batch.next < from) {
            return Poll.Failed("the log ends at ${batch.next - 1}, before offset ${from - 1}")
        }
        fold(batch)
        scan = null
        needsPeer = false
        if (holder.state.through + 1 >= batch.next) {
            // A long poll that ends empty proves the state as of its end, not of its start.
            provenAtMillis = if (batch.records.isEmpty()) clock.monotonicMillis() else asked
            holder.ready.value = true
        }
        return Poll.Read(batch.records.size)
    }

    private fun fold(batch: LogBatch) {
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
                Logger.warn { "settings: skipped a malformed record at $offset: ${d.reason}" }

            else -> Unit
        }
    }

    private fun failed(error: LogError): Poll = when (error) {
        is LogError.Truncated -> truncated(error.earliest)
        else -> Poll.Failed(error.toString())
    }

    private fun truncated(earliest: Long): Poll {
        val s = scan ?: Scan(earliest).also { scan = it }
        s.earliest = maxOf(s.earliest, earliest)
        s.next = maxOf(s.next, earliest)
        Logger.info { "settings: log starts at $earliest, looking for a snapshot from ${s.next}" }
        return Poll.Truncated(earliest)
    }

    private suspend fun scan(s: Scan, wait: Duration): Poll {
        val batch = log.readFrom(config.stream, s.next, config.pageRecords, wait)
            .getOrElse { return failed(it) }
        s.earliest = maxOf(s.earliest, batch.earliest)
        if (s.range == ScanRange.UNDECIDED) {
            s.range = ScanRange.TAIL
            // The newest snapshot is near the end; reading all older ones would cost far more.
            if (batch.next - s.next > config.scanBack) {
                s.next = batch.next - config.scanBack
                return Poll.Read(0)
            }
        }
        for (r in batch.records) {
            s.next = r.offset + 1
            val part = RecordCodec.decode(r.payload).get() as? SnapshotPart ?: continue
            if (part.through <= holder.state.through) continue
            val state = s.assembler.add(part) ?: continue
            if (state.through + 1 < s.earliest) continue
            Logger.info { "settings: took the snapshot as of offset ${state.through}" }
            holder.offer(state)
            tracker.onStart(state.through, r.appendedAtMillis)
            scan = null
            return Poll.Read(batch.records.size)
        }
        if (s.next >= batch.next && s.range == ScanRange.TAIL) {
            s.range = ScanRange.ALL
            s.next = s.earliest
        } else {
            needsPeer = s.next >= batch.next
        }
        return Poll.Read(batch.records.size)
    }
}

/**
 * Reads like [LogService.read], and reports a page that starts later than asked for as truncated:
 * folding across a gap would make this reader differ from others.
 */
internal suspend fun LogService.readFrom(
    stream: String,
    from: Long,
    max: Int,
    wait: Duration
): Result<LogBatch, LogError> = read(stream, from, max, wait).andThen { batch ->
    val first = batch.records.firstOrNull()?.offset ?: from
    val start = maxOf(first, batch.earliest)
    if (start > from) Err(LogError.Truncated(start)) else Ok(batch)
}

/** What one read of the log led to. */
internal sealed interface Poll {
    data class Read(val records: Int) : Poll

    data class Truncated(val earliest: Long) : Poll

    data class Failed(val reason: String) : Poll
}
