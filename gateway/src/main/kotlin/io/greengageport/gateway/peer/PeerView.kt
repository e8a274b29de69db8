package io.greengageport.gateway.peer

import io.greengageport.common.Clock
import io.greengageport.common.HostPort
import io.greengageport.common.InstanceId
import io.greengageport.common.RunnerId
import io.greengageport.common.ServiceName
import io.greengageport.gateway.logging.DecisionLog
import io.greengageport.routing.InFlight

/**
 * What the peers told last, and who of them is alive.
 *
 * A peer counts as alive while its reports come; the store's list of group members only tells where
 * to look for peers, since it is read seldom and lags.
 */
internal class PeerView(
    private val self: InstanceId,
    private val clock: Clock,
    private val log: DecisionLog
) {
    private class Peer(
        val address: HostPort,
        var report: PeerReport?,
        var heardAtMillis: Long,
        var isAlive: Boolean
    )

    private val peers = HashMap<InstanceId, Peer>()
    private var loadSum: Map<RunnerId, InFlight>? = null
    private var unreachableNow: Set<RunnerId>? = null

    /** Time between two reports of an instance, which grows with the fleet. */
    val intervalMillis: Long
        get() = (BASE_INTERVAL_MILLIS * maxOf(1, (peers.size + 1) / SMALL_FLEET))
            .coerceAtMost(MAX_INTERVAL_MILLIS)

    /** Instances that are alive, this one included. */
    val instances: Int get() = 1 + peers.values.count { it.isAlive }

    /** Where reports go. */
    val addresses: List<HostPort> get() = peers.values.map { it.address }

    /** Takes in the members of the group that the store lists. */
    fun onMembers(members: Map<InstanceId, HostPort>) {
        for ((id, address) in members) {
            if (id == self) continue
            val known = peers[id]
            if (known == null || known.address != address) {
                peers[id] = Peer(address, null, clock.monotonicMillis(), isAlive = true)
            }
        }
        val now = clock.monotonicMillis()
        peers.entries.removeIf { (id, p) ->
            id !in members && now - p.heardAtMillis > FORGET_MILLIS
        }
        forgetSums()
    }

    /** Takes in a report; false if it is older than the one known. */
    fun onReport(report: PeerReport, address: HostPort): Boolean {
        val id = InstanceId(report.from)
        if (id == self) return false
        val p = peers.getOrPut(id) { Peer(address, null, 0, isAlive = false) }
        val known = p.report
        if (known != null && !isNewer(report, known)) return false
        p.report = report
        p.heardAtMillis = clock.monotonicMillis()
        report.known.forEach(::learn)
        if (!p.isAlive) {
            p.isAlive = true
            log.record("peers", "appeared", "instance" to id, "address" to address)
        }
        forgetSums()
        return true
    }

    /** Whether there are live peers and the store has answered none of them lately. */
    fun isStoreAwayForAll(): Boolean {
        val now = clock.monotonicMillis()
        val live = peers.values.filter { it.isAlive && it.report != null }
        return live.isNotEmpty() && live.all { p ->
            val age = p.report?.renewalAgeMillis
            age == null || age + now - p.heardAtMillis > STORE_AWAY_MILLIS
        }
    }

    /** Peers to tell others of: live ones, a few at random. */
    fun sample(): List<KnownPeer> = peers.entries
        .filter { it.value.isAlive && it.value.report != null }
        .shuffled()
        .take(SAMPLE)
        .map { (id, p) -> KnownPeer(id.value, p.address.toString()) }

    /** Takes note of a peer by hearsay; it counts as alive once it is heard itself. */
    private fun learn(known: KnownPeer) {
        val id = InstanceId(known.id)
        val address = HostPort.parseOrNull(known.address) ?: return
        if (id != self && id !in peers) {
            peers[id] = Peer(address, null, clock.monotonicMillis(), isAlive = false)
        }
    }

    /** Drops peers that have fallen silent; to be called with each report that is sent. */
    fun expire() {
        val now = clock.monotonicMillis()
        val silence = SILENT_INTERVALS * intervalMillis + SILENT_MILLIS
        for ((id, p) in peers) {
            if (p.isAlive && now - p.heardAtMillis > silence) {
                p.isAlive = false
                forgetSums()
                log.record("peers", "silent", "instance" to id, "since_ms" to silence)
            }
        }
    }

    /** What the live peers have in flight, or null while no peer has told anything. */
    fun load(): Map<RunnerId, InFlight>? {
        loadSum?.let { return it }
        val reports = peers.values.filter { it.isAlive }.mapNotNull { it.report }
        if (reports.isEmpty()) return null
        val sum = HashMap<RunnerId, InFlight>()
        for (r in reports) {
            for (l in r.load) {
                val id = RunnerId(l.server)
                val old = sum[id] ?: InFlight.NONE
                sum[id] = InFlight(old.requests + l.requests, old.tokenLayers + l.tokenLayers)
            }
        }
        loadSum = sum
        return sum
    }

    /** Admitted requests of the live peers by service, or null while no peer has told anything. */
    fun requestsByService(): Map<ServiceName, Int>? {
        val reports = peers.values.filter { it.isAlive }.mapNotNull { it.report }
        if (reports.isEmpty()) return null
        val sum = HashMap<ServiceName, Int>()
        for (r in reports) {
            for ((service, requests) in r.requestsByService) {
                sum.merge(ServiceName(service), requests, Int::plus)
            }
        }
        return sum
    }

    /**
     * Servers that at least one live peer found unreachable. A peer that names many is more likely
     * cut off itself and is not believed.
     */
    fun unreachable(): Set<RunnerId> {
        unreachableNow?.let { return it }
        val found = peers.values.filter { it.isAlive }
            .map { it.report?.unreachable.orEmpty() }
            .filter { it.size <= MAX_BELIEVED }
            .flatMapTo(HashSet()) { it.map(::RunnerId) }
        unreachableNow = found
        return found
    }

    private fun forgetSums() {
        loadSum = null
        unreachableNow = null
    }

    private fun isNewer(report: PeerReport, known: PeerReport): Boolean =
        when (report.startedAtMillis) {
            known.startedAtMillis -> report.sequence > known.sequence
            else -> report.startedAtMillis > known.startedAtMillis
        }

    private companion object {
        /** Requests last some seconds, so loads that are this old are still about right. */
        const val BASE_INTERVAL_MILLIS = 200L
        const val MAX_INTERVAL_MILLIS = 2_000L

        /** Up to this size the interval is the shortest; beyond, traffic per instance is level. */
        const val SMALL_FLEET = 12
        const val SILENT_INTERVALS = 3
        const val SILENT_MILLIS = 600L
        const val FORGET_MILLIS = 30_000L

        /** Three renewals that the store has not answered. */
        const val STORE_AWAY_MILLIS = 3_000L

        /** Servers that fail together, as those of a rack; a cut instance loses all at once. */
        const val MAX_BELIEVED = 8

        /** With so many, all know all after a few reports also in a large fleet. */
        const val SAMPLE = 8
    }
}
