package io.greengageport.membership

import io.greengageport.common.DataCentre
import io.greengageport.common.InstanceId
import io.greengageport.testkit.ManualClock
import java.util.PriorityQueue
import kotlin.random.Random

/**
 * Instances of [SwimCore] on a simulated network with loss, delay, reordering, partitions, silent
 * connections and pauses, driven by a manual clock. Messages are encoded and decoded in transit.
 */
internal class SwimSimulation(
    private val seed: Long,
    private val timings: PeerTimings = PeerTimings()
) {
    class Node(val core: SwimCore, val address: String, var nextTickMillis: Long) {
        var pausedUntilMillis = 0L
        val traffic = SimulatedTraffic()
        val deliveredAtMillis = HashMap<String, Long>()
        val changes = ArrayList<MemberChange>()
    }

    private class Delivery(
        val deliverAtMillis: Long,
        val order: Long,
        val from: InstanceId,
        val to: InstanceId,
        val bytes: ByteArray
    )

    private val random = Random(seed)
    private val clock = ManualClock()
    private val idByAddress = HashMap<String, InstanceId>()
    private val queue = PriorityQueue(compareBy<Delivery>({ it.deliverAtMillis }, { it.order }))
    private var deliveryCount = 0L
    val nodes = sortedMapOf<InstanceId, Node>()
    val silentConnections = HashSet<Pair<InstanceId, InstanceId>>()
    val blockedLinks = HashSet<Pair<InstanceId, InstanceId>>()
    val extraDelayMillis = HashMap<InstanceId, Long>()
    var lossProbability = 0.0
    var maxDelayMillis = 2L
    var partitionOf: (InstanceId) -> Int = { 0 }

    val now: Long get() = clock.monotonicMillis()

    fun start(name: String, bootAdjustment: Long = 0, seeds: List<String> = SEEDS): Node {
        val id = InstanceId(name)
        val address = "10.0.0.1:$name"
        val boot = clock.wallMillis() + bootAdjustment
        val self = MemberRecord(id, address, DataCentre("dc-1"), boot, 0, 0)
        val core = SwimCore(self, timings, Random(seed * 31 + name.hashCode() + boot))
        core.addSeeds(seeds.map { "10.0.0.1:$it" })
        idByAddress[address] = id
        return Node(core, address, now + random.nextLong(100)).also { nodes[id] = it }
    }

    fun kill(name: String) = nodes.remove(InstanceId(name))

    fun announceLeft(name: String) = perform(InstanceId(name), node(name).core.announceLeft(), null)

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
        if (now < node.nextTickMillis || now < node.pausedUntilMillis) return
        node.nextTickMillis = now + 100
        perform(id, node.core.tick(now), null)
    }

    private fun deliverDue() {
        while (queue.isNotEmpty() && queue.peek().deliverAtMillis <= now) {
            val delivery = queue.poll()
            val node = nodes[delivery.to] ?: continue
            if (now < node.pausedUntilMillis) {
                // A paused process reads the data received meanwhile when it resumes.
                queue += Delivery(
                    node.pausedUntilMillis,
                    deliveryCount++,
                    delivery.from,
                    delivery.to,
                    delivery.bytes
                )
                continue
            }
            val message = WireFormat.decodeFromByteArray(SwimMessage.serializer(), delivery.bytes)
            node.traffic.recordReceived(delivery.bytes.size)
            perform(delivery.to, node.core.receive(delivery.from, message, now), delivery.from)
        }
    }

    private fun perform(id: InstanceId, effects: List<Effect>, origin: InstanceId?) {
        val node = nodes[id] ?: return
        for (effect in effects) {
            when (effect) {
                is Effect.Send -> transmit(
                    id,
                    effect.to ?: idByAddress[effect.address],
                    effect.message
                )

                is Effect.Reply -> transmit(id, origin, effect.message)

                is Effect.Reconnect -> silentConnections.removeIf {
                    it.toList().containsAll(listOf(id, effect.peer))
                }

                is Effect.LogChange -> node.changes += effect.change

                is Effect.Deliver -> node.deliveredAtMillis[effect.item.key] = now
            }
        }
    }

    private fun transmit(from: InstanceId, to: InstanceId?, message: SwimMessage) {
        if (to == null || to == from) return
        val bytes = WireFormat.encodeToByteArray(SwimMessage.serializer(), message)
        nodes[from]?.let { it.traffic.recordSent(bytes.size, to, now, to in it.core.neighbours()) }
        nodes[to]?.let { it.traffic.markUsed(from, now) }
        val isBlocked = partitionOf(from) != partitionOf(to) ||
            from to to in silentConnections || from to to in blockedLinks
        if (isBlocked || random.nextDouble() < lossProbability) return
        val extraMillis = (extraDelayMillis[from] ?: 0) + (extraDelayMillis[to] ?: 0)
        val deliverAtMillis = now + 1 + random.nextLong(maxDelayMillis) + extraMillis
        queue += Delivery(deliverAtMillis, deliveryCount++, from, to, bytes)
    }

    private companion object {
        val SEEDS = listOf("n000", "n001")
    }
}
