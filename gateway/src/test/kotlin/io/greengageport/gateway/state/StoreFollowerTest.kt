package io.greengageport.gateway.state

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.greengageport.common.Clock
import io.greengageport.common.DataCentre
import io.greengageport.common.HostPort
import io.greengageport.common.InstanceId
import io.greengageport.common.SystemClock
import io.greengageport.gateway.RecordedLog
import io.greengageport.gateway.configuration
import io.greengageport.gateway.model.BackendServer
import io.greengageport.gateway.model.Configuration
import io.greengageport.gateway.peer.PeerReport
import io.greengageport.gateway.peer.PeerView
import io.greengageport.gateway.peer.ServerListDelta
import io.greengageport.gateway.peer.ServerListRelay
import io.greengageport.gateway.port.Change
import io.greengageport.gateway.port.ChangeBatch
import io.greengageport.gateway.port.ChangeFeed
import io.greengageport.gateway.port.DutyGroup
import io.greengageport.gateway.port.EpochNumber
import io.greengageport.gateway.port.PlatformStore
import io.greengageport.gateway.port.StoreEpoch
import io.greengageport.gateway.port.StoreError
import io.greengageport.gateway.server
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan

/**
 * Guards against sending work to a leaving server: an instance whose reads the store refused waited
 * two seconds between its reads of the list although no peer read the list for it.
 */
class StoreFollowerTest {
    /** Returns an empty snapshot and refuses every later read. */
    private class RefusingFeed<T> : ChangeFeed<T> {
        var reads = 0

        override suspend fun snapshot(): Result<ChangeBatch<T>, StoreError> =
            Ok(ChangeBatch(emptyList(), 0))

        override suspend fun changes(
            position: Long,
            waitMillis: Long
        ): Result<ChangeBatch<T>, StoreError> {
            reads++
            return Err(StoreError.Refused(503))
        }
    }

    private val servers = RefusingFeed<BackendServer>()
    private val store = object : PlatformStore {
        override val configurations: ChangeFeed<Configuration> = RefusingFeed()
        override val backendServers: ChangeFeed<BackendServer> = servers
        override val duties: DutyGroup get() = error("duties are not used in this test")
        override val epoch = StoreEpoch()
    }
    private val log = RecordedLog().log
    private val clock = SystemClock
    private val peers = PeerView(InstanceId("self"), DataCentre("z"), clock, log)
    private val relay =
        ServerListRelay(clock, { false }, readIntervalMillis = 800, freshnessMillis = 1_400)
    private val follower = follower(store)

    private fun follower(
        store: PlatformStore,
        directory: BackendDirectory = BackendDirectory(clock, log)
    ) = StoreFollower(
        store = store,
        configuration = ConfigurationHolder(log),
        directory = directory,
        relay = relay,
        peers = peers,
        clock = clock,
        log = log,
        sendReport = {}
    )

    private fun report(
        sequence: Long,
        readAgeMillis: Long?,
        version: Long = 0,
        delta: ServerListDelta? = readAgeMillis?.let { ServerListDelta(0, sequence, emptyList()) }
    ) = PeerReport(
        from = "peer",
        dataCentre = "z",
        address = "127.0.0.1:9",
        startedAtMillis = 1,
        sequence = sequence,
        load = emptyList(),
        requestsByService = emptyMap(),
        retries = emptyMap(),
        unreachable = emptyList(),
        suspects = emptyList(),
        known = emptyList(),
        renewalAgeMillis = 100,
        readAgeMillis = readAgeMillis,
        configurationVersion = version,
        serverListDelta = delta,
        centres = emptyList()
    )

    /**
     * Returns how many reads of the list the store refused in [RUN_MILLIS] while a peer was alive.
     */
    private fun readsWithLivePeer(readAgeMillis: Long?): Int = runBlocking {
        coroutineScope {
            follower.launchIn(this)
            repeat(ROUNDS) { i ->
                val report = report(i.toLong(), readAgeMillis)
                peers.onReport(report, HostPort("127.0.0.1", 9))
                follower.onPeerReport(report)
                follower.checkPeers()
                delay(RUN_MILLIS / ROUNDS)
            }
            coroutineContext.cancelChildren()
        }
        servers.reads
    }

    @Test
    fun `a refused instance retries soon if no peer reads the list for it`() {
        expectThat(readsWithLivePeer(readAgeMillis = null)).isGreaterThan(8)
    }

    @Test
    fun `a refused instance retries rarely while a peer reads the list for it`() {
        expectThat(readsWithLivePeer(readAgeMillis = 50)).isLessThan(8)
    }

    /** A list whose copy lacks x, which is written again soon; reads of changes show nothing. */
    private class RenewingFeed(val clock: Clock) : ChangeFeed<BackendServer> {
        var restoredAtMillis: Long? = null

