package io.greengageport.gateway.http

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter

/** Notes that bytes have arrived, since the decoder shows a head only when it is complete. */
public class ArrivalMarker : ChannelInboundHandlerAdapter() {
    /** Whether bytes arrived since this was last set to false. */
    public var hasArrived: Boolean = false

    override fun channelRead(ctx: ChannelHandlerContext, msg: Any) {
        hasArrived = true
        ctx.fireChannelRead(msg)
    }
}
