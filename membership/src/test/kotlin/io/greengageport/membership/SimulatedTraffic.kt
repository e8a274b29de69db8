package io.greengageport.membership

import io.greengageport.common.InstanceId

/**
 * Bytes and messages of one simulated instance, with the estimates of TCP that [MembershipMeter]
 * uses for sockets too: 60 B of headers for each frame and for its acknowledgement, and a fixed
 * cost for each connection that is opened after its predecessor was idle.
 */
internal class SimulatedTraffic {
    private val lastUse = HashMap<InstanceId, Long>()
    var messages = 0L
    var bytes = 0L
    var connections = 0L

    fun sent(size: Int, to: InstanceId, now: Long, isNeighbour: Boolean) {
        val last = lastUse[to]
        if (last == null || (!isNeighbour && now - last > IDLE_MILLIS)) connections++
        touched(to, now)
        count(size)
    }

    fun received(size: Int) = count(size)

    fun touched(peer: InstanceId, now: Long) {
        lastUse[peer] = now
    }

    /** All bytes; a connection costs the same at both ends, so the opened ones count twice. */
    fun total(): Long = bytes + 2 * connections * CONNECTION_BYTES

    private fun count(size: Int) {
        messages++
        bytes += size + FRAME_BYTES
    }

    companion object {
        private const val IDLE_MILLIS = 5_000L

        /** Length, frame fields and two segments: the frame's and its acknowledgement's. */
        const val FRAME_BYTES = 10 + 2 * 60

        /** Seven segments to open and close, three handshake frames of 60 B and their segments. */
        const val CONNECTION_BYTES = 7 * 60 + 3 * (60 + 60)
    }
}
