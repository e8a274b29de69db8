package io.greengageport.gateway.tunnel

import io.greengageport.common.HostPort
import io.greengageport.gateway.http.EventLoop
import io.greengageport.gateway.model.BackendServer
import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.socket.nio.NioChannelOption
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.LengthFieldBasedFrameDecoder
import io.netty.handler.codec.LengthFieldPrepender
import java.net.InetSocketAddress
import jdk.net.ExtendedSocketOptions

/**
 * Accepts tunnels of peers that have no path to servers, and passes bytes on between them and the
 * servers. It decides nothing about the requests.
 */
internal class TunnelListener(
    private val loop: EventLoop,
    admission: TunnelAdmission,
    isServerUnreachable: suspend (BackendServer) -> Boolean
) : AutoCloseable {
    private val services = TunnelServices(loop, admission, isServerUnreachable)
    private var serverChannel: Channel? = null

    /** Number of tunnels that have not ended, including those that are being opened. */
    val openTunnels: Int get() = services.tunnels.size

    /** Whether another tunnel is within the limit. */
    val hasRoom: Boolean get() = openTunnels < TunnelAdmission.MAX_TUNNELS

    /**
     * Listens at [address] and returns the bound address, which has the actual port if that of
     * [address] is 0. Throws an exception if the address is in use.
     */
    fun listen(address: HostPort): HostPort {
        val channel = ServerBootstrap()
            .group(loop.group)
            .channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.ALLOCATOR, EventLoop.allocator)
            .childOption(ChannelOption.RECVBUF_ALLOCATOR, EventLoop.readAllocator)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.SO_KEEPALIVE, true)
            .childOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), IDLE_SECONDS)
            .childOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), PROBE_SECONDS)
            .childOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), PROBES)
            .childHandler(object : ChannelInitializer<Channel>() {
                override fun initChannel(ch: Channel) = initPipeline(ch)
            })
            .bind(InetSocketAddress(address.host, address.port))
            .sync()
            .channel()
        serverChannel = channel
        return HostPort(address.host, (channel.localAddress() as InetSocketAddress).port)
    }

    /** Stops accepting tunnels; those that are open go on. */
    override fun close() {
        serverChannel?.close()
    }

    /** Ends all tunnels at once with a TCP reset on both sides. */
    fun resetAll() {
        if (openTunnels > 0) loop.log.record("tunnel", "all_reset", "tunnels" to openTunnels)
        services.tunnels.toList().forEach { it.reset() }
    }

    private fun initPipeline(channel: Channel) {
        val decoder = LengthFieldBasedFrameDecoder(
            TunnelFormat.MAX_MESSAGE_BYTES,
            0,
            TunnelFormat.LENGTH_BYTES,
            0,
            TunnelFormat.LENGTH_BYTES
        )
        decoder.isSingleDecode = true
        channel.pipeline().addLast(
            decoder,
            LengthFieldPrepender(TunnelFormat.LENGTH_BYTES),
            ServedTunnel(channel, services)
        )
    }

    private companion object {
        const val BACKLOG = 1_024

        /**
         * An opener whose machine is lost closes nothing; its tunnels would count towards the limit
         * for hours.
         */
        const val IDLE_SECONDS = 5
        const val PROBE_SECONDS = 2
        const val PROBES = 3
    }
}
