package io.greengageport.settings

import com.github.michaelbull.result.getOrElse
import io.greengageport.ports.LogRecord

/**
 * The publish rule as a pure fold over the log stream `settings`.
 *
 * The state after offset [through] is the same at every reader, whether it folded all records or
 * started from a snapshot. [version] is the offset of the last accepted change.
 *
 * ```
 * val (next, decision) = SettingsState.EMPTY.apply(record)
 * ```
 */
public class SettingsState internal constructor(
    internal val tree: SettingsTree,
    public val version: Long,
    public val through: Long,
    internal val versions: PathVersions,
    internal val ids: ChangeIds,
    internal val history: History
) {
    /** Hash of all documents. */
    public val hash: TreeHash get() = tree.hash

    /** Ids of changes whose publishers knew less than this offset may have been forgotten. */
    public val idHorizon: Long get() = ids.horizon

    /** The version to base a change of [path] on. */
    public fun pathVersion(path: SettingsPath): Long = versions.of(path, tree)

    /** Whether no document lies at or below [path]. */
    internal fun isEmptyAt(path: SettingsPath): Boolean = tree.under(path).isEmpty()

    /** What became of the change [id], or null if it was not seen up to [through]. */
    public fun fate(id: ChangeId): Fate? = ids[id]

    /** Applies one record; records are applied in the order of their offsets. */
    public fun apply(record: LogRecord): Applied {
        if (record.offset <= through) return Applied(this, Decision.AlreadyApplied)
        val decoded = RecordCodec.decode(record.payload)
            .getOrElse { return Applied(advanced(record.offset), Decision.Malformed(it)) }
        return when (decoded) {
            is Change -> change(decoded, record)

            is Withdraw -> withdraw(decoded.id, record.offset)

            is SnapshotPart -> Applied(
                advanced(record.offset),
                Decision.Snapshot(decoded.through, decoded.index, decoded.count)
            )
        }
    }

    /** Why [change] would be rejected by the next record, or null if it would be accepted. */
    public fun rejectionOf(change: Change): Rejection? = judge(change).rejection

    private fun withdraw(id: ChangeId, offset: Long): Applied {
        if (ids[id] != null) return Applied(advanced(offset), Decision.WithdrawnTooLate(id))
        val next = advanced(offset, ids = ids.plus(id, Fate.Withdrawn(offset)))
        return Applied(next, Decision.Withdrawn(id))
    }

    private fun change(c: Change, record: LogRecord): Applied {
        val offset = record.offset
        val judged = judge(c)
        val reason = judged.rejection
        if (reason != null) {
            // The first fate of an id stays; a repeated record must not replace it.
            val next = if (ids[c.id] != null) ids else ids.plus(c.id, Fate.Rejected(offset, reason))
            return Applied(advanced(offset, ids = next), Decision.Rejected(c.id, reason))
        }
        val tree = checkNotNull(judged.tree)
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
            through = offset,
            versions = versions.changed(c.path, offset, this.tree, tree),
            ids = ids.plus(c.id, Fate.Accepted(offset)),
            history = history.plus(entry)
        )
        return Applied(next, Decision.Accepted(c.id, offset))
    }

    private class Judged(val rejection: Rejection?, val tree: SettingsTree?)

    private fun judge(c: Change): Judged {
        val early = idRejection(c) ?: accessRejection(c) ?: conflict(c)
        if (early != null) return Judged(early, null)
        val changed = tree.replace(c.path, c.value.orEmpty())
        if (changed.problems.isEmpty()) return Judged(null, changed.tree)
        return Judged(Rejection.Invalid(changed.problems.take(MAX_PROBLEMS)), null)
    }

    private fun idRejection(c: Change): Rejection? = when (val fate = ids[c.id]) {
        is Fate.Withdrawn -> Rejection.Withdrawn(fate.offset)
        is Fate.Accepted, is Fate.Rejected -> Rejection.Duplicate(fate.offset)
        null -> Rejection.TooOld(c.knownOffset, ids.horizon).takeIf { c.knownOffset < ids.horizon }
    }

    private fun accessRejection(c: Change): Rejection? {
        if (!c.path.isValid) return Rejection.InvalidPath(c.path)
        val all = tree.under(SettingsPath("access")).values.map { it as AccessSettings }
        val granted = all.isEmpty() ||
            all.any { a -> c.author.keyHash in a.keyHashes && a.prefixes.any { it.covers(c.path) } }
        return if (granted) null else Rejection.NotGranted(c.author.name, c.path)
    }

    private fun conflict(c: Change): Rejection? {
        val actual = pathVersion(c.path)
        if (actual == c.baseVersion) return null
        val winner = history.at(actual)?.let { Winner(it.id, it.author, it.path) }
        return Rejection.Conflict(c.path, c.baseVersion, actual, winner)
    }

    private fun advanced(offset: Long, ids: ChangeIds = this.ids) =
        SettingsState(tree, version, offset, versions, ids, history)

    public companion object {
        private const val MAX_PROBLEMS = 10

        /** The state before the first record. */
        public val EMPTY: SettingsState = SettingsState(
            tree = SettingsTree.EMPTY,
            version = 0,
            through = 0,
            versions = PathVersions.EMPTY,
            ids = ChangeIds.EMPTY,
            history = History.EMPTY
        )
    }
}

/** The state after a record and what the rule made of the record. */
public data class Applied(val state: SettingsState, val decision: Decision)
