package io.greengageport.settings

import com.github.michaelbull.result.getOrElse
import io.greengageport.ports.LogRecord

/**
 * The state of the settings, computed by the publish rule as a pure fold over the log stream
 * `settings`.
 *
 * The state at offset [lastOffset] is the same for all readers, whether they applied all records or
 * started from a snapshot. [version] is the offset of the last accepted change.
 *
 * ```
 * val (next, decision) = SettingsState.EMPTY.apply(record)
 * ```
 */
public class SettingsState internal constructor(
    internal val tree: SettingsTree,
    public val version: Long,
    public val lastOffset: Long,
    internal val versions: PathVersions,
    internal val ids: ChangeIds,
    internal val history: History
) {
    /** Hash of all documents. */
    public val hash: TreeHash get() = tree.hash

    /** Ids of changes whose known offset is before this offset may have been evicted. */
    public val idHorizon: Long get() = ids.horizon

    /** Returns the base version for a change of [path]. */
    public fun pathVersion(path: SettingsPath): Long = versions.versionOf(path, tree)

    /** Returns whether there is no document at or below [path]. */
    internal fun isEmptyAt(path: SettingsPath): Boolean = tree.documentsUnder(path).isEmpty()

    /** Returns the fate of the change [id], or null if it is unknown. */
    public fun fate(id: ChangeId): Fate? = ids[id]

    /** Applies one record. Records must be applied in the order of their offsets. */
    public fun apply(record: LogRecord): Applied {
        if (record.offset <= lastOffset) return Applied(this, Decision.AlreadyApplied)
        val decoded = RecordCodec.decode(record.payload)
            .getOrElse { return Applied(advanceTo(record.offset), Decision.Malformed(it)) }
        return when (decoded) {
            is Change -> applyChange(decoded, record)

            is Withdraw -> applyWithdrawal(decoded.id, record.offset)

            is SnapshotPart -> Applied(
                advanceTo(record.offset),
                Decision.Snapshot(decoded.lastOffset, decoded.index, decoded.count)
            )
        }
    }

    /** Returns why [change] would be rejected as the next record, or null if accepted. */
    public fun rejectionOf(change: Change): Rejection? = evaluate(change).rejection

    private fun applyWithdrawal(id: ChangeId, offset: Long): Applied {
        if (ids[id] != null) return Applied(advanceTo(offset), Decision.WithdrawnTooLate(id))
        val next = advanceTo(offset, ids = ids.plus(id, Fate.Withdrawn(offset)))
        return Applied(next, Decision.Withdrawn(id))
    }

    private fun applyChange(c: Change, record: LogRecord): Applied {
        val offset = record.offset
        val evaluation = evaluate(c)
        val reason = evaluation.rejection
        if (reason != null) {
            // A duplicate record must not replace the first fate of its id.
            val next = if (ids[c.id] != null) ids else ids.plus(c.id, Fate.Rejected(offset, reason))
            return Applied(advanceTo(offset, ids = next), Decision.Rejected(c.id, reason))
        }
        val tree = checkNotNull(evaluation.tree)
        val value = c.value?.takeIf { it.isNotEmpty() }
        val entry = HistoryEntry(
            version = offset,
            appendedAtMillis = record.appendedAtMillis,
            id = c.id,
            author = c.author.name,
            path = c.path,
            value = value,
            size = record.payload.size
        )
        val next = SettingsState(
            tree = tree,
            version = offset,
            lastOffset = offset,
            versions = versions.withChange(c.path, offset, this.tree, tree),
            ids = ids.plus(c.id, Fate.Accepted(offset)),
            history = history.plus(entry)
        )
        return Applied(next, Decision.Accepted(c.id, offset))
    }

    private class Evaluation(val rejection: Rejection?, val tree: SettingsTree?)

    private fun evaluate(c: Change): Evaluation {
        val earlyRejection = idRejection(c) ?: accessRejection(c) ?: conflictRejection(c)
        if (earlyRejection != null) return Evaluation(earlyRejection, null)
        val changed = tree.replace(c.path, c.value.orEmpty())
        if (changed.problems.isEmpty()) return Evaluation(null, changed.tree)
        return Evaluation(Rejection.Invalid(changed.problems.take(MAX_PROBLEMS)), null)
    }

    private fun idRejection(c: Change): Rejection? = when (val fate = ids[c.id]) {
        is Fate.Withdrawn -> Rejection.Withdrawn(fate.offset)
        is Fate.Accepted, is Fate.Rejected -> Rejection.Duplicate(fate.offset)
        null -> Rejection.TooOld(c.knownOffset, ids.horizon).takeIf { c.knownOffset < ids.horizon }
    }

    private fun accessRejection(c: Change): Rejection? {
        if (!c.path.isValid) return Rejection.InvalidPath(c.path)
        val all = tree.documentsUnder(SettingsPath("access")).values.map { it as AccessSettings }
        val isGranted = all.isEmpty() ||
            all.any { a -> c.author.keyHash in a.keyHashes && a.prefixes.any { it.covers(c.path) } }
        return if (isGranted) null else Rejection.NotGranted(c.author.name, c.path)
    }

    private fun conflictRejection(c: Change): Rejection? {
        val actual = pathVersion(c.path)
        if (actual == c.baseVersion) return null
        val winner = history.changeAt(actual)?.let { Winner(it.id, it.author, it.path) }
        return Rejection.Conflict(c.path, c.baseVersion, actual, winner)
    }

    private fun advanceTo(offset: Long, ids: ChangeIds = this.ids) =
        SettingsState(tree, version, offset, versions, ids, history)

    public companion object {
        private const val MAX_PROBLEMS = 10

        /** The state before the first record. */
        public val EMPTY: SettingsState = SettingsState(
            tree = SettingsTree.EMPTY,
            version = 0,
            lastOffset = 0,
            versions = PathVersions.EMPTY,
            ids = ChangeIds.EMPTY,
            history = History.EMPTY
        )
    }
}

/** The state after a record and the decision about the record. */
public data class Applied(val state: SettingsState, val decision: Decision)
