package io.greengageport.gateway.port

import com.github.michaelbull.result.Result
import io.greengageport.common.DataCentre
import io.greengageport.common.HostPort
import io.greengageport.common.InstanceId
import io.greengageport.gateway.model.BackendServer
import io.greengageport.gateway.model.Configuration

/** The parts of the platform's store that an instance uses. */
public interface PlatformStore {
    /** The operators' configurations; only the newest is in force. */
    public val configurations: ChangeFeed<Configuration>

    /** The registered backend servers by id. */
    public val backendServers: ChangeFeed<BackendServer>

    /** The instances of this system and the duties assigned to them. */
    public val duties: DutyGroup

    /** The epoch of the store's history, as its responses state it. */
    public val epoch: StoreEpoch
}

/**
 * A table of the store, read once as a snapshot and then followed through its changes.
 *
 * Positions are [EpochNumber]s: all positions after a restore of the store are higher than those
 * before it.
 */
public interface ChangeFeed<T> {
    /** Reads all current entries and the position that follows them. */
    public suspend fun snapshot(): Result<ChangeBatch<T>, StoreError>

    /**
     * Reads the changes from [position] on (long poll). Returns as soon as there is a change, and
     * with an empty batch after [waitMillis]. Fails with [StoreError.HistoryLost] if [position] is
     * of an earlier epoch.
     */
    public suspend fun changes(position: Long, waitMillis: Long): Result<ChangeBatch<T>, StoreError>
}

/**
 * Changes in order; [nextPosition] is the position at which the next read starts. [isComplete]
 * tells whether the table had no further changes at the time of the read.
 */
public data class ChangeBatch<T>(
    val changes: List<Change<T>>,
    val nextPosition: Long,
    val isComplete: Boolean = true
)

/** A change of one entry; of two changes, the later one has the higher [position]. */
public sealed interface Change<out T> {
    public val key: String
    public val position: Long

    /** The entry was set to [value]. */
    public data class Put<T>(
        override val key: String,
        val value: T,
        override val position: Long = 0
    ) : Change<T>

    /** The entry was removed. */
    public data class Removed(override val key: String, override val position: Long = 0) :
        Change<Nothing>

    /** The entry does not conform to the format and cannot be decoded. */
    public data class Unreadable(
        override val key: String,
        val reason: String,
        override val position: Long = 0
    ) : Change<Nothing>
}

/** The group of live instances to which the store assigns numbered duties. */
public interface DutyGroup {
    /**
     * Joins the group or renews the membership. [lastGeneration] is the generation of the last
     * response, or 0 before the first. An instance that does not renew within
     * [DutyAssignment.timeToLiveMillis] loses its duties.
     */
    public suspend fun renew(lastGeneration: Long): Result<DutyAssignment, StoreError>

    /** Releases all duties before a planned stop. */
    public suspend fun leave(): Result<Unit, StoreError>

    /** Reads the instances that hold duties and their addresses for peers. */
    public suspend fun holders(): Result<Map<InstanceId, MemberAddress>, StoreError>
}

/** The address of an instance for its peers, and its data centre. */
public data class MemberAddress(val address: HostPort, val dataCentre: DataCentre)

/**
 * The duties of this instance. [generation] increases with each change in the group and is the
 * fencing token of operations performed for a duty. It is an [EpochNumber]: it also increases when
 * the store is restored.
 */
public data class DutyAssignment(
    val generation: Long,
    val duties: Set<Int>,
    val timeToLiveMillis: Long
)

/** Why a call to the store failed. */
public sealed interface StoreError {
    /** No response, or an inconclusive one: a write may have been applied or may still be. */
    public data class NoResponse(val reason: String) : StoreError

    /** The store states that it did not execute the call: it is down or over its rate limit. */
    public data class Refused(val status: Int) : StoreError

    /**
     * The requested changes are no longer retained, or their position is of an earlier epoch; a
     * snapshot must be read instead.
     */
    public data object HistoryLost : StoreError

    /** The response does not conform to the format. */
    public data class Malformed(val reason: String) : StoreError
}
