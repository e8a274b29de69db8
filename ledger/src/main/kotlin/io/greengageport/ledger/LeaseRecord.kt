package io.greengageport.ledger

import io.greengageport.common.InstanceId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A record of the log stream `leases`; [previous] is the offset that the writer saw as current. */
@Serializable
internal sealed interface LeaseRecord {
    val name: String
    val holder: InstanceId
    val previous: Long

    /** Acquires or renews a lease; the record's offset is the fencing token. */
    @Serializable
    @SerialName("acquire")
    data class Acquire(
        override val name: String,
        override val holder: InstanceId,
        val ttlMillis: Long,
        override val previous: Long,
        /** Tells the attempts of one holder apart, also across its restarts. */
        val attempt: Long
    ) : LeaseRecord

    /** Frees a lease at once. */
    @Serializable
    @SerialName("release")
    data class Release(
        override val name: String,
        override val holder: InstanceId,
        override val previous: Long
    ) : LeaseRecord
}
