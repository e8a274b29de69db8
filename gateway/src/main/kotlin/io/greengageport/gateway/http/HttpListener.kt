package io.greengageport.gateway.http

import io.greengageport.common.HostPort
import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.nio.AbstractNioChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpServerCodec
import java.net.InetSocketAddress

/** Accepts HTTP/1.1 connections at an address and passes each to [onConnection]. */
public class HttpListener(
    private val loop: EventLoop,
    private val maxHeaderBytes: () -> Int,
    private val onConnection: (HttpChannel, ArrivalMarker) -> Unit
) : AutoCloseable {
    private var serverChannel: Channel? = null

    /**
     * Listens at [address] and returns the bound address, which has the actual port if that of
     * [address] is 0. Throws an exception if the address is in use.
     */
    public fun listen(address: HostPort): HostPort {
        val channel = ServerBootstrap()
            .group(loop.group)
            .channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.ALLOCATOR, EventLoop.allocator)
            .childOption(ChannelOption.RECVBUF_ALLOCATOR, EventLoop.readAllocator)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.SO_KEEPALIVE, true)
            .childHandler(object : ChannelInitializer<Channel>() {
                override fun initChannel(ch: Channel) = initPipeline(ch)
            })
            .bind(InetSocketAddress(address.host, address.port))
            .sync()
            .channel()
        serverChannel = channel
        return HostPort(address.host, (channel.localAddress() as InetSocketAddress).port)
    }

    override fun close() {
        serverChannel?.close()
    }

    /**
     * Accepts the connections that the system has accepted and closes the listener. The system
     * resets those that it accepts in between.
     */
    public fun acceptAllAndClose() {
        val channel = serverChannel ?: return
        channel.config().setOption(ChannelOption.MAX_MESSAGES_PER_READ, BACKLOG)
        (channel.unsafe() as AbstractNioChannel.NioUnsafe).read()
        channel.close()
    }

    private fun initPipeline(channel: Channel) {
        val limit = maxHeaderBytes()
        val decoding = HttpDecoderConfig()
            .setMaxInitialLineLength(limit)
            .setMaxHeaderSize(limit)
        val marker = ArrivalMarker()
        val connection = HttpChannel(channel, loop.log)
        channel.pipeline().addLast(marker, HttpServerCodec(decoding), connection)
        onConnection(connection, marker)
    }

    private companion object {
        /**
         * Accept queue for connections that arrive while the thread is busy. If it is full, callers
         * wait seconds before they resend their SYN.
         */
        const val BACKLOG = 1_024
    }
}
