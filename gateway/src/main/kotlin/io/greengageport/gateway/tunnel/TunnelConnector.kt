package io.greengageport.gateway.tunnel

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.greengageport.common.Clock
import io.greengageport.common.InstanceId
import io.greengageport.gateway.http.ConnectionObserver
import io.greengageport.gateway.http.EventLoop
import io.greengageport.gateway.http.HttpChannel
import io.greengageport.gateway.http.HttpConnector
import io.greengageport.gateway.http.HttpFailure
import io.greengageport.gateway.http.ServerTunnels
import io.greengageport.gateway.http.resetOnClose
import io.greengageport.gateway.model.BackendServer
import io.greengageport.gateway.peer.TunnelPeer
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.handler.codec.LengthFieldBasedFrameDecoder
import kotlinx.coroutines.withTimeoutOrNull

/**
 * Opens connections to servers through peers that have a path to them.
 *
 * [peers] returns the instances that accept tunnels now, the preferred ones first. Another one is
 * tried if the first does not take the tunnel, but not if it could not reach the server.
 */
internal class TunnelConnector(
    private val self: InstanceId,
    private val loop: EventLoop,
    private val clock: Clock,
    private val isCutOff: () -> Boolean,
    private val peers: () -> List<TunnelPeer>
) : ServerTunnels {
    private val log = loop.log
    private val bootstrap = HttpConnector.newBootstrap(loop)

    override val isNeeded: Boolean get() = isCutOff()

    /** Whether a peer accepts tunnels now. */
    val hasPeer: Boolean get() = peers().isNotEmpty()

    override suspend fun connect(
        server: BackendServer,
        timeoutMillis: Long
    ): Result<HttpChannel, HttpFailure.NotConnected> {
        val deadlineMillis = clock.monotonicMillis() + timeoutMillis
        val candidates = peers().take(MAX_PEERS)
        var reason = "no peer accepts tunnels"
        for ((i, peer) in candidates.withIndex()) {
            val remainingMillis = deadlineMillis - clock.monotonicMillis()
            if (remainingMillis <= 0) break
            val isLast = i == candidates.lastIndex
            val budgetMillis = if (isLast) remainingMillis else remainingMillis / 2
            val (reply, channel) = open(peer, server, budgetMillis)
            log.record(
                "tunnel",
                EVENTS.getValue(reply.status),
                "peer" to peer.id,
                "server" to server.id,
                "reason" to reply.reason,
                "ms" to clock.monotonicMillis() - (deadlineMillis - timeoutMillis)
            )
            if (channel != null) return Ok(channel)
            reason = "${server.address} through ${peer.id}: ${reply.reason}"
            if (reply.status == TunnelStatus.SERVER_UNREACHABLE) {
                return Err(HttpFailure.NotConnected(reason, ConnectionObserver.PEER))
            }
        }
        return Err(HttpFailure.NotConnected(reason, ConnectionObserver.NOBODY))
    }

    /** Returns the reply of [peer] and, if the tunnel is open, the connection. */
    private suspend fun open(
        peer: TunnelPeer,
        server: BackendServer,
        timeoutMillis: Long
    ): Pair<TunnelReply, HttpChannel?> {
        val connectMillis = maxOf(1, (timeoutMillis * CONNECT_SHARE).toLong())
        val opening = TunnelOpening(
            TunnelRequest(self.value, server.id.value, server.address.toString(), connectMillis)
        )
        lateinit var connection: HttpChannel
        val future = bootstrap.clone()
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMillis.toInt())
            .handler(object : ChannelInitializer<Channel>() {
                override fun initChannel(ch: Channel) {
                    ch.pipeline().addLast(newFrameDecoder(), opening)
                    connection = HttpConnector.addHttpHandlers(ch, loop)
                }
            })
            .connect(HttpConnector.socketAddress(peer.address))
        future.addListener { if (!it.isSuccess) opening.fail("peer not reached: ${it.cause()}") }
        var isOpen = false
        try {
            val reply = withTimeoutOrNull(timeoutMillis) { opening.reply.await() }
                ?: TunnelReply(TunnelStatus.REFUSED, "no reply within $timeoutMillis ms")
            isOpen = reply.status == TunnelStatus.OPEN
            return reply to if (isOpen) connection else null
        } finally {
            // Also runs when the calling coroutine is cancelled.
            if (!isOpen) {
                future.channel().resetOnClose(log)
                future.channel().close()
            }
        }
    }

    private fun newFrameDecoder() = LengthFieldBasedFrameDecoder(
        TunnelFormat.MAX_FRAME_BYTES,
        0,
        TunnelFormat.LENGTH_BYTES,
        0,
        TunnelFormat.LENGTH_BYTES
    )

    private companion object {
        const val MAX_PEERS = 2

        /**
         * Share of the time for the peer's connection to the server; the rest is for the peer to
         * find out whether a failure is one of the server.
         */
        const val CONNECT_SHARE = 0.6

        val EVENTS = mapOf(
            TunnelStatus.OPEN to "opened",
            TunnelStatus.SERVER_UNREACHABLE to "server_unreachable",
            TunnelStatus.REFUSED to "not_opened"
        )
    }
}
