package io.greengageport.membership

import com.sun.management.OperatingSystemMXBean
import io.greengageport.common.DataCentre
import io.greengageport.common.InstanceId
import java.lang.management.ManagementFactory
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking

/**
 * Measures the cost of membership and the latency of gossip and prints a Markdown table. The
 * arguments are `sockets <seed> <sizes>` to use loopback connections, or `core <seed> <sizes>` to
 * use the simulated network.
 *
 * Bytes are those of sent and received frames plus an estimate for TCP/IP: 60 B for the segment of
 * each frame, 60 B for its acknowledgement and 780 B for each opened connection.
 */
internal object MembershipMeter {
    private const val SETTLE_MILLIS = 20_000L
    private const val IDLE_MILLIS = 30_000L
    private const val ITEMS = 100
    private const val ITEM_PERIOD_MILLIS = 200L

    private class Row(
        val size: Int,
        val idleBytes: Long,
        val idleMessages: Double,
        val busyBytes: Long,
        val cpu: String,
        val heap: String,
        val connections: String,
        val spreadMillis: List<Long>,
        val lost: Int,
        val detectionMillis: Long
    ) {
        override fun toString(): String = listOf(
            size, idleBytes, "%.1f".format(idleMessages), busyBytes, cpu, heap, connections,
            spreadMillis[spreadMillis.size / 2], spreadMillis.last(), lost, detectionMillis
        ).joinToString(" | ", "| ", " |")
    }

    @JvmStatic
    fun main(args: Array<String>) {
        val (mode, seed) = args[0] to args[1].toLong()
        println(
            "seed $seed, ${args.joinToString(" ")}, $ITEMS items, one each $ITEM_PERIOD_MILLIS ms"
        )
        println(
            "| instances | B/s idle | messages/s idle | B/s with items | CPU % idle, with items " +
                "| heap MB | connections | spread p50 ms | spread max ms | items not everywhere " +
                "| detection ms |"
        )
        println("|---|---|---|---|---|---|---|---|---|---|---|")
        args.drop(2).map { it.toInt() }.forEach { size ->
            println(
                if (mode == "core") coreRow(size, seed) else runBlocking { socketRow(size, seed) }
            )
        }
    }

    private fun coreRow(size: Int, seed: Long): Row {
        val simulation = SwimSimulation(seed)
        repeat(size) {
            simulation.start("n%03d".format(it))
            simulation.run(20)
        }
        simulation.run(3 * SETTLE_MILLIS)
        val all = simulation.nodes.values.toList()
        check(all.all { it.core.view.size == size }) {
            "not all instances are in all views after the settling time"
        }
        val cost = { all.sumOf { it.traffic.total() } / size to all.sumOf { it.traffic.messages } }
        val start = cost()
        simulation.run(IDLE_MILLIS)
        val idle = cost()
        val random = Random(seed)
        val published = (0 until ITEMS).associate { number ->
            val key = "k$number"
            simulation.publish("n%03d".format(random.nextInt(size)), key, 1)
            (key to simulation.now).also { simulation.run(ITEM_PERIOD_MILLIS) }
        }
        val busy = cost()
        simulation.run(SETTLE_MILLIS)
        val spreadMillis = published.filterKeys { key -> all.all { key in it.deliveredAtMillis } }
            .map { (key, at) -> all.maxOf { it.deliveredAtMillis.getValue(key) } - at }.sorted()
        simulation.kill("n000")
        val killedAtMillis = simulation.now
        while (simulation.nodes.values.any { it.core.view.size == size }) simulation.run(50)
        val busyMillis = ITEMS * ITEM_PERIOD_MILLIS
        return Row(
            size,
            (idle.first - start.first) * 1000 / IDLE_MILLIS,
            (idle.second - start.second) * 1000.0 / IDLE_MILLIS / size,
            (busy.first - idle.first) * 1000 / busyMillis,
            cpu = "not run",
            heap = "not run",
            connections = "not run",
            spreadMillis,
            lost = ITEMS - spreadMillis.size,
            simulation.now - killedAtMillis
        )
    }

