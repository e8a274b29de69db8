package io.greengageport.settings

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What the publish rule made of one record. */
public sealed interface Decision {
    /** The change is in force; [version] is the new version of the tree and of the path. */
    public data class Accepted(val id: ChangeId, val version: Long) : Decision

    /** The change has no effect, now and later. */
    public data class Rejected(val id: ChangeId, val reason: Rejection) : Decision

    /** The change [id] will be rejected should it be appended later. */
    public data class Withdrawn(val id: ChangeId) : Decision

    /** A withdrawal that came after the change was decided or withdrawn. */
    public data class WithdrawnTooLate(val id: ChangeId) : Decision

    /** A part of the snapshot as of offset [through]. */
    public data class Snapshot(val through: Long, val index: Int, val count: Int) : Decision

    /** The record cannot be read and has no effect. */
    public data class Malformed(val reason: String) : Decision

    /** The record was folded before. */
    public data object AlreadyApplied : Decision
}

/** Why a change was rejected. */
@Serializable
public sealed interface Rejection {
    /** The id was decided before, by the record at [offset]. */
    @Serializable
    @SerialName("duplicate")
    public data class Duplicate(val offset: Long) : Rejection

    /** The change was withdrawn by the record at [offset]. */
    @Serializable
    @SerialName("withdrawn")
    public data class Withdrawn(val offset: Long) : Rejection

    /** The publisher knew less than [horizon], up to which ids are forgotten. */
    @Serializable
    @SerialName("too_old")
    public data class TooOld(val knownOffset: Long, val horizon: Long) : Rejection

    /** No access document grants the path to the author's key. */
    @Serializable
    @SerialName("not_granted")
    public data class NotGranted(val author: String, val path: SettingsPath) : Rejection

    /** The path is not one that the tree can have. */
    @Serializable
    @SerialName("invalid_path")
    public data class InvalidPath(val path: SettingsPath) : Rejection

    /** Another change won: the path is at [version], set by [winner] if it is still remembered. */
    @Serializable
    @SerialName("conflict")
    public data class Conflict(
        val path: SettingsPath,
        val baseVersion: Long,
        val version: Long,
        val winner: Winner?
    ) : Rejection

    /**
     * A removal where nothing lies at or below [path]. The publisher refuses it before it appends,
     * so that the rule of the fold is the same for readers of any program version; a removal that
     * comes second in the log has a base version that no longer fits.
     */
    @Serializable
    @SerialName("nothing_to_remove")
    public data class NothingToRemove(val path: SettingsPath) : Rejection

    /** The tree would be invalid; at most ten problems are kept. */
    @Serializable
    @SerialName("invalid")
    public data class Invalid(val problems: List<Problem>) : Rejection
}

/** The change that won a race. */
@Serializable
public data class Winner(val id: ChangeId, val author: String, val path: SettingsPath)

/** What became of a change, as far as a state knows. */
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

    /** Withdrawn at [offset] before it was decided; it surely never takes effect. */
    @Serializable
    @SerialName("withdrawn")
    public data class Withdrawn(val offset: Long) : Fate
}