        override suspend fun snapshot(): Result<ChangeBatch<BackendServer>, StoreError> {
            val restoredMillis = restoredAtMillis
            val isMissing = restoredMillis != null &&
                clock.monotonicMillis() - restoredMillis < RENEWAL_MILLIS
            val ids = if (isMissing) listOf("y") else listOf("x", "y")
            val epoch = if (restoredMillis == null) 1L else 2L
            return Ok(
                ChangeBatch(ids.map { Change.Put(it, server(it)) }, EpochNumber.of(epoch, 5))
            )
        }

        override suspend fun changes(
            position: Long,
            waitMillis: Long
        ): Result<ChangeBatch<BackendServer>, StoreError> = when {
            restoredAtMillis != null && EpochNumber.epochOf(position) < 2 ->
                Err(StoreError.HistoryLost)

            else -> Ok(ChangeBatch(emptyList(), position))
        }
    }

    /**
     * Guards against the loss of a running server that the copy lacks. The reader knows the server,
     * so its reports, which extend the position beyond the renewed entry, show no change of it.
     */
    @Test
    fun `a server that is renewed after a restore stays in use although no peer reports it`() {
        val feed = RenewingFeed(clock)
        val restored = object : PlatformStore by store {
            override val backendServers = feed
            override val epoch = StoreEpoch()
        }
        val directory = BackendDirectory(clock, log)
        val restoredFollower = follower(restored, directory)
        runBlocking {
            coroutineScope {
                restoredFollower.launchIn(this)
                restored.epoch.observe(1)
                delay(200)
                feed.restoredAtMillis = clock.monotonicMillis()
                restored.epoch.observe(2)
                repeat(20) { i ->
                    delay(200)
                    val delta = ServerListDelta(
                        EpochNumber.of(2, 5),
                        EpochNumber.of(2, 6L + i),
                        emptyList()
                    )
                    restoredFollower.onPeerReport(report(i.toLong(), 50, delta = delta))
                    directory.expire()
                }
                coroutineContext.cancelChildren()
            }
        }
        expectThat(directory.all.map { it.id.value }.sorted()).isEqualTo(listOf("x", "y"))
    }

    /**
     * Answers reads only after their wait and a further delay, like a connection that has gone
     * silent.
     */
    private class SilentFeed : ChangeFeed<Configuration> {
        val requestedWaitsMillis = ArrayList<Long>()

        override suspend fun snapshot(): Result<ChangeBatch<Configuration>, StoreError> =
            Ok(ChangeBatch(emptyList(), 0))

        override suspend fun changes(
            position: Long,
            waitMillis: Long
        ): Result<ChangeBatch<Configuration>, StoreError> {
            requestedWaitsMillis += waitMillis
            delay(minOf(waitMillis + SILENT_CALL_MILLIS, RUN_MILLIS))
            return Err(StoreError.NoResponse("silent"))
        }
    }

    /**
     * Guards against an instance that uses an old configuration for 20 s: the read that a peer's
     * newer version triggers may hang on a silent connection like the read before it.
     */
    @Test
    fun `a version that peers have is requested again until a read returns it`(): Unit =
        runBlocking {
            val feed = SilentFeed()
            val silent = object : PlatformStore {
                override val configurations = feed
                override val backendServers: ChangeFeed<BackendServer> = RefusingFeed()
                override val duties: DutyGroup get() = error("duties are not used in this test")
                override val epoch = StoreEpoch()
            }
            val silentFollower = follower(silent)
            coroutineScope {
                silentFollower.launchIn(this)
                delay(100)
                silentFollower.onPeerReport(report(1, readAgeMillis = 50, version = 23))
                delay(RUN_MILLIS / 2)
                coroutineContext.cancelChildren()
            }
            expectThat(feed.requestedWaitsMillis.drop(1).size).isGreaterThan(2)
            expectThat(feed.requestedWaitsMillis.drop(1).max()).isLessThan(1)
        }

    /** Returns [version] at each read, and nothing new after the snapshot until it changes. */
    private class VersionFeed(var version: Long) : ChangeFeed<Configuration> {
        var reads = 0
        private var lastVersion = 0L

        override suspend fun snapshot(): Result<ChangeBatch<Configuration>, StoreError> =
            changes(0, 0)

        override suspend fun changes(
            position: Long,
            waitMillis: Long
        ): Result<ChangeBatch<Configuration>, StoreError> {
            reads++
            if (waitMillis > 0 && lastVersion == version) delay(waitMillis)
            lastVersion = version
            return Ok(ChangeBatch(listOf(Change.Put("config", configuration(version))), version))
        }
    }

    private fun storeWith(feed: ChangeFeed<Configuration>) = object : PlatformStore {
        override val configurations = feed
        override val backendServers: ChangeFeed<BackendServer> = RefusingFeed()
        override val duties: DutyGroup get() = error("duties are not used in this test")
        override val epoch = StoreEpoch()
    }

