package io.greengageport.membership

import io.greengageport.common.InstanceId
import kotlin.random.Random
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.doesNotContain
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan

class SwimCoreTest {
    private fun cluster(size: Int, seed: Long = 7, timings: PeerTimings = PeerTimings()) =
        SwimSimulation(seed, timings).apply {
            repeat(size) { start(name(it)) }
            run(20_000)
        }

    private fun name(number: Int) = "n%03d".format(number)

    private fun names(numbers: Iterable<Int>) = numbers.map(::name)

    private fun SwimSimulation.expectViews(names: List<String>) =
        expectThat(views()).isEqualTo(nodes.keys.associate { it.value to names })

    private inline fun <reified T : MemberChange> SwimSimulation.changes(): List<T> =
        nodes.values.flatMap { node -> node.changes.filterIsInstance<T>() }

    /** Guards against members that stay unknown to others or stay marked as failed by mistake. */
    @Property(tries = 30, seed = "20261204")
    fun `views and items converge to those of a full-state exchange`(@ForAll seed: Long) {
        val random = Random(seed)
        val simulation = cluster(9, seed)
        val reference = FullStateExchange()
        repeat(8) { round ->
            simulation.injectFaults(random)
            repeat(5) { number ->
                val node = name(random.nextInt(4))
                val key = "k${random.nextInt(10)}"
                val version = random.nextLong(1, 40)
                val payload = byteArrayOf(round.toByte(), number.toByte())
                simulation.publish(node, key, version, payload)
                reference.publish(key, version, payload)
            }
            simulation.run(random.nextLong(1_000, 12_000))
        }
        simulation.heal()
        simulation.run(180_000)
        val live = simulation.nodes.keys.map { it.value }
        expectThat(simulation.views()).isEqualTo(live.associateWith { live })
        expectThat(simulation.items()).isEqualTo(live.associateWith { reference.items })
    }

    /**
     * Guards against two failures: items that are sent twice over each link exhaust the byte budget
     * and arrive 10 s late, and items that are dropped after fewer sends than there are neighbours
     * reach some instances only by anti-entropy.
     */
    @Property(tries = 6, seed = "3")
    fun `gossip alone delivers five items per second to 27 instances`(@ForAll seed: Long) {
        val simulation = cluster(27, seed)
        val published = (0 until 100).associate { number ->
            simulation.publish(name(number % 27), "k$number", 1)
            ("k$number" to simulation.now).also { simulation.run(200) }
        }
        simulation.run(10_000)
        val slowest = simulation.nodes.values.maxOf { node ->
            published.maxOf { (key, at) -> node.deliveredAtMillis.getValue(key) - at }
        }
        expectThat(slowest).isLessThan(1_500)
    }

    private fun SwimSimulation.injectFaults(random: Random) {
        lossProbability = random.nextDouble(0.3)
        maxDelayMillis = random.nextLong(1, 600)
        val boundary = random.nextInt(9)
        partitionOf =
            if (random.nextInt(3) ==
                0
            ) {
                ({ if (it < InstanceId(name(boundary))) 1 else 0 })
            } else {
                ({ 0 })
            }
        // Only the first four publish; they are never killed, so no item is lost unsent.
        val victim = name(random.nextInt(4, 9))
        when (random.nextInt(4)) {
            3 -> node(name(random.nextInt(4))).pausedUntilMillis = now + random.nextLong(20_000)
            0 -> nodes[InstanceId(victim)]?.pausedUntilMillis = now + random.nextLong(20_000)
            1 -> if (nodes.size > 5) kill(victim)
            2 -> if (InstanceId(victim) !in nodes) start(victim)
        }
    }

    private fun SwimSimulation.heal() {
        lossProbability = 0.0
        maxDelayMillis = 2
        partitionOf = { 0 }
    }

