package io.greengageport.gateway.tunnel

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.cbor.CborArray
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray

/**
 * Asks an instance to connect to [server] at [address] within [timeoutMillis] and to pass on what
 * follows. It is the first frame on a connection of the instance [from].
 */
@Serializable
@CborArray
internal class TunnelRequest(
    val from: String,
    val server: String,
    val address: String,
    val timeoutMillis: Long
)

/** The reply to a [TunnelRequest], in the first frame; [reason] is for the log. */
@Serializable
@CborArray
internal class TunnelReply(val status: TunnelStatus, val reason: String? = null)

/** How an instance replies to a [TunnelRequest]. */
internal enum class TunnelStatus {
    /** The bytes of the opener go to the server from here on. */
    OPEN,

    /** The instance has a path to servers and could not connect to this one. */
    SERVER_UNREACHABLE,

    /** The instance does not take the tunnel, which says nothing about the server. */
    REFUSED
}

/**
 * The format of tunnels: CBOR in the first frame of each side, then plain bytes from the opener and
 * frames with bytes from the server, which an empty frame ends.
 */
internal object TunnelFormat {
    /** Bytes of the field with the length of a frame. */
    const val LENGTH_BYTES = 4

    /** Limit for the first frames, which hold a few names. */
    const val MAX_MESSAGE_BYTES = 4_096

    /** Limit for frames with bytes of a server; a read takes up to 8 KiB. */
    const val MAX_FRAME_BYTES = 65_536

    private val cbor = Cbor { encodeDefaults = true }

    /** Returns the frame with [request]. */
    fun frame(request: TunnelRequest): ByteBuf {
        val bytes = cbor.encodeToByteArray(request)
        return Unpooled.buffer(LENGTH_BYTES + bytes.size).writeInt(bytes.size).writeBytes(bytes)
    }

    /** Returns the content of the frame with [reply]. */
    fun content(reply: TunnelReply): ByteBuf = Unpooled.wrappedBuffer(cbor.encodeToByteArray(reply))

    /** Decodes a request; throws one of several exceptions if it is malformed. */
    fun decodeRequest(content: ByteBuf): TunnelRequest =
        cbor.decodeFromByteArray(ByteBufUtil.getBytes(content))

    /** Decodes a reply; throws one of several exceptions if it is malformed. */
    fun decodeReply(content: ByteBuf): TunnelReply =
        cbor.decodeFromByteArray(ByteBufUtil.getBytes(content))
}
