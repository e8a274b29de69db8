package io.greengageport.gateway.state

import io.greengageport.common.Clock
import io.greengageport.common.InstanceId
import io.greengageport.gateway.launchSupervised
import io.greengageport.gateway.logging.DecisionLog
import io.greengageport.gateway.peer.DeltaOutcome
import io.greengageport.gateway.peer.PeerReport
import io.greengageport.gateway.peer.PeerView
import io.greengageport.gateway.peer.ReportReason
import io.greengageport.gateway.peer.ServerListRelay
import io.greengageport.gateway.port.EpochNumber
import io.greengageport.gateway.port.PlatformStore
import kotlin.random.Random
import kotlinx.coroutines.CoroutineScope

/**
 * Follows the store's configuration and its list of servers, and uses the peers' reports to avoid
 * calls to the store: one instance reads the list for all, and a newer configuration version that a
 * peer reports triggers a read at once, and further ones until it is in force.
 *
 * All calls to the store are billed, including those that it refuses. So while the store refuses
 * its calls, an instance with live peers retries rarely: the peers relay changes of the list and
 * report when the store has recovered.
 *
 * [renewalAgeMillis] is the age in ms of the last renewal of this instance's membership that the
 * store answered, or null if there is none.
 */
internal class StoreFollower(
    private val store: PlatformStore,
    private val configuration: ConfigurationHolder,
    private val directory: BackendDirectory,
    private val relay: ServerListRelay,
    private val peers: PeerView,
    private val clock: Clock,
    private val log: DecisionLog,
    private val sendReport: (ReportReason) -> Unit,
    private val renewalAgeMillis: () -> Long? = { null },
    random: Random = Random.Default
) {
    private val outages = ListOutageDetector()
    private val configurations = FeedFollower(
        name = "configurations",
        feed = store.configurations,
        consumer = configuration,
        clock = clock,
        log = log,
        waitMillis = ::configurationWaitMillis,
        pauseMillis = { if (isBehind) BEHIND_READ_INTERVAL_MILLIS else 0 },
        maxBackoffMillis = {
            val canRetryRarely = peers.liveInstanceCount > 1 && !isBehind
            if (canRetryRarely) FLEET_BACKOFF_MILLIS else FeedFollower.SHORT_BACKOFF_MILLIS
        },
        onAnswer = { _, _ -> onConfigurationAnswer() },
        random = random
    )
    private val servers = FeedFollower(
        name = "servers",
        feed = store.backendServers,
        consumer = directory,
        clock = clock,
        log = log,
        waitMillis = { 0 },
        pauseMillis = { relay.pauseMillis },
        // Only a fresh read by a peer compensates for failing reads of this instance.
        maxBackoffMillis = {
            if (relay.hasFreshPeerRead) FLEET_BACKOFF_MILLIS else FeedFollower.SHORT_BACKOFF_MILLIS
        },
        onAnswer = { from, batch ->
            outages.onRead(clock.monotonicMillis())
            relay.onOwnRead(from, batch.nextPosition, batch.changes)
            requestDueReport()
        },
        random = random
    )
    private var wasStoreUnreachable = false
    private var hadFreshPeerRead = false

    /** The newest version that a peer has reported, and the time of the first such report. */
    private var newestPeerVersion = 0L
    private var reportedAtMillis = 0L

    /** Time at which the wait for [newestPeerVersion] ends; null before a read without it. */
    private var waitEndMillis: Long? = null

    /** The newest version that reads did not return in time, although a peer reported it. */
    private var abandonedVersion = 0L

    /** Whether this instance was ready once; it then stays so with the version that it has. */
    private var wasReady = false

    /** The latest epoch that a report of a peer showed before any call of this instance did. */
    private var latestPeerEpoch = 0L

    /** Whether the current read started after [newestPeerVersion] was reported. */
    private var isReadUrgent = false

    /**
     * Whether a peer has reported a newer configuration than the one in force, and reads may still
     * return it. The configuration in force is then no reason to deny a route or a key.
     *
     * A store that was restored from an older copy may return an older version first; what it lost
     * is written again within about two seconds.
     */
    val isBehind: Boolean
        get() = newestPeerVersion > maxOf(configuration.current?.version ?: 0, abandonedVersion)

    /**
     * Whether this instance knows what it needs to serve. An instance that starts waits for a newer
     * configuration that peers report, for at most [BEHIND_MILLIS].
     */
    val isReady: Boolean
        get() {
            if (configuration.current == null || !directory.isLoaded) return false
            val canWait = clock.monotonicMillis() - reportedAtMillis < BEHIND_MILLIS
            if (!wasReady && isBehind && canWait) return false
            wasReady = true
            return true
        }

    /** Follows both tables until [scope] is cancelled. */
    fun launchIn(scope: CoroutineScope) {
        directory.onConfirmationDue = servers::requestSnapshot
        directory.isCheckPending = servers::isSnapshotRequested
        directory.onStoreRecovered = configurations::restartRead
        directory.outageEndMillis = {
            recordOwnRenewal()
            outages.onRead(clock.monotonicMillis())
        }
        directory.writtenAfterMillis = servers::positionMillis
        store.epoch.onRestored(::onStoreRestored)
        scope.launchSupervised("configurations", log) { configurations.run() }
        scope.launchSupervised("servers", log) { servers.run() }
    }

    /** Applies what a peer reports about the store. */
    fun onPeerReport(report: PeerReport) {
        recordAvailability(report)
        val outcome = relay.onReport(
            sender = InstanceId(report.from),
            ageMillis = report.readAgeMillis,
            delta = report.serverListDelta,
            position = servers.position
        )
        applyDelta(report, outcome)
        restartAfterOutage()
        onPeerVersion(report.configurationVersion)
    }

    /**
     * Records when the store answered the sender of [report], and defers removals if its read of
     * the list is the first one after an outage.
     */
    private fun recordAvailability(report: PeerReport) {
        val now = clock.monotonicMillis()
        recordOwnRenewal()
        val ages = report.centres.map { it.renewalAgeMillis } + report.renewalAgeMillis
        ages.filterNotNull().filter { it >= 0 }.forEach { outages.onPeerRenewal(now - it) }
        val readAgeMillis = report.readAgeMillis ?: return
        if (readAgeMillis < 0 || report.serverListDelta == null) return
        outages.onRead(now - readAgeMillis)?.let(directory::startGracePeriod)
    }

    private fun recordOwnRenewal() {
        renewalAgeMillis()?.let { outages.onOwnRenewal(clock.monotonicMillis() - it) }
    }

    /** A version that was reported before restarts no read; [isBehind] sets the pace of reads. */
    private fun onPeerVersion(version: Long) {
        if (version <= newestPeerVersion) return
        newestPeerVersion = version
        reportedAtMillis = clock.monotonicMillis()
        waitEndMillis = null
        if (isBehind) configurations.restartRead()
    }

    /**
     * Ends the wait for a version of a peer if the store has answered without it for
     * [BEHIND_MILLIS]. While reads fail, the wait goes on.
     */
    private fun onConfigurationAnswer() {
        if (!isBehind || !isReadUrgent) return
        val now = clock.monotonicMillis()
        val endMillis = waitEndMillis ?: (now + BEHIND_MILLIS).also { waitEndMillis = it }
        if (now < endMillis) return
        abandonedVersion = newestPeerVersion
        log.record(
            "config",
            "peer_version_not_found",
            "version" to newestPeerVersion,
            "in_force" to configuration.current?.version,
            "ms" to now - reportedAtMillis
        )
    }

    /**
     * A read for a version that peers have does not use long polling, so that a read on a
     * connection that has gone silent is soon abandoned and repeated.
     */
    private fun configurationWaitMillis(): Long {
        isReadUrgent = isBehind
        return when {
            isReadUrgent -> 0
            relay.hasFreshPeerRead -> RELAYED_WAIT_MILLIS
            else -> CONFIGURATION_WAIT_MILLIS
        }
    }

    /**
     * Reads the list because a delta in [report] could not be applied. The first delta of a later
     * epoch shows that the store is back, so failing and waiting reads of both tables start anew.
     */
    private fun requestServers(report: PeerReport) {
        val epoch = EpochNumber.epochOf(report.serverListDelta?.until ?: 0)
        if (epoch > maxOf(store.epoch.current, latestPeerEpoch)) {
            latestPeerEpoch = epoch
            configurations.restartRead()
            servers.restartRead()
        } else {
            servers.requestRead()
        }
    }

    private fun applyDelta(report: PeerReport, outcome: DeltaOutcome) {
        when (outcome) {
            is DeltaOutcome.Applicable -> {
                directory.onPeerChanges(outcome.changes)
                servers.advanceTo(outcome.until)
            }

            is DeltaOutcome.Gap -> requestServers(report)

            is DeltaOutcome.UpToDate -> Unit
        }
        requestDueReport()
    }

    /**
     * Starts the reads anew, since those that wait for changes may wait behind records that the
     * store has lost. Their positions are of an earlier epoch, so both tables are read as a whole.
     */
    private fun onStoreRestored(previousEpoch: Long) {
        log.record(
            "store",
            "restored",
            "epoch" to store.epoch.current,
            "previous" to previousEpoch,
            "configuration_version" to configuration.current?.version,
            "configurations_position" to configurations.position?.let(EpochNumber::describe),
            "servers_position" to servers.position?.let(EpochNumber::describe)
        )
        configurations.restartRead()
        servers.restartRead()
    }

    private fun requestDueReport() {
        if (!relay.isReportDue) return
        relay.onReportRequested()
        sendReport(ReportReason.SERVER_LIST)
    }

    /** Detects peers that have gone silent. Has to be called about every 500 ms. */
    fun checkPeers() {
        recordOwnRenewal()
        restartAfterReaderLoss()
        restartAfterOutage()
    }

    /**
     * Restarts failing reads once a peer has reached the store after an outage for all instances.
     */
    private fun restartAfterOutage() {
        val isUnreachable = peers.isStoreUnreachableForAll()
        if (wasStoreUnreachable && !isUnreachable) {
            listOf(configurations, servers).filter { it.isFailing }.forEach { it.restartRead() }
        }
        wasStoreUnreachable = isUnreachable
    }

    /**
     * Restarts reads that use a long wait or backoff because a peer was reading for all, once that
     * peer's reads are no longer fresh.
     */
    private fun restartAfterReaderLoss() {
        if (hadFreshPeerRead && !relay.hasFreshPeerRead) {
            configurations.restartRead()
            if (servers.isFailing) servers.restartRead()
        }
        hadFreshPeerRead = relay.hasFreshPeerRead
    }

    private companion object {
        /**
         * Short enough that changes take effect in time even if a read on a silent connection is
         * abandoned.
         */
        const val CONFIGURATION_WAIT_MILLIS = 2_500L

        /**
         * Time for which reads may lack a version that a peer has. What a restored store has lost
         * is written again within about two seconds.
         */
        const val BEHIND_MILLIS = 5_000L

        /** Each read is billed; a version has to be in force within two seconds. */
        const val BEHIND_READ_INTERVAL_MILLIS = 300L

        /** Wait of an instance whose peers report when there is something to read. */
        const val RELAYED_WAIT_MILLIS = 20_000L

        /** Less than the three seconds after an outage in which instances may be out of date. */
        const val FLEET_BACKOFF_MILLIS = 2_000L
    }
}
