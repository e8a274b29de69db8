package io.greengageport.settings

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.greengageport.common.InstanceId
import io.greengageport.ports.LogError
import io.greengageport.ports.LogService
import io.greengageport.testkit.InMemoryLog
import io.greengageport.testkit.ManualClock
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Simulates a small fleet with one log, driven by a single random source, and compares it with the
 * reference implementation of the publish rule.
 *
 * The simulation includes concurrent publishers, lost acknowledgements, delayed records,
 * truncation, snapshot writers, paused readers, restarts and network partitions.
 */
internal class SettingsSimulation(private val random: Random) {
    val clock = ManualClock()
    val log = InMemoryLog(clock)
    val reference = ReferenceRule()
    var expected = SettingsState.EMPTY
        private set
    val outcomes = mutableListOf<PublishOutcome>()
    private val fleet = FakeFleet()
    private val faultyLog = FaultInjectingLog()
    private val config = SettingsStoreConfig(
        pageRecords = 7,
        snapshotEvery = 12,
        snapshotScanRecords = 30,
        snapshotPartBytes = 400,
        snapshotStagger = 1.milliseconds,
        snapshotQuietPeriod = 1.milliseconds,
        pullDelay = Duration.ZERO
    )
    private val stores = (0 until INSTANCES).map { start(it) }.toMutableList()
    private val lastSeen = MutableList(INSTANCES) { 0L }
    private var ids = 0

    /** Lets a random instance act, changes a fault, or delivers delayed records. */
    suspend fun step() {
        clock.advance(random.nextLong(1, 400))
        val i = random.nextInt(INSTANCES)
        when (random.nextInt(20)) {
            in 0..5 -> publish(i)
            in 6..10 -> stores[i].followOnce(Duration.ZERO)
            in 11..12 -> stores[i].syncWithPeers()
            in 13..14 -> stores[i].writeSnapshotIfDue()
            15 -> log.isDown = random.nextInt(3) == 0
            16 -> if (!fleet.partitioned.remove(id(i)) && i > 0) fleet.partitioned += id(i)
            17 -> if (random.nextInt(3) == 0) truncate()
            18 -> if (i > 0) restart(i)
            19 -> faultyLog.deliverLate()
        }
        checkNeverReverts()
    }

    /** Ends all faults and runs rounds until every instance has caught up. */
    suspend fun endFaults() {
        log.isDown = false
        faultyLog.isFaulty = false
        fleet.partitioned.clear()
        faultyLog.deliverLate()
        repeat(RECOVERY_ROUNDS) {
            clock.advance(1_000)
            for (s in stores) {
                s.followOnce(Duration.ZERO)
                s.syncWithPeers()
            }
            checkNeverReverts()
        }
    }

    /** Returns the version and the tree hash of each instance. */
    fun versions(): List<Pair<Long, TreeHash>> = stores.map {
        it.view.value.version to it.state.hash
    }

    fun freshness(): List<Freshness> = stores.map { it.freshness() }

    private fun id(i: Int) = InstanceId("instance-$i")

    private fun start(i: Int): SettingsStore {
        val n = fleet.node(id(i).value)
        return SettingsStore(faultyLog, n, n, n, n, clock, config, random)
    }

    private fun restart(i: Int) {
        stores[i] = start(i)
        lastSeen[i] = 0
    }

    private fun checkNeverReverts() = stores.forEachIndexed { i, s ->
        check(s.state.version >= lastSeen[i]) { "instance $i reverted to ${s.state.version}" }
        lastSeen[i] = s.state.version
    }

    private suspend fun publish(i: Int) {
        val store = stores[i]
        val publisher = SettingsPublisher(
            faultyLog,
            { store.state },
            clock,
            decisionTimeout = 2.seconds,
            random = random,
            pause = {
                clock.advance(it.inWholeMilliseconds)
                if (random.nextInt(4) == 0) log.isDown = !log.isDown
                if (random.nextInt(4) == 0) faultyLog.deliverLate()
            }
        )
        val c = RandomChanges.next(random, ChangeId("p${ids++}"), store.state)
        outcomes += publisher.publish(c.author, c.path, c.value, c.baseVersion, c.id)
        val undecided = outcomes.last() as? PublishOutcome.Undecided ?: return
        if (random.nextBoolean()) outcomes += publisher.withdraw(undecided)
    }

    /**
     * Truncates the log after instance 0 has read it. Instance 0 is never partitioned or restarted,
     * so that the fleet does not lose records.
     */
    private suspend fun truncate() {
        if (log.isDown) return
        while (stores[0].state.lastOffset < expected.lastOffset) stores[0].followOnce(Duration.ZERO)
        log.truncate(STREAM, random.nextLong(expected.lastOffset / 2, expected.lastOffset + 2))
    }