    private suspend fun socketRow(size: Int, seed: Long): Row {
        val deliveredAtNanos = ConcurrentHashMap<String, ConcurrentLinkedQueue<Long>>()
        val nodes = ArrayList<PeerNode>()
        var seeds = emptyList<String>()
        repeat(size) { number ->
            val settings =
                PeerSettings(
                    InstanceId("n%03d".format(number)),
                    DataCentre("dc-1"),
                    "127.0.0.1",
                    seeds = seeds
                )
            val node = PeerNode(settings, ByteArray(32) { 7 }, random = Random(seed + number))
            node.subscribe("t") { key, _, _ ->
                deliveredAtNanos.getOrPut(key) { ConcurrentLinkedQueue() } += System.nanoTime()
            }
            node.start()
            if (seeds.isEmpty()) seeds = listOf(checkNotNull(node.listenAddress))
            nodes += node
        }
        delay(SETTLE_MILLIS.milliseconds)
        check(nodes.all { it.live().size == size }) {
            "not all instances are in all views after the settling time"
        }
        val start = sample(nodes)
        delay(IDLE_MILLIS.milliseconds)
        val idle = sample(nodes)
        val connections = nodes.map { it.stats().openConnections }
        val random = Random(seed)
        val published = (0 until ITEMS).associate { number ->
            val at = System.nanoTime()
            nodes.random(random).publish("t", "k$number", 1, ByteArray(32))
            delay(ITEM_PERIOD_MILLIS.milliseconds)
            "k$number" to at
        }
        val busy = sample(nodes)
        delay(SETTLE_MILLIS.milliseconds)
        val spreadMillis = published.filterKeys { deliveredAtNanos[it]?.size == size }
            .map { (key, at) -> (deliveredAtNanos.getValue(key).max() - at) / 1_000_000 }.sorted()
        val killedAtNanos = System.nanoTime()
        nodes.removeFirst().stop()
        while (nodes.any { it.live().size == size }) delay(20.milliseconds)
        val detectionMillis = (System.nanoTime() - killedAtNanos) / 1_000_000
        nodes.forEach { it.stop() }
        return Row(
            size,
            ((idle.bytes - start.bytes) / size / idle.secondsSince(start)).toLong(),
            (idle.frames - start.frames) / size / idle.secondsSince(start),
            ((busy.bytes - idle.bytes) / size / busy.secondsSince(idle)).toLong(),
            "%.2f, %.2f".format(idle.cpuSince(start) / size, busy.cpuSince(idle) / size),
            heapPerInstance(size),
            "%.1f (max %d)".format(connections.average(), connections.max()),
            spreadMillis,
            lost = ITEMS - spreadMillis.size,
            detectionMillis
        )
    }

    /** Used heap of the process in MB divided by [size]; an upper bound, as it includes garbage. */
    private fun heapPerInstance(size: Int): String {
        val used = Runtime.getRuntime().run { totalMemory() - freeMemory() }
        return "%.1f".format(used / 1e6 / size)
    }

    private class Sample(val atNanos: Long, val cpuNanos: Long, val frames: Long, val bytes: Long) {
        fun secondsSince(other: Sample): Double = (atNanos - other.atNanos) / 1e9

        /** CPU time in percent of one core. */
        fun cpuSince(other: Sample): Double =
            100.0 * (cpuNanos - other.cpuNanos) / (atNanos - other.atNanos)
    }

    private fun sample(nodes: List<PeerNode>): Sample {
        val system = ManagementFactory.getOperatingSystemMXBean() as OperatingSystemMXBean
        val stats = nodes.map { it.stats() }
        val frames = stats.sumOf { it.sentFrames + it.receivedFrames }
        val bytes = stats.sumOf { it.sentBytes + it.receivedBytes } + 2 * 60 * frames +
            stats.sumOf { it.openedConnections } * SimulatedTraffic.CONNECTION_BYTES
        return Sample(System.nanoTime(), system.processCpuTime, frames, bytes)
    }
}
