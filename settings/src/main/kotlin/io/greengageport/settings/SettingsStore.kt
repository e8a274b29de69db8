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
 * The settings in force at this instance, which follow the log and, where the log fails, peers.
 *
 * The state never goes back to an older version.
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
    private var failing = false

    init {
        peers.register(handlers)
    }

    /** The settings in force. */
    public val view: StateFlow<SettingsView> = holder.view.asStateFlow()

    /** Whether the settings were once read to the end of the log or taken from a peer. */
    public val ready: StateFlow<Boolean> = holder.ready.asStateFlow()

    /** The state of the publish rule here. */
    public val state: SettingsState get() = holder.state

    /** Suspends until the settings are known. */
    public suspend fun awaitReady() {
        ready.first { it }
    }

    /** Suspends until [version] or a newer one is in force here. */
    public suspend fun awaitVersion(version: Long) {
        view.first { it.version >= version }
    }

    /** Whether the settings here are known to be the newest. */
    public fun currency(): Currency {
        val at = listOfNotNull(follower.provenAtMillis, peers.provenAtMillis()).maxOrNull()
            ?: return Currency(current = false, secondsSinceProof = null)
        val age = clock.monotonicMillis() - at
        return Currency(age <= config.currentWithin.inWholeMilliseconds, age / MILLIS_PER_SECOND)
    }

    /** Follows the log and peers until cancelled. */
    public suspend fun run(): Unit = coroutineScope {
        launch {
            while (true) {
                val poll = followOnce(config.longPoll)
                if (poll is Poll.Failed) delay(config.retryDelay)
            }
        }
        launch {
            while (true) {
                exchange()
                delay(config.tick)
            }
        }
        launch {
            while (true) {
                writer.writeIfDue()
                delay(config.tick)
            }
        }
    }

    internal suspend fun followOnce(wait: Duration): Poll {
        val poll = follower.poll(wait)
        val failed = poll is Poll.Failed
        if (failed && !failing) Logger.warn { "settings: log not readable: $poll" }
        if (!failed && failing) Logger.info { "settings: log readable again" }
        failing = failed
        peers.publish(follower.provenAtMillis)
        return poll
    }

    /** One round with peers: announce, pull if behind, free what is no longer needed. */
    internal suspend fun exchange() {
        peers.publish(follower.provenAtMillis)
        peers.expire()
        val isStartWithoutLog = failing && !ready.value
        if (isStartWithoutLog || follower.needsPeer || peers.isBehind()) {
            if (peers.pull()) tracker.onStart(state.through, clock.wallMillis())
        }
    }

    internal suspend fun writeSnapshotIfDue(): Boolean = writer.writeIfDue()

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
