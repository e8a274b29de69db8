package io.greengageport.membership

import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.cbor.CborArray

/**
 * Kinds of [SwimMessage]; the ordinal is the code on the wire. The kinds from [SYNC] on belong to
 * anti-entropy exchanges.
 */
internal enum class SwimKind {
    PING,
    ACK,

    /** Asks the receiver to probe another member on behalf of the sender. */
    PING_REQUEST,

    /** The target of a [PING_REQUEST] did not answer the helper. */
    NACK,
    GOSSIP,

    /** Digests of the member view and of the items; starts an anti-entropy exchange. */
    SYNC,

    /** Replies to [SYNC] with records and item summaries of the buckets whose digests differ. */
    SYNC_DIFFERENCE,

    /** Replies to [SYNC_DIFFERENCE] with newer records and items and the ids of wanted items. */
    SYNC_UPDATE,

    /** Replies to [SYNC_UPDATE] with the wanted items. */
    SYNC_ITEMS
}

/**
 * A message between two instances of [SwimCore].
 *
 * [sequence] identifies a probe; in an anti-entropy exchange it is [Synchroniser.JOIN_SEQUENCE] if
 * the exchange was started to join, and 0 otherwise. [sender] is the sender's own record, [target]
 * the member that the message is about. Fields that the kind does not use are null or empty.
 */
@Serializable
@CborArray
internal data class SwimMessage(
    val kindCode: Int,
    val sequence: Long = 0,
    val sender: MemberRecord? = null,
    val target: MemberRecord? = null,
    val events: List<MemberRecord> = emptyList(),
    val items: List<GossipItem> = emptyList(),
    val memberDigest: List<Long> = emptyList(),
    val itemDigest: List<Long> = emptyList(),
    val summaries: List<ItemSummary> = emptyList(),
    val memberBuckets: List<Int> = emptyList(),
    val itemBuckets: List<Int> = emptyList(),
    val wanted: List<Long> = emptyList()
) {
    init {
        require(kindCode in SwimKind.entries.indices) { "unknown message kind $kindCode" }
    }

    val kind: SwimKind get() = SwimKind.entries[kindCode]
}

/** The CBOR format of all frames: arrays without field names, definite lengths. */
internal val WireFormat: Cbor = Cbor {
    encodeDefaults = true
    useDefiniteLengthEncoding = true
    alwaysUseByteString = true
}
