package io.greengageport.ledger

import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor

/** Encodes and decodes the records of the streams `orders` and `leases` as CBOR. */
internal object RecordCodec {
    val cbor = Cbor {
        ignoreUnknownKeys = true
        alwaysUseByteString = true
    }

    fun <T> encode(serializer: KSerializer<T>, value: T): ByteArray =
        cbor.encodeToByteArray(serializer, value)

    /** Returns null if [bytes] are not a valid [T]; all readers skip such records alike. */
    fun <T> decode(serializer: KSerializer<T>, bytes: ByteArray): T? = try {
        cbor.decodeFromByteArray(serializer, bytes)
    } catch (e: RuntimeException) {
        // The decoder reports malformed input with several unrelated exception types.
        null
    }

    /**
     * Encodes encoded records as the payload of one append. Each remains a separate byte string, so
     * that a malformed record does not affect the others.
     */
    fun encodeBatch(records: List<ByteArray>): ByteArray =
        cbor.encodeToByteArray(Batch.serializer(), Batch(records))

    /** Returns the valid order records of one append and the number of skipped ones. */
    fun decodeOrders(payload: ByteArray): Pair<List<OrderRecord>, Int> {
        val batch = decode(Batch.serializer(), payload) ?: return emptyList<OrderRecord>() to 1
        val records = batch.records.mapNotNull { decode(OrderRecord.serializer(), it) }
        return records to batch.records.size - records.size
    }

    @Serializable
    private class Batch(val records: List<ByteArray>)
}
