package io.greengageport.ledger

import io.greengageport.common.InstanceId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A record of the log stream `leases`. */
@Serializable
internal sealed interface LeaseRecord {
    val name: String
    val holder: InstanceId

    /** Offset of the current record of the lease as the writer saw it; 0 if there was none. */
    val previous: Long

    /** Acquires or renews a lease; the offset of the record is the fencing token. */
    @Serializable
    @SerialName("acquire")
    data class Acquire(
        override val name: String,
        override val holder: InstanceId,
        val ttlMillis: Long,
        override val previous: Long,
        /** Identifies the attempt among those of one holder, also across its restarts. */
        val attempt: Long
    ) : LeaseRecord

    /** Releases a lease before it expires. */
    @Serializable
    @SerialName("release")
    data class Release(
        override val name: String,
        override val holder: InstanceId,
        override val previous: Long
    ) : LeaseRecord
}
