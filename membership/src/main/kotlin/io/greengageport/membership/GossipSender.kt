package io.greengageport.membership

import io.greengageport.common.InstanceId

/**
 * Chooses what is sent with a message to a peer, within a byte budget per second that holds for
 * floods to neighbours and for what is piggybacked on probes. Not thread-safe.
 */
internal class GossipSender(
    private val bytesPerSecond: Int,
    private val items: RumourQueue<GossipItem>
) {
    private val events = RumourQueue<MemberRecord> { EVENT_OVERHEAD_BYTES + it.textSize() }
    private var tokens = bytesPerSecond.toLong() * MILLIS_PER_SECOND
    private var refilledAt: Long? = null
    private var rotation = 0

    fun add(record: MemberRecord, source: InstanceId?) = events.add(record.id.value, record, source)

    /** Notes that [peer] has [record]. */
    fun heard(record: MemberRecord, peer: InstanceId) =
        events.heard(record.id.value, peer) { it == record }

    /** Sends all neighbours what they were not yet sent. */
    fun flood(peers: List<MemberRecord>, instances: Int, now: Long): List<Effect> {
        refill(now)
        if (peers.isEmpty() || (events.isEmpty() && items.isEmpty())) return emptyList()
        // With few tokens left, one larger message to one peer saves headers.
        val isScarce = tokens < bytesPerSecond * MILLIS_PER_SECOND / 2
        if (isScarce && tokens < MIN_BATCH_BYTES * MILLIS_PER_SECOND) return emptyList()
        rotation = (rotation + 1) % peers.size
        val order = peers.drop(rotation) + peers.take(rotation)
        return order.take(if (isScarce) 1 else order.size).mapNotNull { peer ->
            val empty = SwimMessage(SwimKind.GOSSIP.ordinal)
            val message = fill(empty, peer.id, instances, HEADER_BYTES, MAX_FLOOD_BYTES)
            Effect.Send(peer.id, peer.address, message)
                .takeIf { message.events.isNotEmpty() || message.items.isNotEmpty() }
        }
    }

    /** Adds recent events and items to a probe or its answer. */
    fun piggyback(message: SwimMessage, peer: InstanceId, instances: Int): SwimMessage =
        fill(message, peer, instances, headers = 0, maxBytes = MAX_PIGGYBACK_BYTES)

    private fun fill(
        message: SwimMessage,
        peer: InstanceId,
        instances: Int,
        headers: Int,
        maxBytes: Int
    ): SwimMessage {
        val room = minOf((tokens / MILLIS_PER_SECOND).toInt() - headers, maxBytes)
        if (room <= 0) return message
        val takenEvents = events.take(peer, room, instances)
        val eventBytes = takenEvents.sumOf { EVENT_OVERHEAD_BYTES + it.textSize() }
        val takenItems = items.take(peer, room - eventBytes, instances)
        val used = eventBytes + takenItems.sumOf { it.size }
        if (used > 0) tokens -= (used + headers) * MILLIS_PER_SECOND
        return message.copy(events = message.events + takenEvents, items = takenItems)
    }

    private fun refill(now: Long) {
        val elapsed = now - (refilledAt ?: now)
        refilledAt = now
        tokens = (tokens + elapsed * bytesPerSecond)
            .coerceAtMost(bytesPerSecond * MILLIS_PER_SECOND)
    }

    private fun MemberRecord.textSize(): Int =
        id.value.length + address.length + dataCentre.value.length

    private companion object {
        const val MILLIS_PER_SECOND = 1_000L
        const val EVENT_OVERHEAD_BYTES = 18

        /** The frame's fields, its segment's headers and those of the acknowledgement. */
        const val HEADER_BYTES = 130
        const val MIN_BATCH_BYTES = 500L
        const val MAX_FLOOD_BYTES = 1_200
        const val MAX_PIGGYBACK_BYTES = 400
    }
}
