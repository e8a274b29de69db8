package io.greengageport.gateway.peer

import io.greengageport.common.DataCentre
import io.greengageport.common.InstanceId

/**
 * Selects the peers to which an instance sends reports.
 *
 * In a small fleet each instance reports to all others. In a larger one it reports to the instances
 * of its data centre, and two relays of each data centre exchange summaries with the relays of the
 * others. So the number of messages of an instance grows with its data centre only, and the traffic
 * between data centres does not depend on the number of instances.
 *
 * Relays are the live instances with the lowest ids. Instances may disagree for a short time about
 * which they are: summaries from several relays are equivalent, and without a relay the receivers'
 * summaries become stale for a few intervals.
 */
internal class ReportRoutes(private val self: InstanceId, private val ownCentre: DataCentre) {
    /**
     * A peer as a possible target. Unless every instance reports to every other, only the relays
     * of other data centres report to this instance, so only they can be alive there.
     */
    class Candidate(val id: InstanceId, val dataCentre: DataCentre, val isAlive: Boolean)

    /** Whether every instance reports to every other. */
    fun isFullMesh(peers: Collection<Candidate>): Boolean =
        peers.size < MAX_MESH_INSTANCES || peers.all { it.dataCentre == ownCentre }

    /** Whether this instance relays summaries between its data centre and the others. */
    fun isRelay(peers: Collection<Candidate>): Boolean = !isFullMesh(peers) &&
        peers.count { it.dataCentre == ownCentre && it.isAlive && it.id < self } < RELAYS_PER_CENTRE

    /** Peers that get this instance's own report. */
    fun localTargets(peers: Collection<Candidate>): List<InstanceId> =
        (if (isFullMesh(peers)) peers else peers.filter { it.dataCentre == ownCentre })
            .map { it.id }

    /**
     * Peers that get the summary of this data centre; empty if this instance is not a relay. For a
     * data centre with fewer than [RELAYS_PER_CENTRE] live instances, silent ones are tried in
     * rotation, selected by [round].
     */
    fun remoteTargets(peers: Collection<Candidate>, round: Int): List<InstanceId> {
        if (!isRelay(peers)) return emptyList()
        return peers.filter { it.dataCentre != ownCentre }
            .groupBy { it.dataCentre }
            .values
            .flatMap { group ->
                val (live, silent) = group.sortedBy { it.id }.partition { it.isAlive }
                val tried = List(minOf(RELAYS_PER_CENTRE, silent.size)) {
                    silent[(round + it) % silent.size]
                }
                (live.take(RELAYS_PER_CENTRE) + tried.take(maxOf(0, RELAYS_PER_CENTRE - live.size)))
                    .map { it.id }
            }
    }

    companion object {
        /**
         * Up to this number of instances, including this one, reporting to all of them is worth its
         * traffic because the loads are more recent.
         */
        const val MAX_MESH_INSTANCES = 16

        /** Two, because one may be lost or frozen at any time. */
        const val RELAYS_PER_CENTRE = 2
    }
}
