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
import kotlinx.coroutines.CoroutineScope

/**
 * Follows the store's configuration and its list of servers, and uses the peers' reports to avoid
 * calls to the store: one instance reads the list for all, and a newer configuration version that a
 * peer reports triggers a read at once.
 *
 * All calls to the store are billed, including those that it refuses. So while the store refuses
 * its calls, an instance with live peers retries rarely: the peers relay changes of the list and
 * report when the store has recovered.
 */
internal class StoreFollower(
    private val store: PlatformStore,
    private val configuration: ConfigurationHolder,
    private val directory: BackendDirectory,
    private val relay: ServerListRelay,
    private val peers: PeerView,
    clock: Clock,
    private val log: DecisionLog,
    private val sendReport: (ReportReason) -> Unit
) {
    private val configurations = FeedFollower(
        name = "configurations",
        feed = store.configurations,
        consumer = configuration,
        clock = clock,
        log = log,
        waitMillis = ::configurationWaitMillis,
        pauseMillis = { 0 },
        maxBackoffMillis = {
            val canRetryRarely = peers.liveInstanceCount > 1 && !isBehind
            if (canRetryRarely) FLEET_BACKOFF_MILLIS else FeedFollower.SHORT_BACKOFF_MILLIS
        },
        // The store returns its newest version, so a peer that reported a later one was wrong.
        onAnswer = { _, _ -> if (isReadUrgent) newestPeerVersion = 0 }
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
        onAnswer = { from, until ->
            relay.onOwnRead(from, until)
            requestDueReport()
        }
    )
    private var wasStoreUnreachable = false
    private var hadFreshPeerRead = false

    /** The newest version that a peer has reported and that no read has returned yet. */
    private var newestPeerVersion = 0L

    /** The latest epoch that a report of a peer showed before any call of this instance did. */
    private var latestPeerEpoch = 0L

    /** Whether the current read started after [newestPeerVersion] was reported. */
    private var isReadUrgent = false

    /** Whether a peer has reported a newer configuration than the one in force. */
    private val isBehind: Boolean get() = newestPeerVersion > (configuration.current?.version ?: 0)

    /** Follows both tables until [scope] is cancelled. */
    fun launchIn(scope: CoroutineScope) {
        directory.onConfirmationDue = servers::requestSnapshot
        directory.onStoreRecovered = configurations::restartRead
        store.epoch.onRestored = ::onStoreRestored
        scope.launchSupervised("configurations", log) { configurations.run() }
        scope.launchSupervised("servers", log) { servers.run() }
    }

    /** Applies what a peer reports about the store. */
    fun onPeerReport(report: PeerReport) {
        val outcome = relay.onReport(
            sender = InstanceId(report.from),
            ageMillis = report.readAgeMillis,
            delta = report.serverListDelta,
            position = servers.position
        )
        applyDelta(report, outcome)
        restartAfterOutage()
        val isNewVersion = report.configurationVersion > newestPeerVersion
        newestPeerVersion = maxOf(newestPeerVersion, report.configurationVersion)
        if (isNewVersion && isBehind) configurations.restartRead()
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

        /** Wait of an instance whose peers report when there is something to read. */
        const val RELAYED_WAIT_MILLIS = 20_000L

        /** Less than the three seconds after an outage in which instances may be out of date. */
        const val FLEET_BACKOFF_MILLIS = 2_000L
    }
}
