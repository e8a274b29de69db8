package io.greengageport.gateway.http

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter

/**
 * Records that bytes arrived on a connection. The HTTP decoder emits a head only when it is
 * complete, so it does not show that a request has begun to arrive.
 */
public class ArrivalMarker : ChannelInboundHandlerAdapter() {
    /** Whether bytes arrived since this was last set to false. */
    public var hasArrived: Boolean = false

    override fun channelRead(ctx: ChannelHandlerContext, msg: Any) {
        hasArrived = true
        ctx.fireChannelRead(msg)
    }
}
