package io.greengageport.gateway.http

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.greengageport.common.HostPort
import io.netty.bootstrap.Bootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpRequestEncoder
import io.netty.resolver.NoopAddressResolverGroup
import io.netty.util.NetUtil
import java.net.InetAddress
import java.net.InetSocketAddress
import kotlin.coroutines.resume
import kotlinx.coroutines.suspendCancellableCoroutine

/** Opens connections to backend servers and to the store, which need to have IP addresses. */
public class HttpConnector(private val loop: EventLoop) {
    private val bootstrap = newBootstrap(loop)

    /** Connects to [address]; fails after [timeoutMillis]. */
    public suspend fun connect(
        address: HostPort,
        timeoutMillis: Long
    ): Result<HttpChannel, HttpFailure.NotConnected> = suspendCancellableCoroutine { c ->
        lateinit var connection: HttpChannel
        val future = bootstrap.clone()
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMillis.toInt())
            .handler(object : ChannelInitializer<Channel>() {
                override fun initChannel(ch: Channel) {
                    connection = addHttpHandlers(ch, loop)
                }
            })
            .connect(socketAddress(address))
        c.invokeOnCancellation { future.channel().close() }
        future.addListener { f ->
            when {
                f.isSuccess && c.isActive -> c.resume(Ok(connection))
                f.isSuccess -> (f as ChannelFuture).channel().close()
                c.isActive -> c.resume(Err(HttpFailure.NotConnected("$address: ${f.cause()}")))
            }
        }
    }

    internal companion object {
        /** Limit for the status line and for all headers of a response; longer ones are invalid. */
        private const val MAX_HEAD_BYTES = 32_768
        private val decoding = HttpDecoderConfig()
            .setMaxInitialLineLength(MAX_HEAD_BYTES)
            .setMaxHeaderSize(MAX_HEAD_BYTES)

        /** Returns a bootstrap for connections to servers and, for tunnels to them, to peers. */
        fun newBootstrap(loop: EventLoop): Bootstrap = Bootstrap()
            .group(loop.group)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.ALLOCATOR, EventLoop.allocator)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.RECVBUF_ALLOCATOR, EventLoop.readAllocator)
            .resolver(NoopAddressResolverGroup.INSTANCE)
            // A peer may answer and close before it has read a long body. A write that fails then
            // must not close the connection before the answer is read; the next read closes it.
            .option(ChannelOption.AUTO_CLOSE, false)

        /** Adds the handlers of an HTTP client to [channel] and returns the last one. */
        fun addHttpHandlers(channel: Channel, loop: EventLoop): HttpChannel {
            val decoder = ResponseDecoder(decoding)
            val connection = HttpChannel(channel, loop.log, decoder)
            channel.pipeline().addLast(decoder, HttpRequestEncoder(), connection)
            return connection
        }

        /**
         * Returns the socket address of [address], which is unresolved unless the host is an IP
         * address: the lookup of a name would block the thread.
         */
        fun socketAddress(address: HostPort): InetSocketAddress {
            val bytes = NetUtil.createByteArrayFromIpAddressString(address.host)
                ?: return InetSocketAddress.createUnresolved(address.host, address.port)
            return InetSocketAddress(InetAddress.getByAddress(address.host, bytes), address.port)
        }
    }
}
