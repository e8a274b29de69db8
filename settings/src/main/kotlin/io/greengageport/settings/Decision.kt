package io.greengageport.settings

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The effect of one log record under the publish rule. */
public sealed interface Decision {
    /** The change is applied; [version] is the new version of the tree and of the path. */
    public data class Accepted(val id: ChangeId, val version: Long) : Decision

    /** The change has no effect. This decision is final. */
    public data class Rejected(val id: ChangeId, val reason: Rejection) : Decision

    /** The change [id] is rejected if it is appended later. */
    public data class Withdrawn(val id: ChangeId) : Decision

    /** The withdrawal has no effect because the change was already decided or withdrawn. */
    public data class WithdrawnTooLate(val id: ChangeId) : Decision

    /** Part [index] of the [count] parts of the snapshot at offset [through]. */
    public data class Snapshot(val through: Long, val index: Int, val count: Int) : Decision

    /** The record cannot be decoded and has no effect. */
    public data class Malformed(val reason: String) : Decision

    /** The record was already applied. */
    public data object AlreadyApplied : Decision
}

/** The reason for the rejection of a change. */
@Serializable
public sealed interface Rejection {
    /** A change with the same id was already decided by the record at [offset]. */
    @Serializable
    @SerialName("duplicate")
    public data class Duplicate(val offset: Long) : Rejection

    /** The change was withdrawn by the record at [offset]. */
    @Serializable
    @SerialName("withdrawn")
    public data class Withdrawn(val offset: Long) : Rejection

    /**
     * The publisher had read up to [knownOffset] only, which is before [horizon]. Ids up to the
     * horizon are no longer stored, so the change may be a duplicate.
     */
    @Serializable
    @SerialName("too_old")
    public data class TooOld(val knownOffset: Long, val horizon: Long) : Rejection

    /** No access document grants the author's key write access to the path. */
    @Serializable
    @SerialName("not_granted")
    public data class NotGranted(val author: String, val path: SettingsPath) : Rejection

    /** The path does not exist in the schema of the tree. */
    @Serializable
    @SerialName("invalid_path")
    public data class InvalidPath(val path: SettingsPath) : Rejection

    /**
     * The path is at [version] instead of [baseVersion] because another change was applied first.
     * [winner] is that change, or null if it is no longer in the history.
     */
    @Serializable
    @SerialName("conflict")
    public data class Conflict(
        val path: SettingsPath,
        val baseVersion: Long,
        val version: Long,
        val winner: Winner?
    ) : Rejection

    /**
     * A removal of a path at or below which no document exists. The publisher rejects it before it
     * appends, so that readers of all program versions apply the same rule to the log. If two
     * removals of a path are appended, the second one is rejected for its outdated base version.
     */
    @Serializable
    @SerialName("nothing_to_remove")
    public data class NothingToRemove(val path: SettingsPath) : Rejection

    /** The resulting tree would be invalid; lists at most ten problems. */
    @Serializable
    @SerialName("invalid")
    public data class Invalid(val problems: List<Problem>) : Rejection
}

/** The change that caused a conflict. */
@Serializable
public data class Winner(val id: ChangeId, val author: String, val path: SettingsPath)

/** The final result of a change as recorded in a state. */
@Serializable
public sealed interface Fate {
    /** Accepted by the record at [version]. */
    @Serializable
    @SerialName("accepted")
    public data class Accepted(val version: Long) : Fate

    /** Rejected by the record at [offset]. */
    @Serializable
    @SerialName("rejected")
    public data class Rejected(val offset: Long, val reason: Rejection) : Fate

    /** Withdrawn at [offset] before it was decided; it can no longer take effect. */
    @Serializable
    @SerialName("withdrawn")
    public data class Withdrawn(val offset: Long) : Fate
}
