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
 * Publishes changes and finds out what became of them.
 *
 * A change is appended at most once. If the acknowledgement is lost and the change cannot be read
 * back, it is withdrawn, after which the publish rule rejects it even if it arrives later.
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
    private val decideWithin: Duration = 30.seconds,
    private val random: Random = Random.Default,
    private val pause: suspend (Duration) -> Unit = { delay(it) }
) {
    /**
     * Replaces all that lies at or below [path] by [value], or removes it if [value] is null.
     *
     * [baseVersion] is the version of the path that the author saw. [id] can be given by callers
     * that want to be able to ask for the fate of a change after a crash; it must be new.
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
        val change = Change(id, author, path, baseVersion, start.through, value)
        val payload = RecordCodec.encode(change)
        if (payload.size > RecordCodec.MAX_RECORD_BYTES) {
            val reason = NotAppendedReason.TooLarge(payload.size, RecordCodec.MAX_RECORD_BYTES)
            return PublishOutcome.NotAppended(id, reason)
        }
        // Spares the log a record that would be rejected; the state here is at the log's end.
        start.rejectionOf(change)?.let { return PublishOutcome.Rejected(id, it) }
        if (value.isNullOrEmpty() && start.isEmptyAt(path)) {
            return PublishOutcome.Rejected(id, Rejection.NothingToRemove(path))
        }
        val deadline = clock.monotonicMillis() + decideWithin.inWholeMilliseconds
        return when (val appended = appended(payload)) {
            is Append.Done -> {
                settle(start, Sought(id, start.through), appended.offset, deadline)
            }

            is Append.Maybe -> resolve(start, Sought(id, start.through), deadline)

            is Append.Not -> PublishOutcome.NotAppended(id, appended.reason)
        }
    }

    /** What became of the change [id], as far as the log tells now. */
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
            FateReport.NotSeen(read.through, read.idHorizon)
        }
    }

    /** Decides an undecided change: finds out its fate or rejects it for good. */
    public suspend fun withdraw(undecided: PublishOutcome.Undecided): PublishOutcome {
        val deadline = clock.monotonicMillis() + decideWithin.inWholeMilliseconds
        return resolve(state(), Sought(undecided.id, undecided.knownOffset), deadline)
    }

    /** A change and the last offset that was known before it was appended. */
    private class Sought(val id: ChangeId, val knownOffset: Long) {
        fun undecided(reason: String) = PublishOutcome.Undecided(id, knownOffset, reason)
    }

    private sealed interface Append {
        class Done(val offset: Long) : Append

        data object Maybe : Append

        class Not(val reason: NotAppendedReason) : Append
    }

    private suspend fun appended(payload: ByteArray): Append {
        val result = log.append(stream, payload)
        if (result.isOk) return Append.Done(result.value)
        return when (val e = result.error) {
            is LogError.Unavailable -> Append.Not(NotAppendedReason.LogUnavailable(e.reason))
            is LogError.Rejected -> Append.Not(NotAppendedReason.Refused(e.reason))
            is LogError.Uncertain, is LogError.Truncated -> Append.Maybe
        }
    }

    /** Reads on until the record at [offset] is folded. */
    private suspend fun settle(
        start: SettingsState,
        sought: Sought,
        offset: Long,
        deadline: Long
    ): PublishOutcome {
        var s = start
        var reason = "the log was not readable"
        while (true) {
            outcome(sought, s)?.let { return it }
            if (s.through >= offset) {
                // Only if the log lost a record that it had acknowledged.
                return sought.undecided("the log no longer has the record at $offset")
            }
            val read = readToEnd(s)
            if (read.isOk) s = read.value else reason = read.error.toString()
            if (read.isErr || s.through < offset) {
                if (clock.monotonicMillis() >= deadline) {
                    return sought.undecided(reason)
                }
                pause(RETRY_DELAY)
            }
        }
    }

    /** Reads back, then withdraws, as often as needed: withdrawals may be repeated. */
    private suspend fun resolve(
        start: SettingsState,
        sought: Sought,
        deadline: Long
    ): PublishOutcome {
        var s = start
        val payload = RecordCodec.encode(Withdraw(sought.id))
        while (true) {
            val read = readToEnd(s)
            if (read.isOk) {
                s = read.value
                outcome(sought, s)?.let { return it }
                Logger.info {
                    "settings: withdrawing change ${sought.id} after a lost acknowledgement"
                }
                val withdrawn = appended(payload)
                if (withdrawn is Append.Done) {
                    return settle(s, sought, withdrawn.offset, deadline)
                }
            }
            if (clock.monotonicMillis() >= deadline) {
                return sought.undecided("the log was not available throughout")
            }
            pause(RETRY_DELAY)
        }
    }

    private fun outcome(sought: Sought, s: SettingsState): PublishOutcome? {
        val id = sought.id
        val isForgotten = sought.knownOffset < s.idHorizon
        return when (val fate = s.fate(id)) {
            is Fate.Accepted -> PublishOutcome.Accepted(id, fate.version)

            is Fate.Rejected -> PublishOutcome.Rejected(id, fate.reason)

            // A withdrawal says nothing if an earlier fate of the id may have been forgotten.
            is Fate.Withdrawn if !isForgotten ->
                PublishOutcome.Rejected(id, Rejection.Withdrawn(fate.offset))

            else -> if (isForgotten) sought.undecided("ids of that age are forgotten") else null
        }
    }

    private suspend fun readToEnd(from: SettingsState): Result<SettingsState, LogError> {
        var s = from
        while (true) {
            val read = log.readFrom(stream, s.through + 1, PAGE_RECORDS, Duration.ZERO)
            if (read.isErr) {
                // The store may have gone past the truncation point by a snapshot.
                val newer = state()
                if (read.error !is LogError.Truncated || newer.through <= s.through) {
                    return Err(read.error)
                }
                s = newer
                continue
            }
            val batch = read.value
            for (r in batch.records) s = s.apply(r).state
            if (s.through + 1 >= batch.next || batch.records.isEmpty()) return Ok(s)
        }
    }

    private fun newId() = ChangeId(random.nextBytes(ID_BYTES).toHex())

    private companion object {
        const val ID_BYTES = 16
        const val PAGE_RECORDS = 16
        val RETRY_DELAY = 200.milliseconds
    }
}

