package io.greengageport.settings

import io.greengageport.common.Clock
import io.greengageport.common.Gossip
import io.greengageport.common.Members
import io.greengageport.common.PeerCalls
import io.greengageport.common.PeerHandlers
import io.greengageport.ports.LogService
import kotlin.random.Random
import kotlin.time.Duration
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import org.tinylog.kotlin.Logger

/**
 * The current settings of this instance, kept up to date from the log, or from peers if the log is
 * unavailable.
 *
 * The state never reverts to an older version.
 *
 * ```
 * val store = SettingsStore(log, members, calls, handlers, gossip, clock)
 * scope.launch { store.run() }
 * store.awaitReady()
 * store.view.value.organisationByKey(hash)
 * ```
 */
public class SettingsStore(
    log: LogService,
    members: Members,
    calls: PeerCalls,
    handlers: PeerHandlers,
    gossip: Gossip,
    private val clock: Clock,
    private val config: SettingsStoreConfig = SettingsStoreConfig(),
    random: Random = Random.Default
) {
    private val holder = StateHolder()
    private val tracker = SnapshotTracker(config)
    private val follower = LogFollower(log, holder, tracker, clock, config)
    private val writer = SnapshotWriter(log, holder, tracker, members, clock, config)
    private val peers = PeerSync(holder, members, calls, gossip, clock, config, random)

    @Volatile
    private var isLogFailing = false

    init {
        peers.register(handlers)
    }

    /** The current settings. */
    public val view: StateFlow<SettingsView> = holder.view.asStateFlow()

    /** Becomes true once the settings are read to the end of the log or pulled from a peer. */
    public val isReady: StateFlow<Boolean> = holder.isReady.asStateFlow()

    /** The current state of the publish rule. */
    public val state: SettingsState get() = holder.state

    /** Suspends until [isReady] is true. */
    public suspend fun awaitReady() {
        isReady.first { it }
    }

    /** Suspends until [version] or a newer one is applied locally. */
    public suspend fun awaitVersion(version: Long) {
        view.first { it.version >= version }
    }

    /** Returns whether the local settings are known to be the newest. */
    public fun freshness(): Freshness {
        val provenAtMillis =
            listOfNotNull(follower.provenAtMillis, peers.provenAtMillis()).maxOrNull()
                ?: return Freshness(isCurrent = false, secondsSinceProof = null)
        val ageMillis = clock.monotonicMillis() - provenAtMillis
        return Freshness(
            ageMillis <= config.maxProofAge.inWholeMilliseconds,
            ageMillis / MILLIS_PER_SECOND
        )
    }

    /** Reads the log, synchronises with peers and writes snapshots until cancelled. */
    public suspend fun run(): Unit = coroutineScope {
        launch {
            while (true) {
                val poll = followOnce(config.longPoll)
                if (poll is PollResult.Failed) delay(config.retryDelay)
            }
        }
        launch {
            while (true) {
                syncWithPeers()
                delay(config.syncInterval)
            }
        }
        launch {
            while (true) {
                writer.writeIfDue()
                delay(config.syncInterval)
            }
        }
    }

    /** Reads the log once, and announces the resulting version and its proof to peers. */
    internal suspend fun followOnce(wait: Duration): PollResult {
        val poll = follower.poll(wait)
        val failed = poll is PollResult.Failed
        if (failed && !isLogFailing) Logger.warn { "settings: cannot read log: $poll" }
        if (!failed && isLogFailing) Logger.info { "settings: reading log again" }
        isLogFailing = failed
        peers.publish(follower.provenAtMillis)
        return poll
    }

    /** Announces the local version to peers and pulls a newer state if needed. */
    internal suspend fun syncWithPeers() {
        peers.publish(follower.provenAtMillis)
        peers.expire()
        val isStartWithoutLog = isLogFailing && !isReady.value
        if (isStartWithoutLog || follower.shouldPull || peers.isBehind()) {
            if (peers.pull()) tracker.onSnapshot(state.lastOffset, clock.wallMillis())
        }
    }

    /** Writes a snapshot if one is due; returns whether it was written. */
    internal suspend fun writeSnapshotIfDue(): Boolean = writer.writeIfDue()

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
