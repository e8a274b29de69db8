package io.greengageport.gateway.http

import io.greengageport.common.HostPort
import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpServerCodec
import java.net.InetSocketAddress

/** Accepts HTTP/1.1 connections at an address and hands each to [accept]. */
public class HttpListener(
    private val loop: EventLoop,
    private val maxHeaderBytes: () -> Int,
    private val accept: (HttpChannel, ArrivalMarker) -> Unit
) : AutoCloseable {
    private var listening: Channel? = null

    /** Listens at [address] and returns the address in use; fails if it is taken. */
    public fun listen(address: HostPort): HostPort {
        val channel = ServerBootstrap()
            .group(loop.group)
            .channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.ALLOCATOR, EventLoop.allocator)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.SO_KEEPALIVE, true)
            .childHandler(object : ChannelInitializer<Channel>() {
                override fun initChannel(ch: Channel) = initialise(ch)
            })
            .bind(HttpConnector.socketAddress(address))
            .sync()
            .channel()
        listening = channel
        return HostPort(address.host, (channel.localAddress() as InetSocketAddress).port)
    }

    override fun close() {
        listening?.close()
    }

    private fun initialise(channel: Channel) {
        val max = maxHeaderBytes()
        val decoding = HttpDecoderConfig()
            .setMaxInitialLineLength(max)
            .setMaxHeaderSize(max)
        val marker = ArrivalMarker()
        val connection = HttpChannel(channel)
        channel.pipeline().addLast(marker, HttpServerCodec(decoding), connection)
        accept(connection, marker)
    }

    private companion object {
        /** Connections that wait while the thread is busy; a full queue costs callers seconds. */
        const val BACKLOG = 1_024
    }
}
