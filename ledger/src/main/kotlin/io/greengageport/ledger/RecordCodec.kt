package io.greengageport.ledger

import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor

/** CBOR form of the streams `orders` and `leases`. */
internal object RecordCodec {
    val cbor = Cbor {
        ignoreUnknownKeys = true
        alwaysUseByteString = true
    }

    fun <T> encode(serializer: KSerializer<T>, value: T): ByteArray =
        cbor.encodeToByteArray(serializer, value)

    /** Null for bytes that are no [T]: a reader skips them, as all other readers do. */
    fun <T> decode(serializer: KSerializer<T>, bytes: ByteArray): T? = try {
        cbor.decodeFromByteArray(serializer, bytes)
    } catch (e: RuntimeException) {
        // The decoder reports damaged input through several unrelated exception types.
        null
    }

    /** Joins records to one append. Each stays separate, so that a bad one spoils no other. */
    fun join(records: List<ByteArray>): ByteArray =
        cbor.encodeToByteArray(Batch.serializer(), Batch(records))

    /** The decodable order records of one append, and the number of those skipped. */
    fun orders(payload: ByteArray): Pair<List<OrderRecord>, Int> {
        val batch = decode(Batch.serializer(), payload) ?: return emptyList<OrderRecord>() to 1
        val records = batch.records.mapNotNull { decode(OrderRecord.serializer(), it) }
        return records to batch.records.size - records.size
    }

    @Serializable
    private class Batch(val records: List<ByteArray>)
}
