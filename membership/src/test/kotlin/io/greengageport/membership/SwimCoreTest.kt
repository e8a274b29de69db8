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

    private fun SwimSimulation.sees(names: List<String>) =
        expectThat(views()).isEqualTo(nodes.keys.associate { it.value to names })

    private inline fun <reified T : MemberNotice> SwimSimulation.notices(): List<T> =
        nodes.values.flatMap { node -> node.notices.filterIsInstance<T>() }

    /** Guards against instances that stay unknown to others, and against lasting wrong failures. */
    @Property(tries = 30, seed = "20261204")
    fun `ends with the view and the items of the full-state exchange`(@ForAll seed: Long) {
        val random = Random(seed)
        val simulation = cluster(9, seed)
        val naive = FullStateExchange()
        repeat(8) { round ->
            simulation.injectFaults(random)
            repeat(5) { number ->
                val node = name(random.nextInt(4))
                val key = "k${random.nextInt(10)}"
                val version = random.nextLong(1, 40)
                val payload = byteArrayOf(round.toByte(), number.toByte())
                simulation.publish(node, key, version, payload)
                naive.publish(key, version, payload)
            }
            simulation.run(random.nextLong(1_000, 12_000))
        }
        simulation.heal()
        simulation.run(180_000)
        val live = simulation.nodes.keys.map { it.value }
        expectThat(simulation.views()).isEqualTo(live.associateWith { live })
        expectThat(simulation.items()).isEqualTo(live.associateWith { naive.items })
    }

    /**
     * With each item sent twice over each link, the byte budget delayed items by 10 s; with
     * items dropped after fewer sends than there are neighbours, some waited for anti-entropy.
     */
    @Property(tries = 6, seed = "3")
    fun `items at five a second reach 27 instances without repair`(@ForAll seed: Long) {
        val simulation = cluster(27, seed)
        val published = (0 until 100).associate { number ->
            simulation.publish(name(number % 27), "k$number", 1)
            ("k$number" to simulation.now).also { simulation.run(200) }
        }
        simulation.run(10_000)
        val slowest = simulation.nodes.values.maxOf { node ->
            published.maxOf { (key, at) -> node.delivered.getValue(key) - at }
        }
        expectThat(slowest).isLessThan(1_500)
    }

    private fun SwimSimulation.injectFaults(random: Random) {
        loss = random.nextDouble(0.3)
        maxDelayMillis = random.nextLong(1, 600)
        val boundary = random.nextInt(9)
        side =
            if (random.nextInt(3) ==
                0
            ) {
                ({ if (it < InstanceId(name(boundary))) 1 else 0 })
            } else {
                ({ 0 })
            }
        // Items are published by the first four, which are never killed with an unsent item.
        val victim = name(random.nextInt(4, 9))
        when (random.nextInt(4)) {
            3 -> node(name(random.nextInt(4))).pausedUntil = now + random.nextLong(20_000)
            0 -> nodes[InstanceId(victim)]?.pausedUntil = now + random.nextLong(20_000)
            1 -> if (nodes.size > 5) kill(victim)
            2 -> if (InstanceId(victim) !in nodes) start(victim)
        }
    }

    private fun SwimSimulation.heal() {
        loss = 0.0
        maxDelayMillis = 2
        side = { 0 }
    }

    @Nested
    inner class FailureDetection {
        @Test
        fun `removes a killed instance from all views`() {
            val simulation = cluster(9)
            simulation.kill("n004")
            simulation.run(20_000)
            simulation.sees(names((0..8) - 4))
        }

        /** A broken link between two instances must not remove either of them. */
        @Test
        fun `suspects nobody while a helper reaches the member`() {
            val simulation = cluster(5)
            val (a, b) = InstanceId("n001") to InstanceId("n002")
            simulation.cut += listOf(a to b, b to a)
            simulation.run(60_000)
            expectThat(simulation.notices<MemberNotice.Suspected>()).isEmpty()
        }

        /** Silent connections must not look like failures of the peer. */
        @Test
        fun `replaces a silent connection before it suspects the peer`() {
            val simulation = cluster(3)
            val ids = simulation.nodes.keys.toList()
            for (a in ids) for (b in ids) if (a != b) simulation.silent += a to b
            simulation.run(60_000)
            expectThat(simulation.silent).isEmpty()
            expectThat(simulation.notices<MemberNotice.Suspected>()).isEmpty()
        }

        @Test
        fun `an instance that wakes from a pause suspects nobody and returns`() {
            val simulation = cluster(9)
            val paused = simulation.node("n003")
            paused.pausedUntil = simulation.now + 30_000
            simulation.run(29_000)
            expectThat(simulation.node("n000").core.view.map { it.id.value })
                .doesNotContain("n003")
            paused.notices.clear()
            simulation.run(40_000)
            simulation.sees(names(0..8))
            expectThat(paused.notices.filterIsInstance<MemberNotice.Suspected>()).isEmpty()
        }

        /** Late answers at an overloaded instance must not read as failures of the others. */
        @Test
        fun `an overloaded instance suspects nobody`() {
            val simulation = cluster(9)
            val slow = InstanceId("n003")
            simulation.slowMillis[slow] = 1_200
            simulation.run(120_000)
            val suspected = simulation.notices<MemberNotice.Suspected>().map { it.id }.toSet()
            val failed = simulation.notices<MemberNotice.Failed>().map { it.id }.toSet()
            expectThat(suspected + failed - slow).isEmpty()
        }

        /** A whole process set paused at once, as on a stopped hypervisor, must not collapse. */
        @Test
        fun `instances paused together suspect nobody`() {
            val simulation = cluster(9)
            simulation.nodes.values.forEach { it.pausedUntil = simulation.now + 30_000 }
            simulation.run(60_000)
            simulation.sees(names(0..8))
            expectThat(simulation.notices<MemberNotice.Failed>()).isEmpty()
        }

        /** The loss of a data centre must not make the survivors exceed their budget. */
        @Test
        fun `the loss of a sixth of the instances is noticed within the byte budget`() {
            val simulation = cluster(36)
            repeat(6) { simulation.kill(name(it)) }
            val before = simulation.nodes.values.sumOf { it.traffic.total() }
            simulation.run(30_000)
            simulation.sees(names(6..35))
            val rate = (simulation.nodes.values.sumOf { it.traffic.total() } - before) / 30 / 30
            expectThat(rate).isLessThan(7_000)
        }

        @Test
        fun `two sides find each other after a partition of an hour`() {
            val simulation = cluster(8)
            simulation.side = { if (it < InstanceId("n004")) 0 else 1 }
            simulation.run(3_600_000)
            expectThat(simulation.views()).isEqualTo(
                names(0..3).associateWith { names(0..3) } +
                    names(4..7).associateWith { names(4..7) }
            )
            simulation.side = { 0 }
            simulation.run(120_000)
            simulation.sees(names(0..7))
        }
    }

    @Nested
    inner class Lifecycle {
        /** The old self's records must not outlive a restart, even if the wall clock went back. */
        @Test
        fun `a restarted instance replaces its old self`() {
            for (adjustment in listOf(0L, -86_400_000L)) {
                val simulation = cluster(5)
                simulation.kill("n002")
                simulation.start("n002", adjustment)
                simulation.run(30_000)
                simulation.sees(names(0..4))
                val boots = simulation.nodes.values.mapNotNull { it.core.find(InstanceId("n002")) }
                expectThat(boots.map { it.boot }.distinct().size).isEqualTo(1)
            }
        }

        @Test
        fun `a leaving instance is marked and then removed without a failure`() {
            val simulation = cluster(5)
            simulation.node("n002").core.leave()
            simulation.run(3_000)
            val marked = simulation.nodes.values.map { node ->
                node.core.view.filter { it.leaving }.map { it.id.value }
            }
            expectThat(marked).isEqualTo(List(5) { listOf("n002") })
            simulation.kill("n002")
            simulation.run(20_000)
            simulation.sees(names((0..4) - 2))
            expectThat(simulation.notices<MemberNotice.Failed>()).isEmpty()
        }

        /** Guards against a stopping instance that returns to the views for its last moments. */
        @Test
        fun `an instance that has left does not refute that`() {
            val simulation = cluster(5)
            simulation.node("n002").core.leave()
            simulation.run(3_000)
            simulation.depart("n002")
            simulation.run(1_000)
            val others = simulation.views().filterKeys { it != "n002" }
            expectThat(others.values.distinct()).isEqualTo(listOf(names((0..4) - 2)))
            expectThat(simulation.notices<MemberNotice.Refuted>()).isEmpty()
        }

        @Test
        fun `an instance that joins late receives earlier items`() {
            val simulation = cluster(5)
            repeat(200) { simulation.publish("n001", "k$it", 1) }
            simulation.run(600_000)
            simulation.start("n005")
            simulation.run(30_000)
            expectThat(simulation.node("n005").core.items(simulation.now).size).isEqualTo(200)
        }

        /** Lowest cost per instance is what lets the protocol run at 360 instances. */
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
        /** Peers must not hand an expired item back and forth for ever. */
        @Test
        fun `expired items disappear everywhere`() {
            val timings = PeerTimings(itemLifetime = kotlin.time.Duration.parse("30s"))
            val simulation = cluster(5, timings = timings)
            simulation.publish("n001", "k", 1)
            simulation.run(5_000)
            expectThat(simulation.items().values.map { it.keys.toList() })
                .isEqualTo(List(5) { listOf("k") })
            simulation.run(30_000)
            expectThat(simulation.items().values.flatMap { it.keys }).isEmpty()
        }

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

/** The naive reference: every instance holds everything that was ever published anywhere. */
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
