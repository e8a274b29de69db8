package io.greengageport.membership

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeFully
import java.nio.ByteBuffer
import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.ByteString
import kotlinx.serialization.cbor.CborArray

/** Kinds of [Frame]; the ordinal is the code on the wire. */
internal enum class FrameKind {
    SWIM,
    REQUEST,
    RESPONSE,

    /**
     * The request had no handler, its handler failed, or too many requests were running; the
     * channel field holds the reason.
     */
    FAILURE,

    /** Checks a connection with pending requests; the receiver replies with [PONG] at once. */
    PING,
    PONG
}

/** A frame sent after the handshake; a response has the [correlation] id of its request. */
@Serializable
@CborArray
internal class Frame(
    val kindCode: Int,
    val correlation: Long,
    val channel: String,
    @ByteString val body: ByteArray
) {
    init {
        require(kindCode in FrameKind.entries.indices) { "unknown frame kind $kindCode" }
    }

    val kind: FrameKind get() = FrameKind.entries[kindCode]
}

/** Reasons for a connection that could not be opened or was closed. */
internal sealed interface ConnectionError {
    data class Refused(val reason: String) : ConnectionError

    data object TimedOut : ConnectionError

    data class WrongVersion(val version: Int) : ConnectionError

    /** The peer failed to prove that it holds the shared secret. */
    data object WrongSecret : ConnectionError

    /** The address belongs to instance [actual] instead of the expected one. */
    data class WrongPeer(val actual: String) : ConnectionError

    data class BadFrame(val reason: String) : ConnectionError
}

/** Thrown by the frame functions to report a [ConnectionError] to the connection. */
internal class ConnectionException(val error: ConnectionError) : Exception(error.toString())

/** Reads and writes frames: a 4-byte big-endian length followed by that many bytes of CBOR. */
internal object FrameCodec {
    const val LENGTH_BYTES = 4

    /** Limits frames of a peer that is not authenticated yet. */
    const val MAX_HELLO_BYTES = 1_024

    /** Limits the payload and the reply of a call. */
    const val MAX_PAYLOAD_BYTES = 1_024 * 1_024
    const val MAX_FRAME_BYTES = MAX_PAYLOAD_BYTES + 4 * 1_024

    /** Returns [value] as a frame with its length prefix. */
    fun <T> encode(serializer: KSerializer<T>, value: T): ByteArray {
        val body = WireFormat.encodeToByteArray(serializer, value)
        return ByteBuffer.allocate(LENGTH_BYTES + body.size).putInt(body.size).put(body).array()
    }

    /** Decodes a frame without its length prefix; throws [ConnectionException] if malformed. */
    fun <T> decode(serializer: KSerializer<T>, body: ByteArray): T = try {
        WireFormat.decodeFromByteArray(serializer, body)
    } catch (e: SerializationException) {
        throw ConnectionException(ConnectionError.BadFrame("cannot be decoded: ${e.message}"))
    } catch (e: IllegalArgumentException) {
        throw ConnectionException(ConnectionError.BadFrame("${e.message}"))
    } catch (e: IndexOutOfBoundsException) {
        throw ConnectionException(ConnectionError.BadFrame("truncated"))
    }

    /** Reads a frame; throws [ConnectionException] if it is empty or exceeds [maxBytes]. */
    suspend fun read(input: ByteReadChannel, maxBytes: Int): ByteArray {
        val length = input.readInt()
        if (length !in 1..maxBytes) {
            throw ConnectionException(ConnectionError.BadFrame("invalid length $length"))
        }
        return input.readByteArray(length)
    }

    /** Writes a frame returned by [encode] and flushes. */
    suspend fun write(output: ByteWriteChannel, frame: ByteArray) {
        output.writeFully(frame)
        output.flush()
    }
}
