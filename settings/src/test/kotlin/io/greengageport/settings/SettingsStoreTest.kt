package io.greengageport.settings

import io.greengageport.common.InstanceId
import io.greengageport.ports.LogError
import io.greengageport.ports.LogService
import io.greengageport.settings.Fixtures.change
import io.greengageport.settings.Fixtures.rank
import io.greengageport.testkit.InMemoryLog
import io.greengageport.testkit.ManualClock
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

class SettingsStoreTest {
    private val clock = ManualClock()
    private val log = InMemoryLog(clock)
    private val fleet = FakeFleet()
    private val config = SettingsStoreConfig(snapshotPartBytes = 300, retention = 2.hours)

    private fun store(name: String): SettingsStore {
        val n = fleet.node(name)
        return SettingsStore(log, n, n, n, n, clock, config)
    }

    private fun append(record: SettingsRecord) = log.store("settings", RecordCodec.encode(record))

    private fun appendRanks(count: Int) =
        repeat(count) { append(change("c$it", "ranks/r$it", 0, rank(it, 0.0))) }

    private suspend fun SettingsStore.catchUp() = repeat(20) { followOnce(Duration.ZERO) }

    @Nested
    inner class WithoutLog {
        /** Guards against an instance that is not ready because it starts during a log outage. */
        @Test
        fun `an instance that starts while the log is down pulls the settings from a peer`() =
            runBlocking<Unit> {
                appendRanks(5)
                val a = store("a").also { it.catchUp() }
                log.isDown = true
                val b = store("b")
                b.followOnce(Duration.ZERO)
                b.syncWithPeers()
                expectThat(b.view.value.hash).isEqualTo(a.view.value.hash)
                expectThat(b.isReady.value).isTrue()
            }

        /** Guards against loading a state that was corrupted in transfer. */
        @Test
        fun `a corrupted state from a peer is discarded`() = runBlocking<Unit> {
            appendRanks(5)
            store("a").catchUp()
            log.isDown = true
            val b = store("b")
            fleet.modifyReply = { it.clone().also { copy -> copy[copy.size / 2]++ } }
            b.followOnce(Duration.ZERO)
            b.syncWithPeers()
            expectThat(listOf(b.state.version, b.isReady.value)).isEqualTo(listOf(0L, false))
        }

        /** Guards against reporting outdated settings as current. */
        @Test
        fun `settings are current for 5 s after the last proof by the log or a live peer`() =
            runBlocking<Unit> {
                appendRanks(1)
                val a = store("a").also { it.catchUp() }
                val b = store("b").also { it.catchUp() }
                fleet.partitioned += InstanceId("b")
                clock.advance(5_000)
                expectThat(b.freshness()).isEqualTo(Freshness(true, 5.0))
                clock.advance(1)
                expectThat(b.freshness()).isEqualTo(Freshness(false, 5.001))
                fleet.partitioned.clear()
                a.followOnce(Duration.ZERO)
                clock.advance(2_000)
                expectThat(b.freshness()).isEqualTo(Freshness(true, 2.0))
                append(change("x", "ranks/x", 0, rank(9, 0.0)))
                a.followOnce(Duration.ZERO)
                expectThat(b.freshness().isCurrent).isFalse()
            }
    }

