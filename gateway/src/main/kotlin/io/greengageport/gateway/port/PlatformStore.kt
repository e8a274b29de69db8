package io.greengageport.gateway.port

import com.github.michaelbull.result.Result
import io.greengageport.common.DataCentre
import io.greengageport.common.HostPort
import io.greengageport.common.InstanceId
import io.greengageport.gateway.model.BackendServer
import io.greengageport.gateway.model.Configuration

/** The platform's store, as far as an instance uses it. */
public interface PlatformStore {
    /** The operators' configurations; only the newest counts. */
    public val configurations: ChangeFeed<Configuration>

    /** The registered backend servers by id. */
    public val backendServers: ChangeFeed<BackendServer>

    /** The instances of this system and their share of its duties. */
    public val duties: DutyGroup
}

/** A table of the store that is read whole once and followed by its changes from then on. */
public interface ChangeFeed<T> {
    /** All entries of now, with the position after them. */
    public suspend fun snapshot(): Result<ChangeBatch<T>, StoreError>

    /**
     * Changes from [position] on. Answers as soon as there is one, and at the latest after
     * [waitMillis] with none.
     */
    public suspend fun changes(position: Long, waitMillis: Long): Result<ChangeBatch<T>, StoreError>
}

/** Changes in order; the next ones start at [next]. */
public data class ChangeBatch<T>(val changes: List<Change<T>>, val next: Long)

/** A change of one entry; [position] tells which of two changes came later. */
public sealed interface Change<out T> {
    public val key: String
    public val position: Long

    /** The entry has [value] now. */
    public data class Put<T>(
        override val key: String,
        val value: T,
        override val position: Long = 0
    ) : Change<T>

    /** The entry is gone. */
    public data class Removed(override val key: String, override val position: Long = 0) :
        Change<Nothing>

    /** The entry was written by somebody who does not keep the format. */
    public data class Unreadable(
        override val key: String,
        val reason: String,
        override val position: Long = 0
    ) : Change<Nothing>
}

/** The group of live instances among which the store deals out numbered duties. */
public interface DutyGroup {
    /**
     * Joins, or stays in, the group. [lastGeneration] is that of the last answer, 0 at first. An
     * instance that is silent for [DutyShare.timeToLiveMillis] loses its duties.
     */
    public suspend fun renew(lastGeneration: Long): Result<DutyShare, StoreError>

    /** Gives all duties back before a planned stop. */
    public suspend fun leave(): Result<Unit, StoreError>

    /** The instances that hold duties, with where peers reach them. */
    public suspend fun holders(): Result<Map<InstanceId, MemberAddress>, StoreError>
}

/** The address at which its peers reach an instance, and its data centre. */
public data class MemberAddress(val address: HostPort, val dataCentre: DataCentre)

/**
 * The duties of this instance. [generation] grows with each change in the group and serves as the
 * fencing token of what is done on duty.
 */
public data class DutyShare(val generation: Long, val duties: Set<Int>, val timeToLiveMillis: Long)

/** Why a call to the store failed. */
public sealed interface StoreError {
    /** No answer, or an answer that promises nothing: a write may have been done or be done yet. */
    public data class NoAnswer(val reason: String) : StoreError

    /** The store states that it did nothing, because it is down or over its rate. */
    public data class Refused(val status: Int) : StoreError

    /** The changes asked for are no longer kept; a snapshot replaces them. */
    public data object HistoryLost : StoreError

    /** The answer does not keep the format. */
    public data class Malformed(val reason: String) : StoreError
}
