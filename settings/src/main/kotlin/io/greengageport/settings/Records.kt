package io.greengageport.settings

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor

/** A record of the log stream `settings`, in CBOR. */
@Serializable
internal sealed interface SettingsRecord

/** Who made a change; the key itself stays with the author. */
@Serializable
public data class Author(val name: String, val keyHash: KeyHash)

/** Identifies a change for good; random, 128 bits in hexadecimal. */
@Serializable
@JvmInline
public value class ChangeId(public val value: String) {
    override fun toString(): String = value
}

/**
 * A wish to replace all that lies at or below [path] by [value], or to remove it.
 *
 * [baseVersion] is the version of the path that the author saw. [knownOffset] is the last offset
 * that the publisher had read before it appended the change; the rule refuses a change that may be
 * older than the ids it remembers.
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

/** Rejects the change [id] for good unless it precedes this record. */
@Serializable
@SerialName("withdraw")
internal data class Withdraw(val id: ChangeId) : SettingsRecord

/** Part [index] of [count] of the snapshot as of offset [through], whose bytes hash to [hash]. */
@Serializable
@SerialName("snapshot")
internal class SnapshotPart(
    val through: Long,
    val hash: String,
    val index: Int,
    val count: Int,
    @kotlinx.serialization.cbor.ByteString val bytes: ByteArray
) : SettingsRecord

internal object RecordCodec {
    /** Upper bound of a record: a snapshot part of 64 KiB and its header. */
    const val MAX_RECORD_BYTES = 64 * 1024

    private val cbor = Cbor { ignoreUnknownKeys = true }

    fun encode(record: SettingsRecord): ByteArray =
        cbor.encodeToByteArray(SettingsRecord.serializer(), record)

    fun encode(document: SettingsDocument): ByteArray =
        cbor.encodeToByteArray(SettingsDocument.serializer(), document)

    fun <T> encode(serializer: KSerializer<T>, value: T): ByteArray =
        cbor.encodeToByteArray(serializer, value)

    fun decode(bytes: ByteArray): Result<SettingsRecord, String> =
        if (bytes.size > MAX_RECORD_BYTES) {
            Err("${bytes.size} bytes, allowed: $MAX_RECORD_BYTES")
        } else {
            decode(SettingsRecord.serializer(), bytes)
        }

    /** Any failure is caught, since the CBOR reader reports malformed input in several ways. */
    fun <T> decode(serializer: KSerializer<T>, bytes: ByteArray): Result<T, String> = try {
        if (CborStructure(bytes).isAcceptable()) {
            Ok(cbor.decodeFromByteArray(serializer, bytes))
        } else {
            Err("not one well-formed item")
        }
    } catch (e: RuntimeException) {
        Err(e.javaClass.simpleName)
    }
}
