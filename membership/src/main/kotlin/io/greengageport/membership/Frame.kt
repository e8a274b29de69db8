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

    /** The request was not handled or its handler failed; the channel field holds the reason. */
    FAILURE,

    /** Checks a connection on which requests wait; answered by [PONG] at once. */
    PING,
    PONG
}

/** A frame after the handshake; [correlation] ties a response to its request. */
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

/** Why a connection could not be opened or was closed. */
internal sealed interface ConnectionError {
    data class Refused(val reason: String) : ConnectionError

    data object TimedOut : ConnectionError

    data class WrongVersion(val version: Int) : ConnectionError

    /** The peer does not hold the shared secret. */
    data object WrongSecret : ConnectionError

    /** Another instance than the expected one answers at the address. */
    data class WrongPeer(val actual: String) : ConnectionError

    data class BadFrame(val reason: String) : ConnectionError
}

/** Carries a [ConnectionError] out of the frame functions to the owner of the connection. */
internal class ConnectionException(val error: ConnectionError) : Exception(error.toString())

/** Reads and writes frames: a length of 4 bytes, big endian, and that many bytes of CBOR. */
internal object FrameCodec {
    const val LENGTH_BYTES = 4

    /** Bound before a peer has proved that it holds the secret. */
    const val MAX_HELLO_BYTES = 1_024

    /** The largest payload of a call: 1 MiB. */
    const val MAX_PAYLOAD_BYTES = 1_024 * 1_024
    const val MAX_FRAME_BYTES = MAX_PAYLOAD_BYTES + 4 * 1_024

    fun <T> encode(serializer: KSerializer<T>, value: T): ByteArray {
        val body = WireFormat.encodeToByteArray(serializer, value)
        return ByteBuffer.allocate(LENGTH_BYTES + body.size).putInt(body.size).put(body).array()
    }

    fun <T> decode(serializer: KSerializer<T>, body: ByteArray): T = try {
        WireFormat.decodeFromByteArray(serializer, body)
    } catch (e: SerializationException) {
        throw ConnectionException(ConnectionError.BadFrame("not decodable: ${e.message}"))
    } catch (e: IllegalArgumentException) {
        throw ConnectionException(ConnectionError.BadFrame("${e.message}"))
    } catch (e: IndexOutOfBoundsException) {
        throw ConnectionException(ConnectionError.BadFrame("truncated"))
    }

    suspend fun read(input: ByteReadChannel, maxBytes: Int): ByteArray {
        val length = input.readInt()
        if (length !in 1..maxBytes) {
            throw ConnectionException(ConnectionError.BadFrame("length $length"))
        }
        return input.readByteArray(length)
    }

    suspend fun write(output: ByteWriteChannel, frame: ByteArray) {
        output.writeFully(frame)
        output.flush()
    }
}
