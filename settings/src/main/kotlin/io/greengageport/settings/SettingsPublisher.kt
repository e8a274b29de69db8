package io.greengageport.settings

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import io.greengageport.common.Clock
import io.greengageport.ports.LogError
import io.greengageport.ports.LogService
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.delay
import org.tinylog.kotlin.Logger

/**
 * Publishes changes and determines their outcome.
 *
 * A change is appended at most once. If the acknowledgement is lost and the change cannot be read
 * back, it is withdrawn. The publish rule then rejects the change even if it arrives later.
 *
 * [state] returns the local state, from which the publisher reads on to the end of the log. If the
 * decision about a change is not known after [decisionTimeout], it is reported as undecided.
 *
 * ```
 * val base = store.view.value.pathVersion(path)
 * publisher.publish(author, path, mapOf(path to rank), base)
 * ```
 */
public class SettingsPublisher(
    private val log: LogService,
    private val state: () -> SettingsState,
    private val clock: Clock,
    private val stream: String = "settings",
    private val decisionTimeout: Duration = 30.seconds,
    private val random: Random = Random.Default,
    private val pause: suspend (Duration) -> Unit = { delay(it) }
) {
    /**
     * Replaces all documents at or below [path] with [value], or removes them if it is null or
     * empty.
     *
     * [baseVersion] is the version of the path that the author read. Pass a new, unique [id] to be
     * able to query the fate of the change after a crash.
     */
    public suspend fun publish(
        author: Author,
        path: SettingsPath,
        value: Map<SettingsPath, SettingsDocument>?,
        baseVersion: Long,
        id: ChangeId = newId()
    ): PublishOutcome {
        val start = readToEnd(state()).getOrElse {
            return PublishOutcome.NotAppended(id, NotAppendedReason.LogUnavailable(it.toString()))
        }
        val change = Change(id, author, path, baseVersion, start.lastOffset, value)
        val payload = RecordCodec.encode(change)
        if (payload.size > RecordCodec.MAX_RECORD_BYTES) {
            val reason = NotAppendedReason.TooLarge(payload.size, RecordCodec.MAX_RECORD_BYTES)
            return PublishOutcome.NotAppended(id, reason)
        }
        // Avoids appending a record that would be rejected: the state is at the end of the log.
        start.rejectionOf(change)?.let { return PublishOutcome.Rejected(id, it) }
        if (value.isNullOrEmpty() && start.isEmptyAt(path)) {
            return PublishOutcome.Rejected(id, Rejection.NothingToRemove(path))
        }
        val deadlineMillis = clock.monotonicMillis() + decisionTimeout.inWholeMilliseconds
        return when (val appended = append(payload)) {
            is Append.Done -> {
                awaitDecision(
                    start,
                    PendingChange(id, start.lastOffset),
                    appended.offset,
                    deadlineMillis
                )
            }

            is Append.Uncertain -> resolve(
                start,
                PendingChange(id, start.lastOffset),
                deadlineMillis
            )

            is Append.Failed -> PublishOutcome.NotAppended(id, appended.reason)
        }
    }

    /** Returns the fate of the change [id] according to the current end of the log. */
    public suspend fun fate(id: ChangeId): FateReport {
        val known = state()
        known.fate(id)?.let { return FateReport.Decided(it) }
        val read = readToEnd(known).getOrElse { return FateReport.LogUnavailable(it.toString()) }
        val fate = read.fate(id)
        return if (fate !=
            null
        ) {
            FateReport.Decided(fate)
        } else {
            FateReport.NotSeen(read.lastOffset, read.idHorizon)
        }
    }

    /** Determines the fate of an undecided change, or withdraws it if it is not in the log. */
    public suspend fun withdraw(undecided: PublishOutcome.Undecided): PublishOutcome {
        val deadlineMillis = clock.monotonicMillis() + decisionTimeout.inWholeMilliseconds
        return resolve(state(), PendingChange(undecided.id, undecided.knownOffset), deadlineMillis)
    }

    /** A change to be decided and the last offset read before it was appended. */
    private class PendingChange(val id: ChangeId, val knownOffset: Long) {
        fun undecided(reason: String) = PublishOutcome.Undecided(id, knownOffset, reason)
    }

    /** The result of an append; [Uncertain] if the record may or may not have been stored. */
    private sealed interface Append {
        class Done(val offset: Long) : Append

        data object Uncertain : Append

        class Failed(val reason: NotAppendedReason) : Append
    }

    private suspend fun append(payload: ByteArray): Append {
        val result = log.append(stream, payload)
        if (result.isOk) return Append.Done(result.value)
        return when (val e = result.error) {
            is LogError.Unavailable -> Append.Failed(NotAppendedReason.LogUnavailable(e.reason))
            is LogError.Rejected -> Append.Failed(NotAppendedReason.Refused(e.reason))
            is LogError.Uncertain, is LogError.Truncated -> Append.Uncertain
        }
    }

    /** Reads the log until the record at [offset] is applied or [deadlineMillis] has passed. */
    private suspend fun awaitDecision(
        start: SettingsState,
        pending: PendingChange,
        offset: Long,
        deadlineMillis: Long
    ): PublishOutcome {
        var s = start
        var reason = "the log was not readable"
        while (true) {
            outcomeOf(pending, s)?.let { return it }
            if (s.lastOffset >= offset) {
                // Happens only if the log lost an acknowledged record.
                return pending.undecided("the log no longer has the record at $offset")
            }
            val read = readToEnd(s)
            if (read.isOk) s = read.value else reason = read.error.toString()
            if (read.isErr || s.lastOffset < offset) {
                if (clock.monotonicMillis() >= deadlineMillis) {
                    return pending.undecided(reason)
                }
                pause(RETRY_DELAY)
            }
        }
    }

    /** Reads the change back or withdraws it until [deadlineMillis]; withdrawals are idempotent. */
    private suspend fun resolve(
        start: SettingsState,
        pending: PendingChange,
        deadlineMillis: Long
    ): PublishOutcome {
        var s = start
        val payload = RecordCodec.encode(Withdraw(pending.id))
        while (true) {
            val read = readToEnd(s)
            if (read.isOk) {
                s = read.value
                outcomeOf(pending, s)?.let { return it }
                Logger.info {
                    "settings: withdrawing change ${pending.id}: append not acknowledged"
                }
                val withdrawn = append(payload)
                if (withdrawn is Append.Done) {
                    return awaitDecision(s, pending, withdrawn.offset, deadlineMillis)
                }
            }
            if (clock.monotonicMillis() >= deadlineMillis) {
                return pending.undecided("the log was not available throughout")
            }
            pause(RETRY_DELAY)
        }
    }

    private fun outcomeOf(pending: PendingChange, s: SettingsState): PublishOutcome? {
        val id = pending.id
        val isPossiblyEvicted = pending.knownOffset < s.idHorizon
        return when (val fate = s.fate(id)) {
            is Fate.Accepted -> PublishOutcome.Accepted(id, fate.version)

            is Fate.Rejected -> PublishOutcome.Rejected(id, fate.reason)

            // The withdrawal is inconclusive if an earlier fate of the id may have been evicted.
            is Fate.Withdrawn if !isPossiblyEvicted ->
                PublishOutcome.Rejected(id, Rejection.Withdrawn(fate.offset))

            else -> if (isPossiblyEvicted) {
                pending.undecided("ids of that age are forgotten")
            } else {
                null
            }
        }
    }

    /** Returns the state after all records of the log have been applied to [from]. */
    private suspend fun readToEnd(from: SettingsState): Result<SettingsState, LogError> {
        var s = from
        while (true) {
            val read = log.readContiguous(stream, s.lastOffset + 1, PAGE_RECORDS, Duration.ZERO)
            if (read.isErr) {
                // The store may have loaded a snapshot from after the truncation point.
                val newer = state()
                if (read.error !is LogError.Truncated || newer.lastOffset <= s.lastOffset) {
                    return Err(read.error)
                }
                s = newer
                continue
            }
            val batch = read.value
            for (r in batch.records) s = s.apply(r).state
            if (s.lastOffset + 1 >= batch.next || batch.records.isEmpty()) return Ok(s)
        }
    }

    private fun newId() = ChangeId(random.nextBytes(ID_BYTES).toHex())

    private companion object {
        const val ID_BYTES = 16
        const val PAGE_RECORDS = 16
        val RETRY_DELAY = 200.milliseconds
    }
}

