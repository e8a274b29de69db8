package io.greengageport.settings

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor

/** A record of the log stream `settings`, encoded as CBOR. */
@Serializable
internal sealed interface SettingsRecord

/** The author of a change, identified by the hash of a key. The key is never sent. */
@Serializable
public data class Author(val name: String, val keyHash: KeyHash)

/** The unique id of a change: 128 random bits in hexadecimal. */
@Serializable
@JvmInline
public value class ChangeId(public val value: String) {
    override fun toString(): String = value
}

/**
 * A request to replace all documents at or below [path] with [value], or to remove them if it is
 * null or empty.
 *
 * [baseVersion] is the version of the path that the author read. [knownOffset] is the last offset
 * that the publisher had read before it appended the change. The publish rule rejects a change that
 * may be older than the stored ids.
 */
@Serializable
@SerialName("change")
public data class Change(
    val id: ChangeId,
    val author: Author,
    val path: SettingsPath,
    val baseVersion: Long,
    val knownOffset: Long,
    val value: Map<SettingsPath, SettingsDocument>? = null
) : SettingsRecord

/** Rejects the change [id] permanently unless it precedes this record. */
@Serializable
@SerialName("withdraw")
internal data class Withdraw(val id: ChangeId) : SettingsRecord

/**
 * Part [index] of [count] of the snapshot at offset [lastOffset].
 *
 * [hash] is the SHA-256 hash of the whole snapshot in hexadecimal.
 */
@Serializable
@SerialName("snapshot")
internal class SnapshotPart(
    @SerialName("through")
    val lastOffset: Long,
    val hash: String,
    val index: Int,
    val count: Int,
    @kotlinx.serialization.cbor.ByteString val bytes: ByteArray
) : SettingsRecord

/** Encodes and decodes records and other values as CBOR. */
internal object RecordCodec {
    /** Maximum size of a record, including the header of a snapshot part. */
    const val MAX_RECORD_BYTES = 64 * 1024

    private val cbor = Cbor { ignoreUnknownKeys = true }

    fun encode(record: SettingsRecord): ByteArray =
        cbor.encodeToByteArray(SettingsRecord.serializer(), record)

    fun encode(document: SettingsDocument): ByteArray =
        cbor.encodeToByteArray(SettingsDocument.serializer(), document)

    fun <T> encode(serializer: KSerializer<T>, value: T): ByteArray =
        cbor.encodeToByteArray(serializer, value)

    /** Decodes a record, or returns the reason why it is malformed. */
    fun decode(bytes: ByteArray): Result<SettingsRecord, String> =
        if (bytes.size > MAX_RECORD_BYTES) {
            Err("${bytes.size} bytes, allowed: $MAX_RECORD_BYTES")
        } else {
            decode(SettingsRecord.serializer(), bytes)
        }

    /**
     * Decodes a value, or returns the reason why it is malformed.
     *
     * All runtime exceptions are caught because the CBOR decoder throws several types of them.
     */
    fun <T> decode(serializer: KSerializer<T>, bytes: ByteArray): Result<T, String> = try {
        if (CborValidator(bytes).isAcceptable()) {
            Ok(cbor.decodeFromByteArray(serializer, bytes))
        } else {
            Err("not one well-formed item")
        }
    } catch (e: RuntimeException) {
        Err(e.javaClass.simpleName)
    }
}
