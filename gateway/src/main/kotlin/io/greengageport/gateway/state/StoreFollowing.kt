package io.greengageport.gateway.state

import io.greengageport.common.Clock
import io.greengageport.gateway.launchSupervised
import io.greengageport.gateway.logging.DecisionLog
import io.greengageport.gateway.peer.NewsEnd
import io.greengageport.gateway.peer.PeerReport
import io.greengageport.gateway.peer.PeerView
import io.greengageport.gateway.peer.ServerListRelay
import io.greengageport.gateway.port.PlatformStore
import kotlinx.coroutines.CoroutineScope

/**
 * Follows the store's configuration and its list of servers, and lets the peers' reports spare
 * calls: one instance reads the list for all, and a newer version that a peer has is read at once.
 *
 * All calls to the store are priced, also those that it refuses. So an instance with live peers
 * asks seldom while it is refused: the peers tell it of the list, and when the store is back.
 */
internal class StoreFollowing(
    store: PlatformStore,
    private val configuration: ConfigurationHolder,
    private val directory: BackendDirectory,
    private val relay: ServerListRelay,
    private val peers: PeerView,
    clock: Clock,
    private val log: DecisionLog,
    private val sendReport: () -> Unit
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
            val asksSeldom = peers.instances > 1 && !isBehind
            if (asksSeldom) FLEET_BACKOFF_MILLIS else FeedFollower.ALONE_BACKOFF_MILLIS
        },
        // The store answers with its newest, so a peer that named a later version was wrong.
        onAnswer = { _, _ -> if (isReadUrgent) newerHeard = 0 }
    )
    private val servers = FeedFollower(
        name = "servers",
        feed = store.backendServers,
        consumer = directory,
        clock = clock,
        log = log,
        waitMillis = { 0 },
        pauseMillis = { relay.pauseMillis },
        // Only a peer's fresh read of the list makes up for an own one that fails.
        maxBackoffMillis = {
            if (relay.isSpared) FLEET_BACKOFF_MILLIS else FeedFollower.ALONE_BACKOFF_MILLIS
        },
        onAnswer = { from, until ->
            relay.onOwnRead(from, until)
            if (relay.isReportDue) sendReport()
        }
    )
    private var wasStoreAway = false
    private var wasSpared = false

    /** The newest version that a peer has and that no read has brought yet. */
    private var newerHeard = 0L

    /** Whether the read under way started after [newerHeard] was heard. */
    private var isReadUrgent = false

    private val isBehind: Boolean get() = newerHeard > (configuration.current?.version ?: 0)

    /** Follows both tables until [scope] ends. */
    fun launchIn(scope: CoroutineScope) {
        directory.onStoreRegained = configurations::restart
        scope.launchSupervised("configurations", log) { configurations.run() }
        scope.launchSupervised("servers", log) { servers.run() }
    }

    /** Takes in what a peer tells of the store. */
    fun onPeerReport(report: PeerReport) {
        takeNews(relay.onReport(report.readAgeMillis, report.news, servers.position))
        watchOutage()
        val isNews = report.configurationVersion > newerHeard
        newerHeard = maxOf(newerHeard, report.configurationVersion)
        if (isNews && isBehind) configurations.restart()
    }

    /**
     * A read for a version that peers have does not wait, so that one on a connection that has gone
     * silent is given up and repeated soon.
     */
    private fun configurationWaitMillis(): Long {
        isReadUrgent = isBehind
        return when {
            isReadUrgent -> 0
            relay.isSpared -> SPARED_WAIT_MILLIS
            else -> CONFIGURATION_WAIT_MILLIS
        }
    }

    private fun takeNews(end: NewsEnd) {
        when (end) {
            is NewsEnd.Taken -> {
                directory.onPeerChanges(end.changes)
                servers.advanceTo(end.until)
            }

            is NewsEnd.Missed -> servers.readSoon()

            is NewsEnd.Known -> Unit
        }
        if (relay.isReportDue) sendReport()
    }

    /** Notes that peers have fallen silent; to be called every half second or so. */
    fun watch() {
        watchReader()
        watchOutage()
    }

    /** Reads anew once a peer has heard of the store after an outage for all. */
    private fun watchOutage() {
        val isAway = peers.isStoreAwayForAll()
        if (wasStoreAway && !isAway) {
            listOf(configurations, servers).filter { it.isFailing }.forEach { it.restart() }
        }
        wasStoreAway = isAway
    }

    /**
     * A read that waits long since a peer reads for all, or since it failed meanwhile, is replaced
     * when that peer's reads are fresh no more.
     */
    private fun watchReader() {
        if (wasSpared && !relay.isSpared) {
            configurations.restart()
            if (servers.isFailing) servers.restart()
        }
        wasSpared = relay.isSpared
    }

    private companion object {
        /** A read that went silent is given up soon enough for changes to be in force in time. */
        const val CONFIGURATION_WAIT_MILLIS = 2_500L

        /** Wait of an instance whose peers tell it that there is something to read. */
        const val SPARED_WAIT_MILLIS = 20_000L

        /** Within the three seconds after an outage in which nothing is asked of an instance. */
        const val FLEET_BACKOFF_MILLIS = 2_000L
    }
}
