package io.greengageport.membership

import io.greengageport.common.InstanceId

/**
 * Selects the events and items to send to each peer. Floods to neighbours and data piggybacked on
 * probes share one token bucket of [bytesPerSecond]. Not thread-safe.
 */
internal class GossipSender(
    private val bytesPerSecond: Int,
    private val itemQueue: RumourQueue<GossipItem>
) {
    private val eventQueue = RumourQueue<MemberRecord> { EVENT_OVERHEAD_BYTES + it.textLength() }

    /** Remaining budget in thousandths of a byte. */
    private var milliTokens = bytesPerSecond.toLong() * MILLIS_PER_SECOND
    private var refilledAtMillis: Long? = null
    private var firstPeerIndex = 0

    /** Queues [record] for all peers except [source]. */
    fun addEvent(record: MemberRecord, source: InstanceId?) =
        eventQueue.add(record.id.value, record, source)

    /** Records that [peer] already has [record]. */
    fun markKnown(record: MemberRecord, peer: InstanceId) =
        eventQueue.markKnown(record.id.value, peer) { it == record }

    /** Sends each of [peers] the events and items it does not have yet, as the budget allows. */
    fun flood(peers: List<MemberRecord>, instances: Int, now: Long): List<Effect> {
        refill(now)
        if (peers.isEmpty() || (eventQueue.isEmpty() && itemQueue.isEmpty())) return emptyList()
        // On a low budget, one larger message to a single peer saves message headers.
        val isBudgetLow = milliTokens < bytesPerSecond * MILLIS_PER_SECOND / 2
        if (isBudgetLow && milliTokens < MIN_FLOOD_BYTES * MILLIS_PER_SECOND) return emptyList()
        firstPeerIndex = (firstPeerIndex + 1) % peers.size
        val rotatedPeers = peers.drop(firstPeerIndex) + peers.take(firstPeerIndex)
        return rotatedPeers.take(if (isBudgetLow) 1 else rotatedPeers.size).mapNotNull { peer ->
            val emptyMessage = SwimMessage(SwimKind.GOSSIP.ordinal)
            val message = fill(emptyMessage, peer.id, instances, HEADER_BYTES, MAX_FLOOD_BYTES)
            Effect.Send(peer.id, peer.address, message)
                .takeIf { message.events.isNotEmpty() || message.items.isNotEmpty() }
        }
    }

    /** Adds recent events and items to a ping or its ack. */
    fun piggyback(message: SwimMessage, peer: InstanceId, instances: Int): SwimMessage =
        fill(message, peer, instances, headerBytes = 0, maxBytes = MAX_PIGGYBACK_BYTES)

    private fun fill(
        message: SwimMessage,
        peer: InstanceId,
        instances: Int,
        headerBytes: Int,
        maxBytes: Int
    ): SwimMessage {
        val availableBytes =
            minOf((milliTokens / MILLIS_PER_SECOND).toInt() - headerBytes, maxBytes)
        if (availableBytes <= 0) return message
        val takenEvents = eventQueue.take(peer, availableBytes, instances)
        val eventBytes = takenEvents.sumOf { EVENT_OVERHEAD_BYTES + it.textLength() }
        val takenItems = itemQueue.take(peer, availableBytes - eventBytes, instances)
        val used = eventBytes + takenItems.sumOf { it.size }
        if (used > 0) milliTokens -= (used + headerBytes) * MILLIS_PER_SECOND
        return message.copy(events = message.events + takenEvents, items = takenItems)
    }

    private fun refill(now: Long) {
        val elapsedMillis = now - (refilledAtMillis ?: now)
        refilledAtMillis = now
        milliTokens = (milliTokens + elapsedMillis * bytesPerSecond)
            .coerceAtMost(bytesPerSecond * MILLIS_PER_SECOND)
    }

    private fun MemberRecord.textLength(): Int =
        id.value.length + address.length + dataCentre.value.length

    private companion object {
        const val MILLIS_PER_SECOND = 1_000L

        /** Estimated bytes of the numbers and CBOR headers of an event. */
        const val EVENT_OVERHEAD_BYTES = 18

        /** Estimate of the frame fields and the TCP/IP headers of the segment and its ACK. */
        const val HEADER_BYTES = 130

        /** Remaining budget below which nothing is flooded. */
        const val MIN_FLOOD_BYTES = 500L

        /** Limits the events and items of one flood message. */
        const val MAX_FLOOD_BYTES = 1_200

        /** Limits the events and items added to a ping or its ack. */
        const val MAX_PIGGYBACK_BYTES = 400
    }
}
