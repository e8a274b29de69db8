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
import io.netty.channel.ChannelOption
import io.netty.channel.FixedRecvByteBufAllocator
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.DatagramPacket
import io.netty.channel.socket.nio.NioDatagramChannel
import kotlinx.coroutines.delay
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray

/**
 * Sends this instance's [PeerReport] to its peers again and again, and takes in theirs. A relay
 * passes on the sums of the other data centres with it, and sends those of its own to theirs.
 *
 * Datagrams fit, since a lost report is replaced by the next one. A peer that the store does not
 * list yet becomes known by its first report.
 */
internal class PeerExchange(
    private val loop: EventLoop,
    private val view: PeerView,
    private val log: DecisionLog,
    private val clock: Clock,
    private val report: (sequence: Long, centres: List<CentreSummary>) -> PeerReport,
    private val onReport: (PeerReport) -> Unit
) {
    private var channel: Channel? = null
    private var sequence = 0L
    private var sentAtMillis = 0L
    private var summedAtMillis = 0L

    /** Listens at [address]. */
    fun listen(address: HostPort) {
        channel = Bootstrap()
            .group(loop.group)
            .channel(NioDatagramChannel::class.java)
            // The default cuts datagrams at 2 KiB, which fleets of some dozen servers exceed.
            .option(
                ChannelOption.RECVBUF_ALLOCATOR,
                FixedRecvByteBufAllocator(MAX_DATAGRAM_BYTES)
            )
            .option(ChannelOption.ALLOCATOR, EventLoop.allocator)
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
            val now = clock.monotonicMillis()
            if (now - sentAtMillis < view.intervalMillis / 2) continue
            send(withSums = now - summedAtMillis >= SUM_MILLIS)
        }
    }

    /** Sends a report at once, as it holds news. */
    fun sendNow(): Unit = send(withSums = true)

    private fun send(withSums: Boolean) {
        val out = channel ?: return
        val passesOn = withSums && view.isRelay
        val n = sequence++
        sentAtMillis = clock.monotonicMillis()
        if (passesOn) summedAtMillis = sentAtMillis
        val centres = if (passesOn) view.centres() else emptyList()
        write(out, report(n, centres), view.addresses)
        if (passesOn) {
            val own = report(n, emptyList())
            write(out, own.summedUp(view.summary(own)), view.farAddresses())
        }
        out.flush()
    }

    private fun write(out: Channel, report: PeerReport, targets: List<HostPort>) {
        if (targets.isEmpty()) return
        val bytes = Cbor.encodeToByteArray(report)
        if (bytes.size > MAX_DATAGRAM_BYTES) {
            log.record("peers", "report_too_large", "bytes" to bytes.size)
            return
        }
        for (t in targets) {
            val to = HttpConnector.socketAddress(t)
            out.write(DatagramPacket(Unpooled.wrappedBuffer(bytes), to))
        }
    }

    private inner class Receiver : SimpleChannelInboundHandler<DatagramPacket>() {
        override fun channelRead0(ctx: ChannelHandlerContext, packet: DatagramPacket) {
            val report = try {
                Cbor.decodeFromByteArray<PeerReport>(ByteBufUtil.getBytes(packet.content()))
            } catch (e: Exception) {
                // The decoder reports malformed input by several unrelated exceptions.
                log.record("peers", "unreadable", "sender" to packet.sender(), "error" to e)
                return
            }
            val address = HostPort.parseOrNull(report.address) ?: return
            if (view.onReport(report, address)) onReport(report)
        }

        override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
            // A peer's closed port shows as an error on the next send; its silence tells the same.
            log.record("peers", "send_failed", "error" to cause)
        }
    }

    private companion object {
        /** The largest datagram of UDP over IPv4. */
        const val MAX_DATAGRAM_BYTES = 65_507

        /** Sums of data centres are as old as this and two ways; requests last longer. */
        const val SUM_MILLIS = 1_000L
    }
}