    @Nested
    inner class FailureDetection {
        /** Guards against views that keep an instance which stopped without notice. */
        @Test
        fun `removes a killed instance from all views`() {
            val simulation = cluster(9)
            simulation.kill("n004")
            simulation.run(20_000)
            simulation.expectViews(names((0..8) - 4))
        }

        /** Guards against a broken link between two instances that removes one of them. */
        @Test
        fun `does not suspect a member that a helper reaches`() {
            val simulation = cluster(5)
            val (a, b) = InstanceId("n001") to InstanceId("n002")
            simulation.blockedLinks += listOf(a to b, b to a)
            simulation.run(60_000)
            expectThat(simulation.changes<MemberChange.Suspected>()).isEmpty()
        }

        /** Guards against silent connections that are mistaken for failures of the peer. */
        @Test
        fun `replaces a silent connection before suspecting the peer`() {
            val simulation = cluster(3)
            val ids = simulation.nodes.keys.toList()
            for (a in ids) for (b in ids) if (a != b) simulation.silentConnections += a to b
            simulation.run(60_000)
            expectThat(simulation.silentConnections).isEmpty()
            expectThat(simulation.changes<MemberChange.Suspected>()).isEmpty()
        }

        /**
         * Guards against a resumed instance that takes the timeouts of its own pause for failures.
         */
        @Test
        fun `an instance that resumes after a pause suspects no member and returns`() {
            val simulation = cluster(9)
            val paused = simulation.node("n003")
            paused.pausedUntilMillis = simulation.now + 30_000
            simulation.run(29_000)
            expectThat(simulation.node("n000").core.view.map { it.id.value })
                .doesNotContain("n003")
            paused.changes.clear()
            simulation.run(40_000)
            simulation.expectViews(names(0..8))
            expectThat(paused.changes.filterIsInstance<MemberChange.Suspected>()).isEmpty()
        }

        /** Guards against an overloaded instance that takes late answers for failures. */
        @Test
        fun `an overloaded instance suspects no member`() {
            val simulation = cluster(9)
            val slow = InstanceId("n003")
            simulation.extraDelayMillis[slow] = 1_200
            simulation.run(120_000)
            val suspected = simulation.changes<MemberChange.Suspected>().map { it.id }.toSet()
            val failed = simulation.changes<MemberChange.Failed>().map { it.id }.toSet()
            expectThat(suspected + failed - slow).isEmpty()
        }

        /** Guards against mutual suspicion when all instances pause, as on a stopped hypervisor. */
        @Test
        fun `instances that pause together do not fail each other`() {
            val simulation = cluster(9)
            simulation.nodes.values.forEach { it.pausedUntilMillis = simulation.now + 30_000 }
            simulation.run(60_000)
            simulation.expectViews(names(0..8))
            expectThat(simulation.changes<MemberChange.Failed>()).isEmpty()
        }

        /** Guards against survivors that exceed their budget when a data centre is lost. */
        @Test
        fun `the loss of a sixth of the instances is detected within the byte budget`() {
            val simulation = cluster(36)
            repeat(6) { simulation.kill(name(it)) }
            val before = simulation.nodes.values.sumOf { it.traffic.total() }
            simulation.run(30_000)
            simulation.expectViews(names(6..35))
            val rate = (simulation.nodes.values.sumOf { it.traffic.total() } - before) / 30 / 30
            expectThat(rate).isLessThan(7_000)
        }

        /**
         * Guards against sides of a long partition that remove each other and never merge again.
         */
        @Test
        fun `both sides of a partition merge after an hour`() {
            val simulation = cluster(8)
            simulation.partitionOf = { if (it < InstanceId("n004")) 0 else 1 }
            simulation.run(3_600_000)
            expectThat(simulation.views()).isEqualTo(
                names(0..3).associateWith { names(0..3) } +
                    names(4..7).associateWith { names(4..7) }
            )
            simulation.partitionOf = { 0 }
            simulation.run(120_000)
            simulation.expectViews(names(0..7))
        }
    }

