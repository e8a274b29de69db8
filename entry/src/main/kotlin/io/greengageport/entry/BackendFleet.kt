package io.greengageport.entry

import io.greengageport.common.Clock
import io.greengageport.common.Gossip
import io.greengageport.common.RunnerId
import io.greengageport.common.ServiceName
import io.greengageport.ports.InstanceListing
import io.greengageport.ports.ListedRunner
import io.greengageport.ports.ListedState
import io.greengageport.ports.LoadReport
import io.greengageport.ports.RouteHop
import io.greengageport.routing.Fingerprint
import io.greengageport.routing.Fleet
import io.greengageport.routing.LinkEstimator
import io.greengageport.routing.LoadEstimator
import io.greengageport.routing.OutlierDetector
import io.greengageport.routing.PrefixIndex
import io.greengageport.routing.Runner
import io.greengageport.routing.RunnerLoad
import io.greengageport.routing.SuspectRequests
import io.greengageport.routing.SuspectState
import java.util.concurrent.ConcurrentHashMap
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import org.tinylog.kotlin.Logger

/**
 * All that this instance knows of backend servers, from the instance list, the load reports, its
 * own observations and gossip. Own observations and gossip go before the lagging list.
 */
internal class BackendFleet(
    private val clock: Clock,
    private val gossip: Gossip,
    val fleet: Fleet,
    val loads: LoadEstimator,
    val links: LinkEstimator,
    val prefixes: PrefixIndex,
    val outliers: OutlierDetector,
    val suspects: SuspectRequests
) {
    private val listed = ConcurrentHashMap<RunnerId, ListedRunner>()
    private val reports = ConcurrentHashMap<RunnerId, LoadReport>()

    /** Processes of runners that were seen leaving. */
    private val leaving = ConcurrentHashMap<RunnerId, LeavingProcess>()

    /** Addresses that were found silent or refusing and have not answered since. */
    private val lost = ConcurrentHashMap<RunnerId, String>()
    private val joinedAt = ConcurrentHashMap<RunnerId, Long>()

    /** Runners that get no new work until a wall time, because an order is to change them. */
    private val holds = ConcurrentHashMap<RunnerId, Hold>()

    @Volatile
    private var hasListing = false

    /** Whether the instance list was read at least once. */
    val isKnown: Boolean get() = hasListing

    fun start() {
        gossip.subscribe(LEAVING_TOPIC) { key, _, payload ->
            decode<LeavingProcess>(payload)?.let { noteLeaving(RunnerId(key), it) }
        }
        gossip.subscribe(HOLD_TOPIC) { key, version, payload ->
            val until = payload.decodeToString().toLongOrNull() ?: version
            noteHeld(RunnerId(key), Hold(version, until))
        }
        gossip.subscribe(SUSPECT_TOPIC) { _, _, payload ->
            decode<SuspectState>(payload)?.let { suspects.merge(it) }?.let(::publish)
        }
    }

    /** Takes in the instance list. */
    @Synchronized
    fun onListing(listing: InstanceListing) {
        val ids = listing.runners.map { it.id }.toSet()
        for (id in listed.keys - ids) forget(id)
        for (r in listing.runners) {
            val before = listed.put(r.id, r)
            if (before == null && hasListing) joinedAt[r.id] = clock.monotonicMillis()
            if (before != null && before.address != r.address) {
                leaving.remove(r.id)
                joinedAt[r.id] = clock.monotonicMillis()
            }
            // Marked once: the list may still show a process as leaving that was restarted since.
            val isKnown = before?.state == r.state && before.address == r.address
            if (r.state == ListedState.LEAVING && !isKnown) markLeaving(r.id, r.address)
            refresh(r.id)
        }
        hasListing = true
    }

    /** Takes in the load reports. */
    @Synchronized
    fun onLoads(all: List<LoadReport>) {
        for (l in all) {
            val before = reports.put(l.runner, l)
            if (before == l) continue
            loads.report(
                RunnerLoad(
                    l.runner,
                    l.reportedAtMillis,
                    l.queuedTokens.toDouble(),
                    l.tokensPerSecond,
                    l.bootId
                )
            )
            suspects.bootId(l.runner, l.bootId, l.reportedAtMillis).forEach(::publish)
            if (leaving[l.runner]?.isReplacedBy(l) == true) {
                leaving.remove(l.runner)
                joinedAt[l.runner] = clock.monotonicMillis()
                Logger.info("routing: runner=${l.runner} was restarted, takes new work")
            }
            val address = listed[l.runner]?.address
            if (l.leaving && address != null) markLeaving(l.runner, address)
            refresh(l.runner)
        }
    }

    /** The runner at [address] was seen leaving by this instance. */
    fun markLeaving(runner: RunnerId, address: String) {
        val report = reports[runner]
        val process =
            LeavingProcess(address, report?.bootId.orEmpty(), report?.reportedAtMillis ?: 0)
        if (!noteLeaving(runner, process)) return
        val bytes = cbor.encodeToByteArray(process)
        gossip.publish(LEAVING_TOPIC, runner.value, clock.wallMillis(), bytes)
    }

    /** Keeps new work from [runner] on all instances for [millis], or ends that with 0. */
    fun hold(runner: RunnerId, millis: Long) {
        val now = clock.wallMillis()
        // A version apart from the end lets a hold be shortened as well as prolonged.
        val version = maxOf(now, (holds[runner]?.version ?: 0) + 1)
        val until = now + millis
        noteHeld(runner, Hold(version, until))
        gossip.publish(HOLD_TOPIC, runner.value, version, "$until".encodeToByteArray())
    }

    /** Whether [runner] reports that it holds its layers, but is not to serve. */
    fun isStandby(runner: RunnerId): Boolean = reports[runner]?.isStandby == true

    /** Whether [runner] gets no new work because an order is to change it. */
    fun isHeld(runner: RunnerId): Boolean = (holds[runner]?.until ?: 0) > clock.wallMillis()

    /**
     * Notes that the runner at [hop] is silent or refuses connections. False if it was so before:
     * requests sent to an address that had already failed can't have crashed its process.
     */
    fun isNewLoss(hop: RouteHop): Boolean = lost.put(hop.runner, hop.address) != hop.address

    /** The [runners] answered. */
    fun answered(runners: List<RunnerId>): Unit = runners.forEach { lost.remove(it) }

    /**
     * The runners of [service] on which instance number [position] of [instances] runs marked
     * requests. Each instance has its own part of the runners of each layer range, so that marked
     * requests of two instances, which do not know of each other, do not share a runner.
     */
    fun partOfRunners(service: ServiceName, position: Int, instances: Int): Set<RunnerId> =
        fleet.service(service).runners.groupBy { it.layers }.values.flatMap { same ->
            same.map { it.id }.sorted().filterIndexed { i, _ -> i % instances == position }
        }.toSet()

    /** Publishes what is known of a suspect request. */
    fun publish(state: SuspectState) {
        Logger.warn("routing: suspect request ${state.fingerprint} marks=${state.marks.size}")
        val bytes = cbor.encodeToByteArray(state)
        gossip.publish(SUSPECT_TOPIC, state.fingerprint.value, state.version, bytes)
    }

    /** The newest load report of [runner], or null. */
    fun report(runner: RunnerId): LoadReport? = reports[runner]

    /** Reports of the runners of [service]. */
    fun reports(service: ServiceName): List<LoadReport> =
        reports.values.filter { it.service == service && listed.containsKey(it.runner) }

    /** All listed runners, sorted by id. */
    fun all(): List<ListedRunner> = listed.values.sortedBy { it.id }

    /** Whether [runner] gets no new work because it is leaving. */
    fun isLeaving(runner: RunnerId): Boolean =
        leaving[runner]?.let { it.address == listed[runner]?.address } ?: false

    /** The runner does not answer; it is ejected at once, before more requests are sent to it. */
    fun silent(runner: RunnerId, service: ServiceName) {
        outliers.silent(runner)
        if (runner !in outliers.ejected()) evaluateOutliers(listOf(service))
    }

    /** Applies the outlier rules to all services. */
    fun evaluateOutliers(services: List<ServiceName>) {
        for (s in services) {
            outliers.evaluate(fleet.service(s)).forEach { Logger.info(it.logLine()) }
        }
        suspects.expire()
    }

    @Synchronized
    private fun noteLeaving(runner: RunnerId, process: LeavingProcess): Boolean {
        val isReplaced = reports[runner]?.let(process::isReplacedBy) ?: false
        if (isReplaced || leaving[runner]?.isSame(process) == true) return false
        leaving[runner] = process
        Logger.info("routing: runner=$runner is leaving, no new work")
        suspects.leaving(runner)
        refresh(runner)
        return true
    }

    private fun noteHeld(runner: RunnerId, hold: Hold) {
        holds.merge(runner, hold) { old, new -> if (new.version > old.version) new else old }
        refresh(runner)
    }

    private fun refresh(id: RunnerId) {
        val l = listed[id] ?: return
        val report = reports[id]
        val rate = report?.tokensPerSecond?.takeIf { it > 0 }
        fleet.put(
            Runner(
                id = id,
                service = l.service,
                dataCentre = l.dataCentre,
                layers = report?.layers ?: l.layers,
                tokensPerSecond = rate ?: Runner.DEFAULT_RATE,
                joinedAtMillis = joinedAt[id],
                address = l.address,
                bootId = report?.bootId.orEmpty(),
                version = report?.version.orEmpty(),
                leaving = l.state == ListedState.LEAVING ||
                    isLeaving(id) ||
                    isHeld(id) ||
                    isStandby(id)
            )
        )
    }

    private fun forget(id: RunnerId) {
        listed.remove(id)
        reports.remove(id)
        leaving.remove(id)
        joinedAt.remove(id)
        lost.remove(id)
        holds.remove(id)
        fleet.remove(id)
        loads.forget(id)
        links.forget(id)
        prefixes.forget(id)
        outliers.forget(id)
        suspects.forget(id)
        Logger.info("routing: runner=$id left the instance list")
    }

    private inline fun <reified T> decode(payload: ByteArray): T? = try {
        cbor.decodeFromByteArray<T>(payload)
    } catch (e: IllegalArgumentException) {
        Logger.warn("routing: ignored a malformed gossip item: $e")
        null
    }

    /** Whether requests with [fingerprint] may run. */
    fun verdict(fingerprint: Fingerprint) = suspects.verdict(fingerprint)

    /** Of the holds of a runner, the one with the highest [version] counts. */
    private class Hold(val version: Long, val until: Long)

    /**
     * A process that leaves: its address, and the boot id and time of its newest load report when
     * that was seen; the id is empty without a report, and then only a new address ends the state.
     */
    @Serializable
    private data class LeavingProcess(
        val address: String,
        val bootId: String,
        val reportedAtMillis: Long
    ) {
        fun isSame(other: LeavingProcess) = address == other.address && bootId == other.bootId

        /** Both times are of the runner's clock, so an old process's late report ends nothing. */
        fun isReplacedBy(l: LoadReport) = bootId.isNotEmpty() && l.bootId.isNotEmpty() &&
            l.bootId != bootId && l.reportedAtMillis > reportedAtMillis
    }

    private companion object {
        const val LEAVING_TOPIC = "runner-leaving"
        const val HOLD_TOPIC = "runner-hold"
        const val SUSPECT_TOPIC = "suspect-requests"
        val cbor = Cbor { ignoreUnknownKeys = true }
    }
}
