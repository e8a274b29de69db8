package io.greengageport.gateway.peer

import io.greengageport.common.Clock
import io.greengageport.common.HostPort
import io.greengageport.gateway.http.EventLoop
import io.greengageport.gateway.http.HttpConnector
import io.greengageport.gateway.logging.DecisionLog
import io.netty.bootstrap.Bootstrap
import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.DatagramPacket
import io.netty.channel.socket.nio.NioDatagramChannel
import kotlinx.coroutines.delay
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray

/**
 * Sends this instance's [PeerReport] to all peers again and again, and takes in theirs.
 *
 * Datagrams fit, since a lost report is replaced by the next one. A peer that the store does not
 * list yet becomes known by its first report.
 */
internal class PeerExchange(
    private val loop: EventLoop,
    private val view: PeerView,
    private val log: DecisionLog,
    private val clock: Clock,
    private val report: (sequence: Long) -> PeerReport,
    private val onReport: (PeerReport) -> Unit
) {
    private var channel: Channel? = null
    private var sequence = 0L
    private var sentAtMillis = 0L

    /** Listens at [address]. */
    fun listen(address: HostPort) {
        channel = Bootstrap()
            .group(loop.group)
            .channel(NioDatagramChannel::class.java)
            .handler(Receiver())
            .bind(HttpConnector.socketAddress(address))
            .sync()
            .channel()
    }

    /** Sends reports until cancelled. */
    suspend fun run() {
        while (true) {
            delay(view.intervalMillis)
            view.expire()
            if (clock.monotonicMillis() - sentAtMillis >= view.intervalMillis / 2) send()
        }
    }

    /** Sends a report at once, as it holds news. */
    fun sendNow(): Unit = send()

    private fun send() {
        val out = channel ?: return
        val targets = view.addresses
        if (targets.isEmpty()) return
        sentAtMillis = clock.monotonicMillis()
        val bytes = Cbor.encodeToByteArray(report(sequence++))
        for (t in targets) {
            val to = HttpConnector.socketAddress(t)
            out.write(DatagramPacket(Unpooled.wrappedBuffer(bytes), to))
        }
        out.flush()
    }

    private inner class Receiver : SimpleChannelInboundHandler<DatagramPacket>() {
        override fun channelRead0(ctx: ChannelHandlerContext, packet: DatagramPacket) {
            val report = try {
                Cbor.decodeFromByteArray<PeerReport>(ByteBufUtil.getBytes(packet.content()))
            } catch (e: SerializationException) {
                unreadable(packet, e)
                return
            } catch (e: IllegalArgumentException) {
                unreadable(packet, e)
                return
            }
            val address = HostPort.parseOrNull(report.address) ?: return
            if (view.onReport(report, address)) onReport(report)
        }

        private fun unreadable(packet: DatagramPacket, e: Exception) {
            log.record("peers", "unreadable", "sender" to packet.sender(), "error" to e)
        }

        override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
            // A peer's closed port shows as an error on the next send; its silence tells the same.
            log.record("peers", "send_failed", "error" to cause)
        }
    }
}
