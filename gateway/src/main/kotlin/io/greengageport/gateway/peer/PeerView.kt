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
import io.netty.util.NetUtil
import java.net.InetAddress

/**
 * Tracks the last report of each peer and which peers are alive.
 *
 * A peer is alive while its reports arrive. The store's list of group members only provides
 * addresses to contact, since it is read rarely and lags behind. In a large fleet only summaries
 * arrive from other data centres, and these replace the reports of individual peers there.
 */
internal class PeerView(
    private val self: InstanceId,
    private val ownCentre: DataCentre,
    private val clock: Clock,
    private val log: DecisionLog
) {
    private class Peer(
        val address: HostPort,
        val dataCentre: DataCentre,
        var report: PeerReport?,
        var lastReportMillis: Long,
        var isAlive: Boolean
    )

    private class ReceivedSummary(val summary: DataCentreSummary, val computedAtMillis: Long)

    private val peers = HashMap<InstanceId, Peer>()
    private val summaries = HashMap<DataCentre, ReceivedSummary>()
    private val routes = ReportRoutes(self, ownCentre)
    private var cachedCandidates: List<ReportRoutes.Candidate>? = null
    private var cachedLoad: Map<RunnerId, InFlight>? = null
    private var cachedUnreachable: Set<RunnerId>? = null

    /** Selects which silent instances of other data centres [remoteRelayAddresses] tries next. */
    private var round = 0

    private val candidates: List<ReportRoutes.Candidate>
        get() = cachedCandidates ?: peers.map { (id, p) ->
            ReportRoutes.Candidate(id, p.dataCentre, p.isAlive)
        }.also { cachedCandidates = it }

    /**
     * Time between two reports of this instance in ms, which grows with the number of peers that it
     * reports to.
     */
    val intervalMillis: Long
        get() {
            val groupSize =
                if (routes.isFullMesh(candidates)) MESH_GROUP_SIZE else RELAYED_GROUP_SIZE
            return (BASE_INTERVAL_MILLIS * maxOf(1, (reportTargets.size + 1) / groupSize))
                .coerceAtMost(MAX_INTERVAL_MILLIS)
        }

    /** Number of live instances, including this one. */
    val liveInstanceCount: Int
        get() = 1 + directPeers().size + freshSummaries().sumOf { it.instances }

    /** Whether this instance relays reports between data centres. */
    val isRelay: Boolean get() = routes.isRelay(candidates)

    private val reportTargets: List<InstanceId> get() = routes.localTargets(candidates)

    /** Addresses that get this instance's own report. */
    val reportAddresses: List<HostPort> get() = reportTargets.mapNotNull { peers[it]?.address }

    /**
     * Addresses that get the summary of this data centre; empty unless this instance is a relay.
     */
    fun remoteRelayAddresses(): List<HostPort> =
        routes.remoteTargets(candidates, round++).mapNotNull { peers[it]?.address }

    /**
     * Applies the members of the group that the store lists. A new member counts as alive until it
     * has been silent for too long. Peers that the store does not list are forgotten once they have
     * been silent for [PEER_EXPIRY_MILLIS].
     */
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
            id !in members && now - p.lastReportMillis > PEER_EXPIRY_MILLIS
        }
        cachedCandidates = null
        invalidateCaches()
    }

    /**
     * Applies a report; returns false if it is this instance's own or not newer than the last one.
     */
    fun onReport(report: PeerReport, address: HostPort): Boolean {
        val id = InstanceId(report.from)
        if (id == self) return false
        val peer = peers.getOrPut(id) {
            Peer(address, DataCentre(report.dataCentre), null, 0, isAlive = false)
        }
        val known = peer.report
        if (known != null && !isNewer(report, known)) return false
        peer.report = report
        peer.lastReportMillis = clock.monotonicMillis()
        report.known.forEach(::addKnownPeer)
        report.centres.forEach(::acceptSummary)
        if (!peer.isAlive) {
            peer.isAlive = true
            cachedCandidates = null
            log.record("peers", "appeared", "instance" to id, "address" to address)
        }
        invalidateCaches()
        return true
    }

    /**
     * Keeps [summary] if it is newer than the last one of its data centre, unless that is ours or
     * the age is not valid: a summary from the future would hide all later ones.
     */
    private fun acceptSummary(summary: DataCentreSummary) {
        if (summary.ageMillis !in 0..SUMMARY_EXPIRY_MILLIS) return
        val centre = DataCentre(summary.dataCentre)
        val computedAtMillis = clock.monotonicMillis() - summary.ageMillis
        if (centre != ownCentre &&
            computedAtMillis > (summaries[centre]?.computedAtMillis ?: Long.MIN_VALUE)
        ) {
            summaries[centre] = ReceivedSummary(summary, computedAtMillis)
        }
    }

    private fun freshSummaries(): List<DataCentreSummary> {
        val now = clock.monotonicMillis()
        summaries.values.removeIf { now - it.computedAtMillis > SUMMARY_EXPIRY_MILLIS }
        return summaries.values.map { it.summary }
    }

    /** Live peers whose data centre is not covered by a summary. */
    private fun directPeers(): List<Peer> {
        freshSummaries()
        return peers.values.filter { it.isAlive && it.dataCentre !in summaries }
    }

    private fun reports(): List<PeerReport> = directPeers().mapNotNull { it.report }

    /**
     * Whether there are live peers that renew their membership, and none of them has had a recent
     * answer from the store. A peer that has not had any answer yet (null) counts as one without a
     * recent answer. A peer without a path to servers does not renew: it shows nothing about the
     * store, and the store assigns it no duty.
     */
    fun isStoreUnreachableForAll(): Boolean {
        val now = clock.monotonicMillis()
        val live = peers.values.filter { it.isAlive && it.report?.hasServerPath == true }
        val ages = live.map { p ->
            p.report?.renewalAgeMillis?.let { it + now - p.lastReportMillis }
        } + freshSummaries().map { it.renewalAgeMillis }
        return live.isNotEmpty() && ages.all { it == null || it > STORE_OUTAGE_MILLIS }
    }

    /** A random sample of the live peers, to include in a report. */
    fun sampleLivePeers(): List<KnownPeer> = peers.entries
        .filter { it.value.isAlive && it.value.report != null }
        .shuffled()
        .take(SAMPLE_SIZE)
        .map { (id, p) -> KnownPeer(id.value, p.dataCentre.value, p.address.toString()) }

    /** Adds a peer that another peer mentioned. It becomes alive with its own first report. */
    private fun addKnownPeer(known: KnownPeer) {
        val id = InstanceId(known.id)
        val address = HostPort.parseOrNull(known.address) ?: return
        if (id != self && id !in peers) {
            val centre = DataCentre(known.dataCentre)
            peers[id] = Peer(address, centre, null, clock.monotonicMillis(), isAlive = false)
            cachedCandidates = null
        }
    }

    /**
     * Marks peers that have gone silent as no longer alive. Has to be called in each interval of
     * [intervalMillis].
     */
    fun expire() {
        val now = clock.monotonicMillis()
        val silenceMillis = SILENT_INTERVALS * intervalMillis + SILENCE_MARGIN_MILLIS
        for ((id, p) in peers) {
            if (p.isAlive && now - p.lastReportMillis > silenceMillis) {
                p.isAlive = false
                cachedCandidates = null
                invalidateCaches()
                log.record("peers", "silent", "instance" to id, "since_ms" to silenceMillis)
            }
        }
    }

    /**
     * Requests that the live peers have in flight by server, or null while no peer has reported.
     */
    fun load(): Map<RunnerId, InFlight>? {
        cachedLoad?.let { return it }
        val reports = reports()
        val summaries = freshSummaries()
        if (reports.isEmpty() && summaries.isEmpty()) return null
        val sum = HashMap<RunnerId, InFlight>()
        for (l in reports.flatMap { it.load } + summaries.flatMap { it.load }) {
            val id = RunnerId(l.server)
            val old = sum[id] ?: InFlight.NONE
            sum[id] = InFlight(old.requests + l.requests, old.tokenLayers + l.tokenLayers)
        }
        cachedLoad = sum
        return sum
    }

    /** Admitted requests of the live peers by service, or null while no peer has reported. */
    fun requestsByService(): Map<ServiceName, Int>? {
        val reported = reports().map { it.requestsByService } +
            freshSummaries().map { it.requestsByService }
        if (reported.isEmpty()) return null
        val sum = HashMap<ServiceName, Int>()
        for (t in reported) {
            for ((service, requests) in t) sum.merge(ServiceName(service), requests, Int::plus)
        }
        return sum
    }

    /** Retries of the live peers for [service], or null while no peer has reported. */
    fun retries(service: ServiceName): RetryUsage? {
        val reported = reports().map { it.retries } + freshSummaries().map { it.retries }
        if (reported.isEmpty()) return null
        return total(reported.mapNotNull { it[service.value] })
    }

    private fun total(uses: List<RetryUse>): RetryUsage =
        uses.fold(RetryUsage.NONE) { sum, u -> sum + RetryUsage(u.used, u.earned) }

    /** Whether a live peer reports that it reaches backend servers. */
    fun hasPeerWithPath(): Boolean =
        peers.values.any { it.isAlive && it.report?.hasServerPath == true } ||
            freshSummaries().any { it.tunnelPeers.isNotEmpty() }

    /**
     * Servers that at least one live peer found unreachable. The report of a peer that lists more
     * than [MAX_CREDIBLE_SERVERS] is ignored, because that peer is more likely disconnected itself,
     * and so is that of a peer without a path to servers.
     */
    fun unreachableServers(): Set<RunnerId> {
        cachedUnreachable?.let { return it }
        val found = unreachableIn(reports()) + freshSummaries().flatMap { it.unreachable }
        return found.mapTo(HashSet(), ::RunnerId).also { cachedUnreachable = it }
    }

    /** Whether [address] is the IP address of a known peer. */
    fun isPeerAddress(address: InetAddress): Boolean = peers.values.any {
        NetUtil.createByteArrayFromIpAddressString(it.address.host)
            ?.contentEquals(address.address) == true
    }

    /**
     * The live peers that accept tunnels, in random order: first one of this data centre, then one
     * of another, since a cut may affect a whole data centre, then the rest. Of data centres that
     * only send summaries, these name a sample. If none accepts tunnels, those that have a path are
     * returned, since an instance that is stopping takes tunnels for a while if nobody else does.
     */
    fun tunnelPeers(): List<TunnelPeer> {
        val accepting = acceptingPeers()
        if (accepting.isNotEmpty()) return accepting
        return peers.entries.filter { (_, p) -> p.isAlive && p.report?.hasServerPath == true }
            .map { (id, p) -> TunnelPeer(id, p.address) }.shuffled()
    }

    private fun acceptingPeers(): List<TunnelPeer> {
        val (near, far) = peers.entries.filter { (_, p) -> p.isAlive && p.report.acceptsTunnels() }
            .partition { (_, p) -> p.dataCentre == ownCentre }
        val known = far.map { (id, p) -> TunnelPeer(id, p.address) }
        val sampled = freshSummaries().flatMap { it.tunnelPeers }.mapNotNull { p ->
            HostPort.parseOrNull(p.address)?.let { TunnelPeer(InstanceId(p.id), it) }
        }
        val nearPeers = near.map { (id, p) -> TunnelPeer(id, p.address) }.shuffled()
        val farPeers = (known + sampled).filter { it.id != self }.distinctBy { it.id }.shuffled()
        return nearPeers.take(1) + farPeers.take(1) + nearPeers.drop(1) + farPeers.drop(1)
    }

    private fun PeerReport?.acceptsTunnels() = this != null && hasServerPath && acceptsTunnels

    private fun unreachableIn(reports: List<PeerReport>): List<String> =
        reports.filter { it.hasServerPath }.map { it.unreachable }
            .filter { it.size <= MAX_CREDIBLE_SERVERS }.flatten()

    /** Summarises this data centre for the others; [ownReport] is this instance's own report. */
    fun summary(ownReport: PeerReport): DataCentreSummary {
        val reports = peers.values.filter { it.isAlive && it.dataCentre == ownCentre }
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
        return DataCentreSummary(
            dataCentre = ownCentre.value,
            ageMillis = 0,
            instances = reports.size,
            load = load.values.toList(),
            requestsByService = requests,
            retries = retries,
            unreachable = unreachableIn(reports).distinct(),
            renewalAgeMillis = reports.mapNotNull { it.renewalAgeMillis }.minOrNull(),
            tunnelPeers = reports.filter { it.acceptsTunnels() }.shuffled().take(TUNNEL_SAMPLE_SIZE)
                .map { KnownPeer(it.from, it.dataCentre, it.address) }
        )
    }

    /** The summaries of the other data centres with their current ages, to relay them. */
    fun otherSummaries(): List<DataCentreSummary> {
        val now = clock.monotonicMillis()
        return freshSummaries().map { s ->
            val computedAtMillis = summaries.getValue(DataCentre(s.dataCentre)).computedAtMillis
            DataCentreSummary(
                dataCentre = s.dataCentre,
                ageMillis = now - computedAtMillis,
                instances = s.instances,
                load = s.load,
                requestsByService = s.requestsByService,
                retries = s.retries,
                unreachable = s.unreachable,
                renewalAgeMillis = s.renewalAgeMillis?.let { it + now - computedAtMillis },
                tunnelPeers = s.tunnelPeers
            )
        }
    }

    private fun invalidateCaches() {
        cachedLoad = null
        cachedUnreachable = null
    }

    private fun isNewer(report: PeerReport, known: PeerReport): Boolean =
        when (report.startedAtMillis) {
            known.startedAtMillis -> report.sequence > known.sequence
            else -> report.startedAtMillis > known.startedAtMillis
        }

    private companion object {
        /** Requests last a few seconds, so loads of this age are still accurate enough. */
        const val BASE_INTERVAL_MILLIS = 200L
        const val MAX_INTERVAL_MILLIS = 2_000L

        /**
         * The interval grows by [BASE_INTERVAL_MILLIS] for each further group of this many
         * instances, so that the traffic of each instance stays about constant.
         */
        const val MESH_GROUP_SIZE = 12

        /** Replaces [MESH_GROUP_SIZE] where reports between data centres are relayed. */
        const val RELAYED_GROUP_SIZE = 6

        /** A peer is no longer alive after this many intervals and [SILENCE_MARGIN_MILLIS]. */
        const val SILENT_INTERVALS = 3
        const val SILENCE_MARGIN_MILLIS = 600L
        const val PEER_EXPIRY_MILLIS = 30_000L

        /** A multiple of the interval at which relays send summaries. */
        const val SUMMARY_EXPIRY_MILLIS = 5_000L

        /** Spans three renewals that the store did not answer. */
        const val STORE_OUTAGE_MILLIS = 3_000L

        /**
         * Covers servers that fail together, such as those of a rack; a disconnected instance loses
         * all servers at once.
         */
        const val MAX_CREDIBLE_SERVERS = 8

        /** Large enough that all instances of a large fleet know each other after a few reports. */
        const val SAMPLE_SIZE = 8

        /** Enough for a choice of two if some of them have stopped. */
        const val TUNNEL_SAMPLE_SIZE = 4
    }
}
