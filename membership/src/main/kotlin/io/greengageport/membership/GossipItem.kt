package io.greengageport.membership

import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import kotlinx.serialization.cbor.CborArray

/**
 * An item as it travels between instances.
 *
 * [remainingMillis] is the lifetime left at the time of sending. It only decreases on the way, so
 * an item that one instance has dropped is not kept alive by its peers for ever.
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
    val size: Int get() = topic.length + key.length + payload.size + OVERHEAD_BYTES

    fun idHash(): Hash64 = idHash(topic, key)

    companion object {
        /** Estimated bytes of the version, the lifetime and the CBOR headers. */
        private const val OVERHEAD_BYTES = 18
        const val MAX_PAYLOAD_BYTES = 512
        const val MAX_NAME_BYTES = 128

        fun idHash(topic: String, key: String): Hash64 = Hash64.of("$topic\u0000$key")
    }
}

/** Identifies a version of an item without its payload. */
@Serializable
@CborArray
internal data class ItemSummary(val idHash: Long, val version: Long, val payloadHash: Long)