    /** A follower of the older version 5 while a peer has version 7 in force. */
    private fun whileBehind(block: suspend CoroutineScope.(VersionFeed, StoreFollower) -> Unit) =
        runBlocking {
            val feed = VersionFeed(5)
            val behind = follower(storeWith(feed))
            coroutineScope {
                behind.launchIn(this)
                behind.onPeerReport(report(1, readAgeMillis = null, version = 7))
                delay(200)
                block(feed, behind)
                coroutineContext.cancelChildren()
            }
        }

    /**
     * Guards against an instance that denies keys and routes for the length of a long poll, since
     * the first read after the report of a peer returned the version of the store's older copy.
     */
    @Test
    fun `a version that peers have is read until a restored store has it again`() =
        whileBehind { feed, behind ->
            expectThat(behind.isBehind).isEqualTo(true)
            delay(800)
            expectThat(behind.isBehind).isEqualTo(true)
            feed.version = 7
            delay(500)
            expectThat(behind.isBehind).isEqualTo(false)
            expectThat(behind.isReady).isEqualTo(true)
        }

    /** Guards against a billed read for each report of a version that the store has lost. */
    @Test
    fun `repeated reports of a version that reads do not return cause no further reads`() =
        whileBehind { feed, behind ->
            val before = feed.reads
            repeat(100) {
                behind.onPeerReport(report(2L + it, readAgeMillis = null, version = 7))
                delay(10)
            }
            expectThat(feed.reads - before).isLessThan(6)
        }

    /** Guards against an instance that denies what all peers allow as soon as it has started. */
    @Test
    fun `an instance that starts is ready only after a bounded wait for a version of its peers`() =
        whileBehind { _, behind ->
            expectThat(behind.isReady).isEqualTo(false)
            delay(4_000)
            expectThat(behind.isReady).isEqualTo(false)
            delay(1_700)
            expectThat(behind.isReady).isEqualTo(true)
            expectThat(behind.isBehind).isEqualTo(false)
            // A peer may have a version that the store has lost for good.
            behind.onPeerReport(report(2, readAgeMillis = null, version = 7))
            expectThat(behind.isBehind).isEqualTo(false)
        }

    /** Guards against an instance that stops being ready with each change of the configuration. */
    @Test
    fun `an instance that was ready stays ready while it reads a newer version`() =
        whileBehind { feed, behind ->
            feed.version = 7
            delay(500)
            expectThat(behind.isReady).isEqualTo(true)
            behind.onPeerReport(report(2, readAgeMillis = null, version = 9))
            expectThat(behind.isReady).isEqualTo(true)
            expectThat(behind.isBehind).isEqualTo(true)
        }

    /** Never returns changes, like a read that waits behind records that the store has lost. */
    private class WaitingFeed<T> : ChangeFeed<T> {
        var snapshots = 0

        override suspend fun snapshot(): Result<ChangeBatch<T>, StoreError> {
            snapshots++
            return Ok(ChangeBatch(emptyList(), 0))
        }

        override suspend fun changes(
            position: Long,
            waitMillis: Long
        ): Result<ChangeBatch<T>, StoreError> =
            if (snapshots == 1 && waits++ > 0) Err(StoreError.HistoryLost) else awaitCancellation()

        private var waits = 0
    }

    /**
     * Guards against an instance that uses an old table until its read times out: another call
     * shows that the store was restored, while the read waits on its connection.
     */
    @Test
    fun `both tables are read anew as soon as any call shows a restore`() =
        expectReadsAnew { _, restored -> restored.epoch.observe(2) }

    /** Guards against an instance whose peer sees the restore while its own reads wait. */
    @Test
    fun `both tables are read anew as soon as a delta of a peer shows a restore`() =
        expectReadsAnew { waiting, _ ->
            waiting.onPeerReport(report(EpochNumber.of(2, 5), readAgeMillis = 50))
        }

    private fun expectReadsAnew(showRestore: (StoreFollower, PlatformStore) -> Unit): Unit =
        runBlocking {
            val waitingConfigurations = WaitingFeed<Configuration>()
            val waitingServers = WaitingFeed<BackendServer>()
            val restored = object : PlatformStore {
                override val configurations = waitingConfigurations
                override val backendServers = waitingServers
                override val duties: DutyGroup get() = error("duties are not used in this test")
                override val epoch = StoreEpoch()
            }
            restored.epoch.observe(1)
            coroutineScope {
                val waiting = follower(restored)
                waiting.launchIn(this)
                delay(1_000)
                showRestore(waiting, restored)
                delay(500)
                coroutineContext.cancelChildren()
            }
            expectThat(listOf(waitingConfigurations.snapshots, waitingServers.snapshots))
                .isEqualTo(listOf(2, 2))
        }

    private companion object {
        const val SILENT_CALL_MILLIS = 200L
        const val RENEWAL_MILLIS = 1_000L
        const val RUN_MILLIS = 3_600L
        const val ROUNDS = 18
    }
}
