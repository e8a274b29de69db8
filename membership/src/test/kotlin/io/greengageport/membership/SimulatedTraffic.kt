package io.greengageport.membership

import io.greengageport.common.InstanceId

/**
 * Counts the bytes and messages of one simulated instance. Uses the same TCP estimates as
 * [MembershipMeter] does for sockets: 60 B of headers for each frame and for its acknowledgement,
 * and a fixed cost for each connection that is opened, first or after the previous one was idle.
 */
internal class SimulatedTraffic {
    private val lastUsedMillis = HashMap<InstanceId, Long>()
    var messages = 0L
    var bytes = 0L
    var connections = 0L

    fun recordSent(size: Int, to: InstanceId, now: Long, isNeighbour: Boolean) {
        val lastMillis = lastUsedMillis[to]
        if (lastMillis == null || (!isNeighbour && now - lastMillis > IDLE_MILLIS)) connections++
        markUsed(to, now)
        count(size)
    }

    fun recordReceived(size: Int) = count(size)

    fun markUsed(peer: InstanceId, now: Long) {
        lastUsedMillis[peer] = now
    }

    /** All bytes; opened connections count twice, because a connection costs both ends the same. */
    fun total(): Long = bytes + 2 * connections * CONNECTION_BYTES

    private fun count(size: Int) {
        messages++
        bytes += size + FRAME_BYTES
    }

    companion object {
        private const val IDLE_MILLIS = 5_000L

        /** Length prefix, frame fields, and the headers of the segment and its acknowledgement. */
        const val FRAME_BYTES = 10 + 2 * 60

        /** Seven segments to open and close, and three handshake frames of 60 B in own segments. */
        const val CONNECTION_BYTES = 7 * 60 + 3 * (60 + 60)
    }
}