    @Nested
    inner class Lifecycle {
        /** Guards against records that outlive a restart because the wall clock was set back. */
        @Test
        fun `a restarted instance replaces its earlier record`() {
            for (adjustment in listOf(0L, -86_400_000L)) {
                val simulation = cluster(5)
                simulation.kill("n002")
                simulation.start("n002", adjustment)
                simulation.run(30_000)
                simulation.expectViews(names(0..4))
                val boots = simulation.nodes.values.mapNotNull { it.core.find(InstanceId("n002")) }
                expectThat(boots.map { it.boot }.distinct().size).isEqualTo(1)
            }
        }

        /** Guards against planned stops that are reported as failures. */
        @Test
        fun `a leaving instance is marked and then removed without a failure`() {
            val simulation = cluster(5)
            simulation.node("n002").core.announceLeaving()
            simulation.run(3_000)
            val marked = simulation.nodes.values.map { node ->
                node.core.view.filter { it.isLeaving }.map { it.id.value }
            }
            expectThat(marked).isEqualTo(List(5) { listOf("n002") })
            simulation.kill("n002")
            simulation.run(20_000)
            simulation.expectViews(names((0..4) - 2))
            expectThat(simulation.changes<MemberChange.Failed>()).isEmpty()
        }

        /** Guards against a stopping instance that reappears in the views before it ends. */
        @Test
        fun `an instance that has left does not refute the record of its leaving`() {
            val simulation = cluster(5)
            simulation.node("n002").core.announceLeaving()
            simulation.run(3_000)
            simulation.announceLeft("n002")
            simulation.run(1_000)
            val others = simulation.views().filterKeys { it != "n002" }
            expectThat(others.values.distinct()).isEqualTo(listOf(names((0..4) - 2)))
            expectThat(simulation.changes<MemberChange.Refuted>()).isEmpty()
        }

        /** Guards against items that reach only the instances present when they are published. */
        @Test
        fun `an instance that joins late receives earlier items`() {
            val simulation = cluster(5)
            repeat(200) { simulation.publish("n001", "k$it", 1) }
            simulation.run(600_000)
            simulation.start("n005")
            simulation.run(30_000)
            expectThat(simulation.node("n005").core.items(simulation.now).size).isEqualTo(200)
        }

        /** Guards against a growing cost per instance, which would rule out 360 instances. */
        @Test
        fun `bytes per instance do not grow with the number of instances`() {
            val rates = listOf(10, 40).map { size ->
                val simulation = cluster(size)
                val before = simulation.nodes.values.sumOf { it.traffic.total() }
                simulation.run(60_000)
                (simulation.nodes.values.sumOf { it.traffic.total() } - before) / 60 / size
            }
            expectThat(rates[1]).isLessThan(rates[0] + 2_000)
            expectThat(rates[1]).isLessThan(7_000)
        }
    }

    @Nested
    inner class Items {
        /** Guards against peers that keep an expired item alive by sending it to each other. */
        @Test
        fun `expired items are removed from all instances`() {
            val timings = PeerTimings(itemLifetime = kotlin.time.Duration.parse("30s"))
            val simulation = cluster(5, timings = timings)
            simulation.publish("n001", "k", 1)
            simulation.run(5_000)
            expectThat(simulation.items().values.map { it.keys.toList() })
                .isEqualTo(List(5) { listOf("k") })
            simulation.run(30_000)
            expectThat(simulation.items().values.flatMap { it.keys }).isEmpty()
        }

        /**
         * Guards against bursts of items that exceed the byte budget or do not reach all instances.
         */
        @Test
        fun `a flood of items stays within the byte budget`() {
            val simulation = cluster(9)
            val before = simulation.nodes.values.sumOf { it.traffic.total() }
            repeat(60) { second ->
                repeat(20) { simulation.publish("n00${it % 9}", "k$second-$it", 1) }
                simulation.run(1_000)
            }
            val rate = (simulation.nodes.values.sumOf { it.traffic.total() } - before) / 60 / 9
            expectThat(rate).isLessThan(7_000)
            simulation.run(300_000)
            expectThat(simulation.items().values.map { it.size }).isEqualTo(List(9) { 1_200 })
        }
    }
}

/** The reference model: every instance has the newest version of every published item. */
internal class FullStateExchange {
    val items = HashMap<String, Pair<Long, List<Byte>>>()

    fun publish(key: String, version: Long, payload: ByteArray) {
        val order =
            compareBy<Pair<Long, List<Byte>>>({
                it.first
            }, { it.second.first() }, { it.second.last() })
        items.merge(key, version to payload.toList(), { a, b -> maxOf(a, b, order) })
    }
}
