package io.greengageport.gateway.tunnel

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.util.ReferenceCountUtil
import java.io.IOException
import kotlinx.coroutines.CompletableDeferred

/**
 * The opener's end of a tunnel: sends [request], takes the reply and then passes the bytes of the
 * server on, of which it gets one frame at a time.
 *
 * The connection ends for the next handlers as a direct one to the server would: an empty frame is
 * an orderly close, and a close without it is a failure.
 */
internal class TunnelOpening(private val request: TunnelRequest) : ChannelInboundHandlerAdapter() {
    /** The reply of the peer; refused with a reason if the connection ended before it. */
    val reply = CompletableDeferred<TunnelReply>()

    private var isOpen = false
    private var isEnded = false

    /** Refuses the tunnel for [reason], unless the peer has replied. */
    fun fail(reason: String) {
        reply.complete(TunnelReply(TunnelStatus.REFUSED, reason))
    }

    override fun channelActive(ctx: ChannelHandlerContext) {
        ctx.writeAndFlush(TunnelFormat.frame(request))
        ctx.fireChannelActive()
    }

    override fun channelRead(ctx: ChannelHandlerContext, msg: Any) {
        val frame = msg as ByteBuf
        when {
            isEnded -> frame.release()

            isOpen && frame.isReadable -> ctx.fireChannelRead(frame)

            isOpen -> {
                frame.release()
                isEnded = true
                ctx.close()
            }

            else -> try {
                onReply(ctx, frame)
            } finally {
                ReferenceCountUtil.release(frame)
            }
        }
    }

    private fun onReply(ctx: ChannelHandlerContext, frame: ByteBuf) {
        val decoded = try {
            TunnelFormat.decodeReply(frame)
        } catch (e: Exception) {
            // The decoder throws several unrelated exceptions on malformed input.
            TunnelReply(TunnelStatus.REFUSED, "unreadable reply: $e")
        }
        isOpen = decoded.status == TunnelStatus.OPEN
        isEnded = !isOpen
        reply.complete(decoded)
        if (isEnded) ctx.close()
    }

    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        if (isOpen) {
            ctx.fireExceptionCaught(cause)
            return
        }
        fail("$cause")
        ctx.close()
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        fail("closed before the reply")
        if (isOpen && !isEnded) {
            ctx.fireExceptionCaught(IOException("the tunnel was closed before its end"))
        }
        ctx.fireChannelInactive()
    }
}