/** The outcome of a publish. */
public sealed interface PublishOutcome {
    /** The id of the change. */
    public val id: ChangeId

    /** The change is applied as [version]. */
    public data class Accepted(override val id: ChangeId, val version: Long) : PublishOutcome

    /** The change is rejected permanently; a conflict names its [Rejection.Conflict.winner]. */
    public data class Rejected(override val id: ChangeId, val reason: Rejection) : PublishOutcome

    /**
     * The change may have been applied or may still be. Query it with [SettingsPublisher.fate] or
     * call [SettingsPublisher.withdraw]. [knownOffset] is the last offset read before the append.
     */
    public data class Undecided(
        override val id: ChangeId,
        val knownOffset: Long,
        val reason: String
    ) : PublishOutcome

    /** The change is not in the log and cannot appear there later. */
    public data class NotAppended(override val id: ChangeId, val reason: NotAppendedReason) :
        PublishOutcome
}

/** The reason why a change was not appended. */
public sealed interface NotAppendedReason {
    /** The log is not reachable; a retry may succeed. */
    public data class LogUnavailable(val reason: String) : NotAppendedReason

    /** The log rejected the record. */
    public data class Refused(val reason: String) : NotAppendedReason

    /** The record of [bytes] exceeds [limitBytes]; the change must be split. */
    public data class TooLarge(val bytes: Int, val limitBytes: Int) : NotAppendedReason
}

/** The result of a query for the fate of a change. */
public sealed interface FateReport {
    /** The fate is final. */
    public data class Decided(val fate: Fate) : FateReport

    /**
     * The change is not in the log up to offset [lastOffset], but may still arrive unless it was
     * withdrawn. The fate of a change whose known offset is before [idHorizon] may be lost.
     */
    public data class NotSeen(val lastOffset: Long, val idHorizon: Long) : FateReport

    /** The local state does not include the change, and the log cannot be read. */
    public data class LogUnavailable(val reason: String) : FateReport
}
