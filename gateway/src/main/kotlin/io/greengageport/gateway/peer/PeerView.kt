package io.greengageport.gateway.peer

import io.greengageport.common.Clock
import io.greengageport.common.DataCentre
import io.greengageport.common.HostPort
import io.greengageport.common.InstanceId
import io.greengageport.common.RunnerId
import io.greengageport.common.ServiceName
import io.greengageport.gateway.logging.DecisionLog
import io.greengageport.gateway.port.MemberAddress
import io.greengageport.routing.InFlight
import io.greengageport.routing.RetryUsage

/**
 * What the peers told last, and who of them is alive.
 *
 * A peer counts as alive while its reports come; the store's list of group members only tells where
 * to look for peers, since it is read seldom and lags. Of other data centres a large fleet hears
 * sums only, and these count in place of what single peers there told.
 */
internal class PeerView(
    private val self: InstanceId,
    private val own: DataCentre,
    private val clock: Clock,
    private val log: DecisionLog
) {
    private class Peer(
        val address: HostPort,
        val dataCentre: DataCentre,
        var report: PeerReport?,
        var heardAtMillis: Long,
        var isAlive: Boolean
    )

    private class Sum(val summary: CentreSummary, val atMillis: Long)

    private val peers = HashMap<InstanceId, Peer>()
    private val sums = HashMap<DataCentre, Sum>()
    private val routes = ReportRoutes(self, own)
    private var candidateList: List<ReportRoutes.Candidate>? = null
    private var loadSum: Map<RunnerId, InFlight>? = null
    private var unreachableNow: Set<RunnerId>? = null
    private var round = 0

    private val candidates: List<ReportRoutes.Candidate>
        get() = candidateList ?: peers.map { (id, p) ->
            ReportRoutes.Candidate(id, p.dataCentre, p.isAlive)
        }.also { candidateList = it }

    /** Time between two reports of an instance, which grows with the peers that it reports to. */
    val intervalMillis: Long
        get() {
            val perInterval = if (routes.isMesh(candidates)) SMALL_FLEET else RELAYED_GROUP
            return (BASE_INTERVAL_MILLIS * maxOf(1, (near.size + 1) / perInterval))
                .coerceAtMost(MAX_INTERVAL_MILLIS)
        }

    /** Instances that are alive, this one included. */
    val instances: Int
        get() = 1 + heardPeers().size + validSums().sumOf { it.instances }

    /** Whether this instance passes on reports between data centres. */
    val isRelay: Boolean get() = routes.isRelay(candidates)

    private val near: List<InstanceId> get() = routes.near(candidates)

    /** Where this instance's own report goes. */
    val addresses: List<HostPort> get() = near.mapNotNull { peers[it]?.address }

    /** Where the sums of this data centre go; none unless this instance is a relay. */
    fun farAddresses(): List<HostPort> =
        routes.far(candidates, round++).mapNotNull { peers[it]?.address }

    /** Takes in the members of the group that the store lists. */
    fun onMembers(members: Map<InstanceId, MemberAddress>) {
        val now = clock.monotonicMillis()
        for ((id, member) in members) {
            if (id == self) continue
            val known = peers[id]
            if (known == null || known.address != member.address) {
                peers[id] =
                    Peer(member.address, member.dataCentre, null, now, isAlive = true)
            }
        }
        peers.entries.removeIf { (id, p) ->
            id !in members && now - p.heardAtMillis > FORGET_MILLIS
        }
        candidateList = null
        forgetSums()
    }

    /** Takes in a report; false if it is older than the one known. */
    fun onReport(report: PeerReport, address: HostPort): Boolean {
        val id = InstanceId(report.from)
        if (id == self) return false
        val p = peers.getOrPut(id) {
            Peer(address, DataCentre(report.dataCentre), null, 0, isAlive = false)
        }
        val known = p.report
        if (known != null && !isNewer(report, known)) return false
        p.report = report
        p.heardAtMillis = clock.monotonicMillis()
        report.known.forEach(::learn)
        report.centres.forEach(::takeSum)
        if (!p.isAlive) {
            p.isAlive = true
            candidateList = null
            log.record("peers", "appeared", "instance" to id, "address" to address)
        }
        forgetSums()
        return true
    }

    private fun takeSum(summary: CentreSummary) {
        val centre = DataCentre(summary.dataCentre)
        val at = clock.monotonicMillis() - summary.ageMillis
        if (centre != own && at > (sums[centre]?.atMillis ?: Long.MIN_VALUE)) {
            sums[centre] = Sum(summary, at)
        }
    }

    private fun validSums(): List<CentreSummary> {
        val now = clock.monotonicMillis()
        sums.values.removeIf { now - it.atMillis > SUM_KEPT_MILLIS }
        return sums.values.map { it.summary }
    }

    /** Live peers of which no sum tells. */
    private fun heardPeers(): List<Peer> {
        validSums()
        return peers.values.filter { it.isAlive && it.dataCentre !in sums }
    }

    private fun reports(): List<PeerReport> = heardPeers().mapNotNull { it.report }

    /** Whether there are live peers and the store has answered none of them lately. */
    fun isStoreAwayForAll(): Boolean {
        val now = clock.monotonicMillis()
        val live = peers.values.filter { it.isAlive && it.report != null }
        val ages = live.map { p ->
            p.report?.renewalAgeMillis?.let { it + now - p.heardAtMillis }
        } + validSums().map { it.renewalAgeMillis }
        return live.isNotEmpty() && ages.all { it == null || it > STORE_AWAY_MILLIS }
    }

    /** Peers to tell others of: live ones, a few at random. */
    fun sample(): List<KnownPeer> = peers.entries
        .filter { it.value.isAlive && it.value.report != null }
        .shuffled()
        .take(SAMPLE)
        .map { (id, p) -> KnownPeer(id.value, p.dataCentre.value, p.address.toString()) }

    /** Takes note of a peer by hearsay; it counts as alive once it is heard itself. */
    private fun learn(known: KnownPeer) {
        val id = InstanceId(known.id)
        val address = HostPort.parseOrNull(known.address) ?: return
        if (id != self && id !in peers) {
            val centre = DataCentre(known.dataCentre)
            peers[id] = Peer(address, centre, null, clock.monotonicMillis(), isAlive = false)
            candidateList = null
        }
    }

    /** Drops peers that have fallen silent; to be called with each report that is sent. */
    fun expire() {
        val now = clock.monotonicMillis()
        val silence = SILENT_INTERVALS * intervalMillis + SILENT_MILLIS
        for ((id, p) in peers) {
            if (p.isAlive && now - p.heardAtMillis > silence) {
                p.isAlive = false
                candidateList = null
                forgetSums()
                log.record("peers", "silent", "instance" to id, "since_ms" to silence)
            }
        }
    }

    /** What the live peers have in flight, or null while no peer has told anything. */
    fun load(): Map<RunnerId, InFlight>? {
        loadSum?.let { return it }
        val reports = reports()
        val sums = validSums()
        if (reports.isEmpty() && sums.isEmpty()) return null
        val sum = HashMap<RunnerId, InFlight>()
        for (l in reports.flatMap { it.load } + sums.flatMap { it.load }) {
            val id = RunnerId(l.server)
            val old = sum[id] ?: InFlight.NONE
            sum[id] = InFlight(old.requests + l.requests, old.tokenLayers + l.tokenLayers)
        }
        loadSum = sum
        return sum
    }

    /** Admitted requests of the live peers by service, or null while no peer has told anything. */
    fun requestsByService(): Map<ServiceName, Int>? {
        val told = reports().map { it.requestsByService } + validSums().map { it.requestsByService }
        if (told.isEmpty()) return null
        val sum = HashMap<ServiceName, Int>()
        for (t in told) {
            for ((service, requests) in t) sum.merge(ServiceName(service), requests, Int::plus)
        }
        return sum
    }

    /** Retries of the live peers for [service], or null while no peer has told anything. */
    fun retries(service: ServiceName): RetryUsage? {
        val told = reports().map { it.retries } + validSums().map { it.retries }
        if (told.isEmpty()) return null
        return total(told.mapNotNull { it[service.value] })
    }

    private fun total(uses: List<RetryUse>): RetryUsage =
        uses.fold(RetryUsage.NONE) { sum, u -> sum + RetryUsage(u.used, u.earned) }

    /**
     * Servers that at least one live peer found unreachable. A peer that names many is more likely
     * cut off itself and is not believed.
     */
    fun unreachable(): Set<RunnerId> {
        unreachableNow?.let { return it }
        val found = reports().map { it.unreachable }.filter { it.size <= MAX_BELIEVED }.flatten() +
            validSums().flatMap { it.unreachable }
        return found.mapTo(HashSet(), ::RunnerId).also { unreachableNow = it }
    }

    /** Sums up this data centre for the others; [ownReport] is this instance's. */
    fun summary(ownReport: PeerReport): CentreSummary {
        val reports = peers.values.filter { it.isAlive && it.dataCentre == own }
            .mapNotNull { it.report } + ownReport
        val load = HashMap<String, ServerLoad>()
        for (l in reports.flatMap { it.load }) {
            load.merge(l.server, l) { a, b ->
                ServerLoad(a.server, a.requests + b.requests, a.tokenLayers + b.tokenLayers)
            }
        }
        val requests = HashMap<String, Int>()
        for (r in reports) {
            for ((service, n) in r.requestsByService) requests.merge(service, n, Int::plus)
        }
        val retries = reports.flatMap { it.retries.entries }.groupBy({ it.key }, { it.value })
            .mapValues { (_, uses) -> total(uses).let { RetryUse(it.used, it.earned) } }
        return CentreSummary(
            dataCentre = own.value,
            ageMillis = 0,
            instances = reports.size,
            load = load.values.toList(),
            requestsByService = requests,
            retries = retries,
            unreachable = reports.map { it.unreachable }.filter { it.size <= MAX_BELIEVED }
                .flatten().distinct(),
            renewalAgeMillis = reports.mapNotNull { it.renewalAgeMillis }.minOrNull()
        )
    }

    /** The sums of the other data centres with their ages of now, to pass them on. */
    fun centres(): List<CentreSummary> {
        val now = clock.monotonicMillis()
        return validSums().map { s ->
            val at = sums.getValue(DataCentre(s.dataCentre)).atMillis
            CentreSummary(
                dataCentre = s.dataCentre,
                ageMillis = now - at,
                instances = s.instances,
                load = s.load,
                requestsByService = s.requestsByService,
                retries = s.retries,
                unreachable = s.unreachable,
                renewalAgeMillis = s.renewalAgeMillis?.let { it + now - at }
            )
        }
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

        /** The same for instances that hear of other data centres by sums only. */
        const val RELAYED_GROUP = 6
        const val SILENT_INTERVALS = 3
        const val SILENT_MILLIS = 600L
        const val FORGET_MILLIS = 30_000L

        /** Some intervals at which relays send sums. */
        const val SUM_KEPT_MILLIS = 5_000L

        /** Three renewals that the store has not answered. */
        const val STORE_AWAY_MILLIS = 3_000L

        /** Servers that fail together, as those of a rack; a cut instance loses all at once. */
        const val MAX_BELIEVED = 8

        /** With so many, all know all after a few reports also in a large fleet. */
        const val SAMPLE = 8
    }
}
