package io.greengageport.membership

import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import kotlinx.serialization.cbor.CborArray

/**
 * The wire form of a gossip item.
 *
 * [remainingMillis] is the lifetime left at the time of sending. It decreases with each hop, so
 * peers cannot keep an expired item alive by sending it to each other.
 */
@Serializable
@CborArray
internal class GossipItem(
    val topic: String,
    val key: String,
    val version: Long,
    val remainingMillis: Long,
    @ByteString val payload: ByteArray
) {
    /** Estimated encoded size in bytes. */
    val size: Int get() = topic.length + key.length + payload.size + OVERHEAD_BYTES

    /** Hash of topic and key. */
    fun idHash(): Hash64 = idHash(topic, key)

    companion object {
        /** Estimated bytes of the version, the lifetime and the CBOR headers. */
        private const val OVERHEAD_BYTES = 18
        const val MAX_PAYLOAD_BYTES = 512

        /** Limits the characters of topic and key together. */
        const val MAX_NAME_BYTES = 128

        fun idHash(topic: String, key: String): Hash64 = Hash64.of("$topic\u0000$key")
    }
}

/** Identifies a version of an item by hashes of its id and payload. */
@Serializable
@CborArray
internal data class ItemSummary(val idHash: Long, val version: Long, val payloadHash: Long)