    /** Injects random faults and writes of other instances before an append. */
    private inner class FaultInjectingLog : LogService {
        var isFaulty = true
        private val late = mutableListOf<ByteArray>()
        private var depth = 0

        override suspend fun append(stream: String, payload: ByteArray): Result<Long, LogError> {
            writeConcurrently()
            if (log.isDown) return Err(LogError.Unavailable("down"))
            return when (if (isFaulty) random.nextInt(8) else NO_FAULT) {
                0 -> store(payload).let { Err(LogError.Uncertain("acknowledgement lost")) }
                1 -> late.add(payload).let { Err(LogError.Uncertain("delayed")) }
                2 -> Err(LogError.Uncertain("dropped"))
                else -> Ok(store(payload))
            }
        }

        override suspend fun read(stream: String, from: Long, max: Int, wait: Duration) =
            log.read(stream, from, max, wait)

        fun deliverLate() {
            late.forEach { store(it) }
            late.clear()
        }

        private suspend fun writeConcurrently() {
            if (depth > 0 || !isFaulty || random.nextInt(3) > 0) return
            depth++
            when (random.nextInt(4)) {
                0 -> store(
                    RecordCodec.encode(RandomChanges.next(random, ChangeId("r${ids++}"), expected))
                )

                1 -> store(random.nextBytes(random.nextInt(40)))

                2 -> stores[random.nextInt(INSTANCES)].writeSnapshotIfDue()

                3 -> truncate()
            }
            depth--
        }

        private fun store(payload: ByteArray): Long {
            val offset = log.store(STREAM, payload)
            val applied = expected.apply(Fixtures.record(offset, payload))
            expected = applied.state
            val isAccepted = applied.decision is Decision.Accepted
            check(reference.apply(offset, payload) == isAccepted) {
                "at $offset the reference implementation differs from ${applied.decision}"
            }
            return offset
        }
    }

    companion object {
        const val STREAM = "settings"
        private const val INSTANCES = 4
        private const val RECOVERY_ROUNDS = 60
        private const val NO_FAULT = 9
    }
}

/**
 * Generates random changes with few distinct names, so that conflicts, duplicates and dangling
 * references are common.
 */
internal object RandomChanges {
    fun next(random: Random, id: ChangeId, state: SettingsState): Change {
        val path = path(random)
        val author = if (random.nextInt(4) == 0) Fixtures.packer else Fixtures.admin
        val isStale = random.nextInt(6) == 0
        val base = if (isStale) random.nextLong(state.version + 1) else state.pathVersion(path)
        val value = if (random.nextInt(5) == 0) null else value(random, path)
        return Change(id, author, path, base, state.lastOffset, value)
    }

    private fun path(random: Random): SettingsPath {
        val team = listOf("t", "u").random(random)
        return when (random.nextInt(12)) {
            in 0..2 -> SettingsPath.rank("r${random.nextInt(3)}")
            in 3..5 -> SettingsPath.service(team, "s${random.nextInt(3)}")
            in 6..8 -> SettingsPath.organisation(team, "o${random.nextInt(4)}")
            9 -> SettingsPath.access(team)
            10 -> SettingsPath("services/$team")
            else -> SettingsPath("organisations")
        }
    }

    private fun value(random: Random, at: SettingsPath): Map<SettingsPath, SettingsDocument> =
        if (at.isDocument) {
            mapOf(at to document(random, at))
        } else {
            List(3) { path(random) }.filter { it.isDocument && at.covers(it) }
                .associateWith { document(random, it) }
        }

    private fun document(random: Random, path: SettingsPath): SettingsDocument = when (path.kind) {
        SettingsKind.RANKS ->
            Fixtures.rank(random.nextInt(3), listOf(0.1, 0.3, 0.6, 1.2).random(random))

        SettingsKind.SERVICES -> Fixtures.model("v${random.nextInt(5)}")

        SettingsKind.ORGANISATIONS -> Fixtures.organisation(
            "key-${random.nextInt(9)}",
            List(random.nextInt(2)) { "s${random.nextInt(3)}" },
            List(random.nextInt(2)) { "r${random.nextInt(3)}" }
        )

        else -> {
            val author = if (random.nextInt(3) == 0) Fixtures.packer else Fixtures.admin
            val prefixes = listOf(arrayOf(""), arrayOf("access", "ranks"), arrayOf("services/t"))
            Fixtures.access(author, *prefixes.random(random))
        }
    }
}
