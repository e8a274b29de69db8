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
 * The state of all backend servers as known to this instance, from the instance list, the load
 * reports, its own observations and gossip. Observations and gossip take precedence over the
 * instance list, which lags behind.
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

    /** Processes of runners that are known to be leaving. */
    private val leaving = ConcurrentHashMap<RunnerId, LeavingProcess>()

    /** Addresses that did not answer or refused connections, and have not answered since. */
    private val unreachableAddresses = ConcurrentHashMap<RunnerId, String>()
    private val joinedAtMillis = ConcurrentHashMap<RunnerId, Long>()

    /** Runners that get no new work for some time because a placement order changes them. */
    private val holds = ConcurrentHashMap<RunnerId, Hold>()

    @Volatile
    private var hasListing = false

    /** Whether the instance list has been read at least once. */
    val isListingKnown: Boolean get() = hasListing

    /** Subscribes to the gossip of other instances. */
    fun start() {
        gossip.subscribe(LEAVING_TOPIC) { key, _, payload ->
            decode<LeavingProcess>(payload)?.let { recordLeaving(RunnerId(key), it) }
        }
        gossip.subscribe(HOLD_TOPIC) { key, version, payload ->
            // Versions are wall-clock times, so a malformed item holds nothing back.
            val untilMillis = payload.decodeToString().toLongOrNull() ?: version
            recordHold(RunnerId(key), Hold(version, untilMillis))
        }
        gossip.subscribe(SUSPECT_TOPIC) { _, _, payload ->
            decode<SuspectState>(payload)?.let { suspects.merge(it) }?.let(::publish)
        }
    }

    /** Updates the fleet from the instance list. */
    @Synchronized
    fun onListing(listing: InstanceListing) {
        val ids = listing.runners.map { it.id }.toSet()
        for (id in listed.keys - ids) removeRunner(id)
        for (r in listing.runners) {
            val before = listed.put(r.id, r)
            if (before == null && hasListing) joinedAtMillis[r.id] = clock.monotonicMillis()
            if (before != null && before.address != r.address) {
                leaving.remove(r.id)
                joinedAtMillis[r.id] = clock.monotonicMillis()
            }
            // Marked only when the state changes: a lagging list may show a process as leaving
            // that has been restarted since.
            val isKnown = before?.state == r.state && before.address == r.address
            if (r.state == ListedState.LEAVING && !isKnown) markLeaving(r.id, r.address)
            updateFleet(r.id)
        }
        hasListing = true
    }

    /** Updates the fleet from load reports. */
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
            suspects.recordBootId(l.runner, l.bootId, l.reportedAtMillis).forEach(::publish)
            if (leaving[l.runner]?.isReplacedBy(l) == true) {
                leaving.remove(l.runner)
                joinedAtMillis[l.runner] = clock.monotonicMillis()
                Logger.info("routing: runner=${l.runner} was restarted, takes new work")
            }
            val address = listed[l.runner]?.address
            if (l.leaving && address != null) markLeaving(l.runner, address)
            updateFleet(l.runner)
        }
    }

    /** Marks the runner at [address] as leaving, here and by gossip on the other instances. */
    fun markLeaving(runner: RunnerId, address: String) {
        val report = reports[runner]
        val process =
            LeavingProcess(address, report?.bootId.orEmpty(), report?.reportedAtMillis ?: 0)
        if (!recordLeaving(runner, process)) return
        val bytes = cbor.encodeToByteArray(process)
        gossip.publish(LEAVING_TOPIC, runner.value, clock.wallMillis(), bytes)
    }

    /** Holds new work back from [runner] on all instances for [millis]; 0 ends the hold. */
    fun hold(runner: RunnerId, millis: Long) {
        val now = clock.wallMillis()
        // Versions do not depend on the end of the hold, so a hold can be shortened and extended.
        val version = maxOf(now, (holds[runner]?.version ?: 0) + 1)
        val untilMillis = now + millis
        recordHold(runner, Hold(version, untilMillis))
        gossip.publish(HOLD_TOPIC, runner.value, version, "$untilMillis".encodeToByteArray())
    }

    /** Whether [runner] reports that it has loaded its layers, but must not serve requests. */
    fun isStandby(runner: RunnerId): Boolean = reports[runner]?.isStandby == true

    /** Whether [runner] gets no new work because a placement order changes it. */
    fun isHeld(runner: RunnerId): Boolean = (holds[runner]?.untilMillis ?: 0) > clock.wallMillis()

    /**
     * Records that the runner at [hop] does not answer or refuses connections. Returns false if
     * that was already known: requests sent to a failed address cannot have crashed its process.
     */
    fun markUnreachable(hop: RouteHop): Boolean =
        unreachableAddresses.put(hop.runner, hop.address) != hop.address

    /** Records that [runners] answered. */
    fun markReachable(runners: List<RunnerId>): Unit =
        runners.forEach { unreachableAddresses.remove(it) }

    /**
     * The runners of [service] on which the instance with index [instanceIndex] of [instanceCount]
     * runs marked requests if it cannot reserve runners. The runners of each layer range are
     * divided among the live instances, so that marked requests of two of them share no runner.
     */
    fun markedRequestRunners(
        service: ServiceName,
        instanceIndex: Int,
        instanceCount: Int
    ): Set<RunnerId> = fleet.service(service).runners.groupBy { it.layers }.values.flatMap { same ->
        same.map { it.id }.sorted().filterIndexed { i, _ -> i % instanceCount == instanceIndex }
    }.toSet()

    /** Publishes the state of a suspect request to the other instances. */
    fun publish(state: SuspectState) {
        Logger.warn("routing: suspect request ${state.fingerprint} marks=${state.marks.size}")
        val bytes = cbor.encodeToByteArray(state)
        gossip.publish(SUSPECT_TOPIC, state.fingerprint.value, state.version, bytes)
    }

    /** The newest load report of [runner], or null. */
    fun report(runner: RunnerId): LoadReport? = reports[runner]

    /** The newest load reports of the listed runners of [service]. */
    fun reports(service: ServiceName): List<LoadReport> =
        reports.values.filter { it.service == service && listed.containsKey(it.runner) }

    /** All listed runners, sorted by id. */
    fun listedRunners(): List<ListedRunner> = listed.values.sortedBy { it.id }

    /** Whether [runner] gets no new work because it is leaving. */
    fun isLeaving(runner: RunnerId): Boolean =
        leaving[runner]?.let { it.address == listed[runner]?.address } ?: false

    /** Immediately ejects a runner that does not answer, before more requests are sent to it. */
    fun ejectSilent(runner: RunnerId, service: ServiceName) {
        outliers.recordTimeout(runner)
        if (runner !in outliers.ejectedRunners()) evaluateOutliers(listOf(service))
    }

    /** Applies the outlier rules to [services] and removes expired suspect requests. */
    fun evaluateOutliers(services: List<ServiceName>) {
        for (s in services) {
            outliers.evaluate(fleet.service(s)).forEach { Logger.info(it.logLine()) }
        }
        suspects.expire()
    }

    /** Returns false if [process] is already recorded or a later process has replaced it. */
    @Synchronized
    private fun recordLeaving(runner: RunnerId, process: LeavingProcess): Boolean {
        val isReplaced = reports[runner]?.let(process::isReplacedBy) ?: false
        if (isReplaced || leaving[runner]?.isSame(process) == true) return false
        leaving[runner] = process
        Logger.info("routing: runner=$runner is leaving, no new work")
        suspects.recordLeaving(runner)
        updateFleet(runner)
        return true
    }

    private fun recordHold(runner: RunnerId, hold: Hold) {
        holds.merge(runner, hold) { old, new -> if (new.version > old.version) new else old }
        updateFleet(runner)
    }

    private fun updateFleet(id: RunnerId) {
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
                joinedAtMillis = joinedAtMillis[id],
                address = l.address,
                bootId = report?.bootId.orEmpty(),
                version = report?.version.orEmpty(),
                isLeaving = l.state == ListedState.LEAVING ||
                    isLeaving(id) ||
                    isHeld(id) ||
                    isStandby(id)
            )
        )
    }

    private fun removeRunner(id: RunnerId) {
        listed.remove(id)
        reports.remove(id)
        leaving.remove(id)
        joinedAtMillis.remove(id)
        unreachableAddresses.remove(id)
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

    /**
     * A hold until [untilMillis], in milliseconds of the wall clock. The hold with the highest
     * [version] applies.
     */
    private class Hold(val version: Long, val untilMillis: Long)

    /**
     * A process that is leaving: its address, and the boot id and time of its newest load report at
     * that moment. Without a report the boot id is empty, and only a new address ends the state.
     */
    @Serializable
    private data class LeavingProcess(
        val address: String,
        val bootId: String,
        val reportedAtMillis: Long
    ) {
        fun isSame(other: LeavingProcess) = address == other.address && bootId == other.bootId

        /**
         * Whether [l] comes from a later process. Compares times of the runner's clock, so that
         * late reports of the old process are ignored.
         */
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
