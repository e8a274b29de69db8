package io.greengageport.gateway.tunnel

import com.github.michaelbull.result.fold
import io.greengageport.gateway.http.HttpConnector
import io.greengageport.gateway.http.isReset
import io.greengageport.gateway.http.resetOnClose
import io.greengageport.gateway.model.BackendServer
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelOption
import io.netty.channel.ConnectTimeoutException
import io.netty.channel.socket.ChannelInputShutdownEvent
import io.netty.handler.codec.LengthFieldBasedFrameDecoder
import io.netty.util.ReferenceCountUtil
import java.io.IOException
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit
import kotlinx.coroutines.launch

/**
 * A tunnel that a peer opens through this instance: passes bytes on between [opener] and a server.
 *
 * Each end of one side ends the other side in the same way. The opener learns of an orderly end of
 * the server's bytes from an empty frame. What the opener leaves behind is dropped: the connection
 * to the server is reset, so that no queued byte is delivered later.
 */
internal class ServedTunnel(private val opener: Channel, private val services: TunnelServices) :
    ChannelInboundHandlerAdapter() {
    private enum class State { AWAITING_REQUEST, CONNECTING, OPEN, REPLIED, SERVER_ENDED, ENDED }

    private val log = services.log
    private var state = State.AWAITING_REQUEST
    private var request: TunnelRequest? = null
    private var server: Channel? = null

    /** Why the connection to the server failed, or null if it is open or ended in order. */
    private var serverFailure: Throwable? = null
    private var lastWrite: ChannelFuture? = null
    private var bytesToServer = 0L
    private var bytesFromServer = 0L

    /** Ends the tunnel at once, with a TCP reset on both sides. */
    fun reset() {
        opener.resetOnClose(log)
        opener.close()
    }

    override fun channelActive(ctx: ChannelHandlerContext) {
        val address = (opener.remoteAddress() as InetSocketAddress).address
        val refusal = services.admission.refusalOf(address, services.tunnels.size)
        if (refusal != null) return reply(TunnelStatus.REFUSED, refusal)
        services.tunnels += this
        opener.eventLoop().schedule(::checkRequest, REQUEST_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
    }

    private fun checkRequest() {
        if (state != State.AWAITING_REQUEST) return
        log.record("tunnel", "no_request", "peer" to opener.remoteAddress())
        reset()
    }

    override fun channelRead(ctx: ChannelHandlerContext, msg: Any) {
        when (state) {
            State.AWAITING_REQUEST -> try {
                onRequest(msg as ByteBuf)
            } finally {
                ReferenceCountUtil.release(msg)
            }

            State.OPEN -> passToServer(msg as ByteBuf)

            State.CONNECTING, State.REPLIED, State.SERVER_ENDED, State.ENDED ->
                ReferenceCountUtil.release(msg)
        }
    }

    override fun channelReadComplete(ctx: ChannelHandlerContext) {
        if (state == State.OPEN) server?.flush()
    }

    override fun channelWritabilityChanged(ctx: ChannelHandlerContext) {
        if (opener.isWritable && state == State.OPEN) server?.config()?.isAutoRead = true
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        val last = state
        state = State.ENDED
        services.tunnels -= this
        server?.let {
            it.resetOnClose(log)
            it.close()
        }
        if (last == State.OPEN || last == State.SERVER_ENDED) {
            record(
                "ended",
                "by" to if (last == State.OPEN) "opener" else "server",
                "failure" to serverFailure,
                "sent" to bytesToServer,
                "received" to bytesFromServer
            )
        }
    }

    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        // The opener resets the tunnel whenever its caller leaves.
        if (cause !is IOException) record("failed", "error" to cause)
        reset()
    }

    private fun onRequest(content: ByteBuf) {
        // What follows the request must not be taken for another frame.
        opener.config().isAutoRead = false
        val decoded = try {
            TunnelFormat.decodeRequest(content)
        } catch (e: Exception) {
            // The decoder throws several unrelated exceptions on malformed input.
            return reply(TunnelStatus.REFUSED, "unreadable request: $e")
        }
        request = decoded
        services.admission.findServer(decoded)
            .fold({ connect(it, decoded.timeoutMillis) }, { reply(TunnelStatus.REFUSED, it) })
    }

    private fun connect(target: BackendServer, timeoutMillis: Long) {
        state = State.CONNECTING
        val millis = timeoutMillis.coerceIn(1, MAX_CONNECT_TIMEOUT_MILLIS).toInt()
        val future = services.bootstrap.clone()
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, millis)
            .handler(ServerSide())
            .connect(HttpConnector.socketAddress(target.address))
        server = future.channel()
        future.addListener {
            when {
                state != State.CONNECTING -> future.channel().close()

                it.isSuccess -> open()

                it.cause() is ConnectTimeoutException && millis < MIN_EVIDENT_MILLIS ->
                    reply(TunnelStatus.REFUSED, "not connected within $millis ms")

                else -> onConnectFailed(target, it.cause())
            }
        }
    }

    private fun onConnectFailed(target: BackendServer, cause: Throwable) {
        services.loop.scope.launch {
            var isUnreachable = false
            try {
                isUnreachable = services.isServerUnreachable(target)
            } finally {
                val status =
                    if (isUnreachable) TunnelStatus.SERVER_UNREACHABLE else TunnelStatus.REFUSED
                if (state == State.CONNECTING) reply(status, "not connected: $cause")
            }
        }
    }

    private fun open() {
        state = State.OPEN
        record("served")
        opener.writeAndFlush(TunnelFormat.content(TunnelReply(TunnelStatus.OPEN)))
        // Passes on what it has buffered.
        opener.pipeline().remove(LengthFieldBasedFrameDecoder::class.java)
        opener.config().isAutoRead = true
        server?.config()?.isAutoRead = true
    }

    /** Replies that no tunnel was opened, and closes the connection. */
    private fun reply(status: TunnelStatus, reason: String) {
        state = State.REPLIED
        record("refused", "status" to status, "reason" to reason)
        opener.writeAndFlush(TunnelFormat.content(TunnelReply(status, reason)))
            .addListener(ChannelFutureListener.CLOSE)
    }

    /**
     * Passes bytes of the opener on. They are read ahead within [MAX_QUEUED_BYTES] of all tunnels:
     * while the opener is not read, its end is not noticed, and a server that reads again later
     * would get a request whose caller has left.
     */
    private fun passToServer(bytes: ByteBuf) {
        val target = checkNotNull(server) { "an open tunnel has no connection to its server" }
        val size = bytes.readableBytes()
        bytesToServer += size
        services.queuedBytes += size
        target.write(bytes).addListener {
            services.queuedBytes -= size
            if (!it.isSuccess) onServerWriteFailed(it.cause())
        }
        if (!target.isWritable && services.queuedBytes > MAX_QUEUED_BYTES) {
            opener.config().isAutoRead = false
        }
    }

    private fun onServerWriteFailed(cause: Throwable) {
        if (state != State.OPEN) return
        // After another failure of the system, the server may have answered before it closed.
        if (cause is IOException && !isReset(cause)) return
        serverFailure = serverFailure ?: cause
        if (cause !is IOException) server?.close()
    }

    private fun onServerEnded() {
        if (state != State.OPEN) return
        state = State.SERVER_ENDED
        opener.config().isAutoRead = true
        if (serverFailure == null) {
            // The opener closes the connection. A close with bytes that were not read would reset
            // it, which can destroy what the opener has not read.
            opener.writeAndFlush(Unpooled.EMPTY_BUFFER)
            return
        }
        opener.flush()
        // The opener gets what the server sent before it failed, as over a direct connection.
        (lastWrite ?: opener.newSucceededFuture()).addListener { reset() }
    }

    private fun record(event: String, vararg fields: Pair<String, Any?>) = log.record(
        "tunnel",
        event,
        "from" to (request?.from ?: opener.remoteAddress()),
        "server" to request?.server,
        *fields
    )

    /** The connection to the server. */
    private inner class ServerSide : ChannelInboundHandlerAdapter() {
        override fun channelRead(ctx: ChannelHandlerContext, msg: Any) {
            val bytes = msg as ByteBuf
            // An empty frame would end the bytes of the server.
            if (state != State.OPEN || !bytes.isReadable) {
                bytes.release()
                return
            }
            bytesFromServer += bytes.readableBytes()
            lastWrite = opener.write(bytes)
            if (!opener.isWritable) ctx.channel().config().isAutoRead = false
        }

        override fun channelReadComplete(ctx: ChannelHandlerContext) {
            opener.flush()
        }

        override fun channelWritabilityChanged(ctx: ChannelHandlerContext) {
            if (ctx.channel().isWritable && state == State.OPEN) opener.config().isAutoRead = true
        }

        override fun userEventTriggered(ctx: ChannelHandlerContext, event: Any) {
            if (event == ChannelInputShutdownEvent.INSTANCE) onServerEnded()
        }

        override fun channelInactive(ctx: ChannelHandlerContext) {
            if (state != State.OPEN) return
            serverFailure = serverFailure ?: IOException("closed before the end of the output")
            onServerEnded()
        }

        override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
            serverFailure = serverFailure ?: cause
            if (cause !is IOException) record("failed", "error" to cause)
            ctx.close()
        }
    }

    private companion object {
        /** The opener sends its request as soon as it is connected. */
        const val REQUEST_TIMEOUT_MILLIS = 1_000L
        const val MAX_CONNECT_TIMEOUT_MILLIS = 1_000L

        /**
         * Shortest timeout whose end says something about the server. An opener whose request is
         * near its deadline leaves less, in which a busy server may not accept a connection.
         */
        const val MIN_EVIDENT_MILLIS = 80

        /** As much as for large responses: a small part of the memory of an instance. */
        const val MAX_QUEUED_BYTES = 16L * 1_024 * 1_024
    }
}
