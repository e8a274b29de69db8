package io.greengageport.membership

import io.greengageport.common.DataCentre
import io.greengageport.common.InstanceId
import io.greengageport.testkit.ManualClock
import java.util.PriorityQueue
import kotlin.random.Random

/**
 * Cores connected by a simulated network with loss, delay, reordering, partitions, silent
 * connections and pauses, driven by a manual clock. Messages cross it in their wire form.
 */
internal class SwimSimulation(
    private val seed: Long,
    private val timings: PeerTimings = PeerTimings()
) {
    class Node(val core: SwimCore, val address: String, var nextTick: Long) {
        var pausedUntil = 0L
        val traffic = SimulatedTraffic()
        val delivered = HashMap<String, Long>()
        val notices = ArrayList<MemberNotice>()
    }

    private class Delivery(
        val at: Long,
        val order: Long,
        val from: InstanceId,
        val to: InstanceId,
        val bytes: ByteArray
    )

    private val random = Random(seed)
    private val clock = ManualClock()
    private val byAddress = HashMap<String, InstanceId>()
    private val queue = PriorityQueue(compareBy<Delivery>({ it.at }, { it.order }))
    private var sent = 0L
    val nodes = sortedMapOf<InstanceId, Node>()
    val silent = HashSet<Pair<InstanceId, InstanceId>>()
    val cut = HashSet<Pair<InstanceId, InstanceId>>()
    val slowMillis = HashMap<InstanceId, Long>()
    var loss = 0.0
    var maxDelayMillis = 2L
    var side: (InstanceId) -> Int = { 0 }

    val now: Long get() = clock.monotonicMillis()

    fun start(name: String, bootAdjustment: Long = 0, seeds: List<String> = SEEDS): Node {
        val id = InstanceId(name)
        val address = "10.0.0.1:$name"
        val boot = clock.wallMillis() + bootAdjustment
        val self = MemberRecord(id, address, DataCentre("dc-1"), boot, 0, 0)
        val core = SwimCore(self, timings, Random(seed * 31 + name.hashCode() + boot))
        core.addSeeds(seeds.map { "10.0.0.1:$it" })
        byAddress[address] = id
        return Node(core, address, now + random.nextLong(100)).also { nodes[id] = it }
    }

    fun kill(name: String) = nodes.remove(InstanceId(name))

    fun depart(name: String) = perform(InstanceId(name), node(name).core.depart(), null)

    fun node(name: String): Node = nodes.getValue(InstanceId(name))

    fun publish(name: String, key: String, version: Long, bytes: ByteArray = ByteArray(32)) {
        val item = GossipItem("t", key, version, timings.itemLifetime.inWholeMilliseconds, bytes)
        perform(InstanceId(name), node(name).core.publish(item, now), null)
    }

    fun run(millis: Long) {
        val end = now + millis
        while (now < end) {
            clock.advance(1)
            deliverDue()
            nodes.entries.toList().forEach { (id, node) -> tick(id, node) }
        }
    }

    fun views(): Map<String, List<String>> = nodes.entries.associate { (id, node) ->
        id.value to node.core.view.map { it.id.value }
    }

    fun items(): Map<String, Map<String, Pair<Long, List<Byte>>>> =
        nodes.entries.associate { (id, node) ->
            id.value to
                node.core.items(now).associate { it.key to (it.version to it.payload.toList()) }
        }

    private fun tick(id: InstanceId, node: Node) {
        if (now < node.nextTick || now < node.pausedUntil) return
        node.nextTick = now + 100
        perform(id, node.core.tick(now), null)
    }

    private fun deliverDue() {
        while (queue.isNotEmpty() && queue.peek().at <= now) {
            val delivery = queue.poll()
            val node = nodes[delivery.to] ?: continue
            if (now < node.pausedUntil) {
                // A paused process finds its received data after waking.
                queue +=
                    Delivery(node.pausedUntil, sent++, delivery.from, delivery.to, delivery.bytes)
                continue
            }
            val message = WireFormat.decodeFromByteArray(SwimMessage.serializer(), delivery.bytes)
            node.traffic.received(delivery.bytes.size)
            perform(delivery.to, node.core.receive(delivery.from, message, now), delivery.from)
        }
    }

    private fun perform(id: InstanceId, effects: List<Effect>, origin: InstanceId?) {
        val node = nodes[id] ?: return
        for (effect in effects) {
            when (effect) {
                is Effect.Send -> transmit(
                    id,
                    effect.to ?: byAddress[effect.address],
                    effect.message
                )

                is Effect.Reply -> transmit(id, origin, effect.message)

                is Effect.Reconnect -> silent.removeIf {
                    it.toList().containsAll(listOf(id, effect.peer))
                }

                is Effect.Notice -> node.notices += effect.notice

                is Effect.Deliver -> node.delivered[effect.item.key] = now
            }
        }
    }

    private fun transmit(from: InstanceId, to: InstanceId?, message: SwimMessage) {
        if (to == null || to == from) return
        val bytes = WireFormat.encodeToByteArray(SwimMessage.serializer(), message)
        nodes[from]?.let { it.traffic.sent(bytes.size, to, now, to in it.core.neighbours()) }
        nodes[to]?.let { it.traffic.touched(from, now) }
        val isBlocked = side(from) != side(to) || from to to in silent || from to to in cut
        if (isBlocked || random.nextDouble() < loss) return
        val slow = (slowMillis[from] ?: 0) + (slowMillis[to] ?: 0)
        val at = now + 1 + random.nextLong(maxDelayMillis) + slow
        queue += Delivery(at, sent++, from, to, bytes)
    }

    private companion object {
        val SEEDS = listOf("n000", "n001")
    }
}
