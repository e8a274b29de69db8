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
import java.net.InetSocketAddress
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray

/**
 * Periodically sends this instance's [PeerReport] to its peers and receives theirs. A relay
 * includes the summaries of the other data centres, and sends the summary of its own data centre to
 * them.
 *
 * Reports are UDP datagrams, since a lost report is superseded by the next one. A peer that the
 * store does not list yet becomes known by its first report. [linkBytesPerSecond] is the bandwidth
 * of the link that reports share with requests; [ReportQueue] limits their part of it.
 */
internal class PeerExchange(
    private val loop: EventLoop,
    private val view: PeerView,
    private val log: DecisionLog,
    private val clock: Clock,
    private val report: (sequence: Long, centres: List<DataCentreSummary>) -> PeerReport,
    private val onReport: (PeerReport) -> Unit,
    linkBytesPerSecond: Long,
    private val traffic: PeerTraffic = PeerTraffic(clock, log)
) {
    private val queue = ReportQueue(clock, linkBytesPerSecond)
    private val summaryInterval = SummaryInterval(linkBytesPerSecond)
    private val encoded = HashMap<EncodedKey, Encoded>()
    private var channel: Channel? = null
    private var sequence = 0L

    /** Number of relays of other data centres that the last report was requested for. */
    private var remoteRelayCount = 0

    /** Whether [sendQueued] will be called again for reports that wait. */
    private var isContinuing = false
    private var lastSentMillis = 0L
    private var lastSummaryMillis = 0L

    /** Listens at [address]; throws if it cannot be bound. */
    fun listen(address: HostPort) {
        channel = Bootstrap()
            .group(loop.group)
            .channel(NioDatagramChannel::class.java)
            // The default receive buffer truncates datagrams at 2 KiB, which reports of fleets with
            // a few dozen servers exceed.
            .option(
                ChannelOption.RECVBUF_ALLOCATOR,
                FixedRecvByteBufAllocator(MAX_DATAGRAM_BYTES)
            )
            .option(ChannelOption.ALLOCATOR, EventLoop.allocator)
            .handler(Receiver())
            .bind(InetSocketAddress(address.host, address.port))
            .sync()
            .channel()
    }

    /**
     * Sends reports after each interval of [view] until cancelled, unless one was sent in the
     * second half of that interval.
     */
    suspend fun run() {
        while (true) {
            delay(view.intervalMillis)
            view.expire()
            val now = clock.monotonicMillis()
            if (view.isRelay && isSummaryDue(now)) {
                lastSummaryMillis = now
                send(ReportReason.SUMMARY_INTERVAL)
            } else if (now - lastSentMillis >= view.intervalMillis / 2) {
                send(ReportReason.INTERVAL)
            }
        }
    }

    private fun isSummaryDue(nowMillis: Long) = summaryInterval.isDue(
        elapsedMillis = nowMillis - lastSummaryMillis,
        askedEachMillis = view.intervalMillis,
        localPeers = view.reportAddresses.size,
        relays = remoteRelayCount
    )

    /**
     * Sends the reports that [reason] requires. They leave at once, unless reports have used up
     * their share of the link.
     */
    fun send(reason: ReportReason) {
        if (channel == null) return
        traffic.onReport(reason)
        // Reports that still wait are built anew, with the change that led to this call.
        encoded.clear()
        reason.toLocalPeers?.let {
            lastSentMillis = clock.monotonicMillis()
            queue.add(view.reportAddresses, isRelay = false, content = it)
        }
        reason.toRelays?.let {
            val addresses = view.remoteRelayAddresses()
            remoteRelayCount = addresses.size
            queue.add(addresses, isRelay = true, content = it)
        }
        sendQueued()
    }

    /** Sends the queued reports, and continues later if they exceed their share of the link. */
    private fun sendQueued() {
        val socket = channel ?: return
        while (true) {
            val next = queue.poll() ?: break
            val bytes = encodedWithinDatagram(next) ?: continue
            queue.recordSent(bytes.size)
            traffic.onDatagram(bytes.size)
            val recipient = HttpConnector.socketAddress(next.target)
            socket.write(DatagramPacket(Unpooled.wrappedBuffer(bytes), recipient))
        }
        socket.flush()
        val waitMillis = queue.millisUntilNext() ?: return
        if (isContinuing) return
        isContinuing = true
        loop.scope.launch {
            delay(waitMillis)
            isContinuing = false
            sendQueued()
        }
    }

    /**
     * Returns the report for [next], without summaries if they exceed a datagram, or null if the
     * rest exceeds it too.
     */
    private fun encodedWithinDatagram(next: ReportQueue.Next): ByteArray? {
        val bytes = encodedReport(next)
        if (bytes.size <= MAX_DATAGRAM_BYTES) return bytes
        log.record("peers", "report_too_large", "bytes" to bytes.size, "content" to next.content)
        return when (next.content) {
            ReportContent.BRIEF -> null

            ReportContent.WITH_SUMMARIES -> encodedWithinDatagram(
                ReportQueue.Next(next.target, next.isRelay, ReportContent.BRIEF)
            )
        }
    }

    /** Returns the report for [next]; peers of the same kind get the same one for a short time. */
    private fun encodedReport(next: ReportQueue.Next): ByteArray {
        val now = clock.monotonicMillis()
        val key = EncodedKey(next.isRelay, next.content)
        encoded[key]?.takeIf { now - it.atMillis < ENCODED_VALID_MILLIS }?.let { return it.bytes }
        val isWithSummaries = next.content == ReportContent.WITH_SUMMARIES
        val reportSequence = sequence++
        val report = when {
            !next.isRelay && isWithSummaries && view.isRelay ->
                report(reportSequence, view.otherSummaries())

            !next.isRelay -> report(reportSequence, emptyList())

            isWithSummaries -> report(reportSequence, emptyList()).let {
                it.withSummary(view.summary(it))
            }

            else -> report(reportSequence, emptyList()).withoutLoads()
        }
        val bytes = format.encodeToByteArray(report)
        encoded[key] = Encoded(bytes, now)
        if (isWithSummaries) summaryInterval.recordSize(next.isRelay, bytes.size)
        return bytes
    }

    private data class EncodedKey(val isRelay: Boolean, val content: ReportContent)

    private class Encoded(val bytes: ByteArray, val atMillis: Long)

    private inner class Receiver : SimpleChannelInboundHandler<DatagramPacket>() {
        override fun channelRead0(ctx: ChannelHandlerContext, packet: DatagramPacket) {
            val report = try {
                format.decodeFromByteArray<PeerReport>(ByteBufUtil.getBytes(packet.content()))
            } catch (e: Exception) {
                // The decoder throws several unrelated exceptions on malformed input.
                log.record("peers", "unreadable", "sender" to packet.sender(), "error" to e)
                return
            }
            val address = HostPort.parseOrNull(report.address) ?: return
            if (view.onReport(report, address)) onReport(report)
        }

        override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
            // A peer's closed port is reported as an error on the next send. The peer expires by
            // its silence, so this error needs no handling.
            log.record("peers", "send_failed", "error" to cause)
        }
    }

    private companion object {
        /** The position of a field in a report tells which one it is, so none may be left out. */
        val format = Cbor { encodeDefaults = true }

        /** The largest payload of a UDP datagram over IPv4. */
        const val MAX_DATAGRAM_BYTES = 65_507

        /** Encoding a report with summaries takes about a millisecond of an instance's core. */
        const val ENCODED_VALID_MILLIS = 100L
    }
}