    @Nested
    inner class Truncation {
        /** Guards against losing settings when the log truncates their records. */
        @Test
        fun `a snapshot is written after half the retention time and loaded after truncation`() =
            runBlocking<Unit> {
                appendRanks(9)
                val a = store("a").also { it.catchUp() }
                expectThat(a.writeSnapshotIfDue()).isFalse()
                clock.advance(1.hours.inWholeMilliseconds + 1)
                expectThat(a.writeSnapshotIfDue()).isTrue()
                a.catchUp()
                clock.advance(config.snapshotQuietPeriod.inWholeMilliseconds)
                expectThat(a.writeSnapshotIfDue()).isFalse()
                log.truncate("settings", 10)
                val b = store("b").also { it.catchUp() }
                expectThat(b.view.value.hash).isEqualTo(a.view.value.hash)
                expectThat(b.state.lastOffset).isEqualTo(a.state.lastOffset)
            }

        /** Guards against loading a snapshot whose first parts were truncated. */
        @Test
        fun `the state of a peer is used if the snapshot is incomplete`() = runBlocking<Unit> {
            appendRanks(9)
            val a = store("a").also { it.catchUp() }
            val parts = Snapshot.split(a.state, partBytes = 300)
            parts.forEach(::append)
            a.catchUp()
            log.truncate("settings", 11)
            val b = store("b").also { it.catchUp() }
            expectThat(b.isReady.value).isFalse()
            b.syncWithPeers()
            b.catchUp()
            expectThat(b.state.lastOffset).isEqualTo(a.state.lastOffset)
            // From here on, the log must be sufficient.
            fleet.partitioned += InstanceId("a")
            val version = append(change("x", "ranks/x", 0, rank(20, 0.0)))
            b.catchUp()
            expectThat(b.state.version).isEqualTo(version)
        }

        /** Guards against applying records after a gap that follows a snapshot. */
        @Test
        fun `a complete snapshot from before the truncation point is not used`() =
            runBlocking<Unit> {
                appendRanks(9)
                val a = store("a").also { it.catchUp() }
                append(change("x", "ranks/x", 0, rank(20, 0.0)))
                Snapshot.split(a.state, partBytes = 300).forEach(::append)
                log.truncate("settings", 11)
                val b = store("b").also { it.catchUp() }
                expectThat(b.state.lastOffset).isEqualTo(0)
            }

        /** Guards against a log service that returns records from after the requested offset. */
        @Test
        fun `a page starting after the requested offset counts as truncated`() = runBlocking<Unit> {
            val skippingLog = object : LogService by log {
                override suspend fun read(stream: String, from: Long, max: Int, wait: Duration) =
                    log.read(stream, from + 1, max, wait)
            }
            appendRanks(3)
            expectThat(skippingLog.readContiguous("settings", 1, 10, Duration.ZERO).error)
                .isEqualTo(LogError.Truncated(2))
        }

        /** Guards against reverting to an older state. */
        @Test
        fun `an older state is rejected`() {
            val states = listOf(3, 2).map { n ->
                Fixtures.fold((1..n).map { change("c$it", "ranks/r$it", 0, rank(it, 0.0)) }).first
            }
            val holder = StateHolder()
            expectThat(states.map { holder.offer(it) }).isEqualTo(listOf(true, false))
            expectThat(holder.state.version).isEqualTo(3)
        }

        /** Guards against corruption that only the hash of the snapshot can detect. */
        @Test
        fun `a snapshot that does not match its hash is discarded`() {
            val (state, _) = Fixtures.fold(listOf(change("original", "ranks/r", 0, rank(1))))
            val part = Snapshot.split(state).single()
            val at = String(part.bytes, Charsets.ISO_8859_1).lastIndexOf("original")
            val bytes = part.bytes.clone().also { it[at]++ }
            val damaged = SnapshotPart(part.lastOffset, part.hash, 0, 1, bytes)
            val assembler = SnapshotAssembler()
            expectThat(listOf(damaged, part).map { assembler.add(it)?.lastOffset })
                .isEqualTo(listOf(null, 1L))
        }

        /** Guards against snapshots that are never complete because of concurrent writers. */
        @Test
        fun `interleaved, duplicate and unordered parts of several snapshots are assembled`() {
            val states = listOf(10, 11, 12).map { n ->
                Fixtures.fold((1..n).map { change("c$it", "ranks/r$it", 0, rank(it, 0.0)) }).first
            }
            val parts = states.flatMap { Snapshot.split(it, partBytes = 200) }
            val assembler = SnapshotAssembler()
            val found = (parts + parts.take(3)).shuffled(Random(7))
                .mapNotNull { assembler.add(it)?.lastOffset }
            expectThat(found.toSet()).isEqualTo(setOf(10L, 11L, 12L))
        }
    }

    /** Guards against loops of the store that exit early or hang. */
    @Test
    fun `a running store follows the log until cancelled`() = runBlocking<Unit> {
        val a = store("a")
        val job = launch { a.run() }
        a.awaitReady()
        appendRanks(3)
        a.awaitVersion(3)
        expectThat(a.view.value.ranks.map { it.name.value }).isEqualTo(listOf("r0", "r1", "r2"))
        job.cancelAndJoin()
    }
}
