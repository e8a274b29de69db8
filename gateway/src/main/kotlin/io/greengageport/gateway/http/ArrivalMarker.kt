package io.greengageport.gateway.http

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.util.ByteProcessor

/**
 * Records that bytes arrived on a connection. The HTTP decoder emits a head only when it is
 * complete, so it does not show that a request has begun to arrive. Line ends alone do not count,
 * since some callers send one after a body.
 */
public class ArrivalMarker : ChannelInboundHandlerAdapter() {
    /** Whether bytes arrived since this was last set to false. */
    public var hasArrived: Boolean = false

    override fun channelRead(ctx: ChannelHandlerContext, msg: Any) {
        if (msg !is ByteBuf || msg.forEachByte(ByteProcessor.FIND_NON_CRLF) >= 0) hasArrived = true
        ctx.fireChannelRead(msg)
    }
}
