package io.greengageport.gateway.peer

import io.greengageport.common.DataCentre
import io.greengageport.common.InstanceId

/**
 * Which peers an instance reports to.
 *
 * In a small fleet each instance reports to all others. In a larger one it reports to those of its
 * data centre, and two relays of each data centre exchange sums with the relays of the others. So
 * the messages of an instance grow with its data centre, and the traffic between data centres not
 * at all with the instances in them.
 *
 * Relays are the live instances with the lowest ids. Instances may differ for a moment in who they
 * are: what several relays tell is the same, and what none tells is stale for some intervals.
 */
internal class ReportRoutes(private val self: InstanceId, private val own: DataCentre) {
    /** A peer as far as routes need it; of far peers only relays are heard and count as live. */
    class Candidate(val id: InstanceId, val dataCentre: DataCentre, val isAlive: Boolean)

    /** Whether all report to all. */
    fun isMesh(peers: Collection<Candidate>): Boolean =
        peers.size < MESH_INSTANCES || peers.all { it.dataCentre == own }

    /** Whether this instance passes on what its data centre and the others tell. */
    fun isRelay(peers: Collection<Candidate>): Boolean = !isMesh(peers) &&
        peers.count { it.dataCentre == own && it.isAlive && it.id < self } < RELAYS

    /** Peers that get this instance's own report. */
    fun near(peers: Collection<Candidate>): List<InstanceId> =
        (if (isMesh(peers)) peers else peers.filter { it.dataCentre == own }).map { it.id }

    /**
     * Peers that get the sums of this data centre, if it is a relay's to send them. Where too few
     * relays of a data centre are heard, others are tried in turn by [round].
     */
    fun far(peers: Collection<Candidate>, round: Int): List<InstanceId> {
        if (!isRelay(peers)) return emptyList()
        return peers.filter { it.dataCentre != own }.groupBy { it.dataCentre }.values.flatMap { c ->
            val (live, silent) = c.sortedBy { it.id }.partition { it.isAlive }
            val tried = List(minOf(RELAYS, silent.size)) { silent[(round + it) % silent.size] }
            (live.take(RELAYS) + tried.take(maxOf(0, RELAYS - live.size))).map { it.id }
        }
    }

    companion object {
        /** Up to this size the loads of all, told to all, cost less than they gain by their age. */
        const val MESH_INSTANCES = 16

        /** One may be lost or frozen at any time. */
        const val RELAYS = 2
    }
}