/** What became of a change that was to be published. */
public sealed interface PublishOutcome {
    /** The change. */
    public val id: ChangeId

    /** In force from [version] on. */
    public data class Accepted(override val id: ChangeId, val version: Long) : PublishOutcome

    /** Not in force, for good; after a race [Rejection.Conflict.winner] tells which change won. */
    public data class Rejected(override val id: ChangeId, val reason: Rejection) : PublishOutcome

    /**
     * May be or come in force; ask later by [SettingsPublisher.fate] or decide by
     * [SettingsPublisher.withdraw]. [knownOffset] is the last offset known before the append.
     */
    public data class Undecided(
        override val id: ChangeId,
        val knownOffset: Long,
        val reason: String
    ) : PublishOutcome

    /** Surely not in the log. */
    public data class NotAppended(override val id: ChangeId, val reason: NotAppendedReason) :
        PublishOutcome
}

/** Why nothing was appended. */
public sealed interface NotAppendedReason {
    /** The log cannot be reached; a later attempt may succeed. */
    public data class LogUnavailable(val reason: String) : NotAppendedReason

    /** The log refuses the record. */
    public data class Refused(val reason: String) : NotAppendedReason

    /** The record has [bytes], more than [limitBytes]; split the change. */
    public data class TooLarge(val bytes: Int, val limitBytes: Int) : NotAppendedReason
}

/** Answer to a question for the fate of a change. */
public sealed interface FateReport {
    /** The fate is final. */
    public data class Decided(val fate: Fate) : FateReport

    /**
     * Not in the log up to offset [through]; it may still arrive unless it was withdrawn. The fate
     * of a change whose publisher knew less than [idHorizon] may have been forgotten.
     */
    public data class NotSeen(val through: Long, val idHorizon: Long) : FateReport

    /** Nothing is known here, and the log cannot be asked. */
    public data class LogUnavailable(val reason: String) : FateReport
}
