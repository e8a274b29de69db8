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
        /** Guards against an instance that cannot serve because it starts during an outage. */
        @Test
        fun `an instance that starts while the log is down learns the settings from a peer`() =
            runBlocking<Unit> {
                appendRanks(5)
                val a = store("a").also { it.catchUp() }
                log.isDown = true
                val b = store("b")
                b.followOnce(Duration.ZERO)
                b.exchange()
                expectThat(b.view.value.hash).isEqualTo(a.view.value.hash)
                expectThat(b.ready.value).isTrue()
            }

        /** Guards against taking a state that was damaged on the way. */
        @Test
        fun `a damaged state of a peer is not taken`() = runBlocking<Unit> {
            appendRanks(5)
            store("a").catchUp()
            log.isDown = true
            val b = store("b")
            fleet.tamper = { it.clone().also { copy -> copy[copy.size / 2]++ } }
            b.followOnce(Duration.ZERO)
            b.exchange()
            expectThat(listOf(b.state.version, b.ready.value)).isEqualTo(listOf(0L, false))
        }

        /** Guards against reporting old settings as current. */
        @Test
        fun `currency ends 5 s after the last proof, and a live peer's proof extends it`() =
            runBlocking<Unit> {
                appendRanks(1)
                val a = store("a").also { it.catchUp() }
                val b = store("b").also { it.catchUp() }
                fleet.cut += InstanceId("b")
                clock.advance(5_000)
                expectThat(b.currency()).isEqualTo(Currency(true, 5.0))
                clock.advance(1)
                expectThat(b.currency()).isEqualTo(Currency(false, 5.001))
                fleet.cut.clear()
                a.followOnce(Duration.ZERO)
                clock.advance(2_000)
                expectThat(b.currency()).isEqualTo(Currency(true, 2.0))
                append(change("x", "ranks/x", 0, rank(9, 0.0)))
                a.followOnce(Duration.ZERO)
                expectThat(b.currency().current).isFalse()
            }
    }

    @Nested
    inner class Truncation {
        /** Guards against settings that are lost when the log drops the records that set them. */
        @Test
        fun `a snapshot is written in half the retention time and read after truncation`() =
            runBlocking<Unit> {
                appendRanks(9)
                val a = store("a").also { it.catchUp() }
                expectThat(a.writeSnapshotIfDue()).isFalse()
                clock.advance(1.hours.inWholeMilliseconds + 1)
                expectThat(a.writeSnapshotIfDue()).isTrue()
                a.catchUp()
                clock.advance(config.snapshotQuiet.inWholeMilliseconds)
                expectThat(a.writeSnapshotIfDue()).isFalse()
                log.truncate("settings", 10)
                val b = store("b").also { it.catchUp() }
                expectThat(b.view.value.hash).isEqualTo(a.view.value.hash)
                expectThat(b.state.through).isEqualTo(a.state.through)
            }

        /** Guards against a snapshot of which parts were cut off by the truncation. */
        @Test
        fun `an incomplete snapshot is not used, a peer's state is`() = runBlocking<Unit> {
            appendRanks(9)
            val a = store("a").also { it.catchUp() }
            val parts = Snapshot.split(a.state, partBytes = 300)
            parts.forEach(::append)
            a.catchUp()
            log.truncate("settings", 11)
            val b = store("b").also { it.catchUp() }
            expectThat(b.ready.value).isFalse()
            b.exchange()
            b.catchUp()
            expectThat(b.state.through).isEqualTo(a.state.through)
            // The log alone must do from here on.
            fleet.cut += InstanceId("a")
            val version = append(change("x", "ranks/x", 0, rank(20, 0.0)))
            b.catchUp()
            expectThat(b.state.version).isEqualTo(version)
        }

        /** Guards against folding on from a snapshot with a gap after it. */
        @Test
        fun `a complete snapshot from before the truncation point is not used`() =
            runBlocking<Unit> {
                appendRanks(9)
                val a = store("a").also { it.catchUp() }
                append(change("x", "ranks/x", 0, rank(20, 0.0)))
                Snapshot.split(a.state, partBytes = 300).forEach(::append)
                log.truncate("settings", 11)
                val b = store("b").also { it.catchUp() }
                expectThat(b.state.through).isEqualTo(0)
            }

        /** Guards against a log service that answers from a later offset than asked. */
        @Test
        fun `a page that starts late counts as truncated`() = runBlocking<Unit> {
            val late = object : LogService by log {
                override suspend fun read(stream: String, from: Long, max: Int, wait: Duration) =
                    log.read(stream, from + 1, max, wait)
            }
            appendRanks(3)
            expectThat(late.readFrom("settings", 1, 10, Duration.ZERO).error)
                .isEqualTo(LogError.Truncated(2))
        }

        /** Guards against going back to an older state, whatever offers it. */
        @Test
        fun `an older state is not taken`() {
            val states = listOf(3, 2).map { n ->
                Fixtures.fold((1..n).map { change("c$it", "ranks/r$it", 0, rank(it, 0.0)) }).first
            }
            val holder = StateHolder()
            expectThat(states.map { holder.offer(it) }).isEqualTo(listOf(true, false))
            expectThat(holder.state.version).isEqualTo(3)
        }

        /** Guards against a snapshot that was damaged where only its own hash can tell. */
        @Test
        fun `a snapshot that does not fit its hash is not taken`() {
            val (state, _) = Fixtures.fold(listOf(change("original", "ranks/r", 0, rank(1))))
            val part = Snapshot.split(state).single()
            val at = String(part.bytes, Charsets.ISO_8859_1).lastIndexOf("original")
            val bytes = part.bytes.clone().also { it[at]++ }
            val damaged = SnapshotPart(part.through, part.hash, 0, 1, bytes)
            val assembler = SnapshotAssembler()
            expectThat(listOf(damaged, part).map { assembler.add(it)?.through })
                .isEqualTo(listOf(null, 1L))
        }

        /** Guards against snapshots that several writers keep from being complete. */
        @Test
        fun `interleaved, repeated and unordered parts of several snapshots are put together`() {
            val states = listOf(10, 11, 12).map { n ->
                Fixtures.fold((1..n).map { change("c$it", "ranks/r$it", 0, rank(it, 0.0)) }).first
            }
            val parts = states.flatMap { Snapshot.split(it, partBytes = 200) }
            val assembler = SnapshotAssembler()
            val found = (parts + parts.take(3)).shuffled(Random(7))
                .mapNotNull { assembler.add(it)?.through }
            expectThat(found.toSet()).isEqualTo(setOf(10L, 11L, 12L))
        }
    }

    /** Guards against loops that end or hang. */
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
