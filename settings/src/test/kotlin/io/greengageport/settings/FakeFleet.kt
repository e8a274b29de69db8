package io.greengageport.settings

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.greengageport.common.DataCentre
import io.greengageport.common.Gossip
import io.greengageport.common.GossipListener
import io.greengageport.common.InstanceId
import io.greengageport.common.Member
import io.greengageport.common.Members
import io.greengageport.common.PeerCalls
import io.greengageport.common.PeerError
import io.greengageport.common.PeerHandlers
import kotlin.time.Duration

/**
 * Peers within one process. Calls and gossip are delivered immediately, except to and from the
 * instances in [partitioned].
 */
internal class FakeFleet {
    private class Item(val version: Long, val payload: ByteArray)

    private val nodes = sortedMapOf<InstanceId, Node>()
    private val items = mutableMapOf<Pair<String, String>, Item>()
    val partitioned = mutableSetOf<InstanceId>()

    /** Modifies the replies of calls, to simulate corrupted transfers. */
    var modifyReply: (ByteArray) -> ByteArray = { it }

    /** Creates an instance, and replaces one of the same name. */
    fun node(name: String): Node = Node(InstanceId(name)).also { nodes[it.self] = it }

    inner class Node(override val self: InstanceId) :
        Members,
        PeerCalls,
        PeerHandlers,
        Gossip {
        private val handlers =
            mutableMapOf<String, suspend (InstanceId, ByteArray) -> ByteArray>()
        private val listeners = mutableListOf<Pair<String, GossipListener>>()

        override fun live() = nodes.keys.filter { it !in partitioned || it == self }
            .map { Member(it, "127.0.0.1:1", DataCentre("a")) }

        override suspend fun call(
            peer: InstanceId,
            channel: String,
            payload: ByteArray,
            timeout: Duration
        ): Result<ByteArray, PeerError> {
            val handler = nodes[peer]?.takeIf {
                peer !in partitioned && self !in partitioned
            }?.handlers?.get(channel)
            return if (handler == null) {
                Err(PeerError.Unreachable(peer))
            } else {
                Ok(modifyReply(handler(self, payload)))
            }
        }

        override fun handle(
            channel: String,
            handler: suspend (from: InstanceId, payload: ByteArray) -> ByteArray
        ) {
            handlers[channel] = handler
        }

        override fun publish(topic: String, key: String, version: Long, payload: ByteArray) {
            val known = items[topic to key]
            if (self in partitioned || (known != null && known.version >= version)) return
            items[topic to key] = Item(version, payload)
            for ((id, n) in nodes) {
                if (id !in partitioned) n.deliver(topic, key, version, payload)
            }
        }

        override fun subscribe(topic: String, listener: GossipListener) {
            listeners += topic to listener
            items.filterKeys { it.first == topic }
                .forEach { (k, i) -> listener.onItem(k.second, i.version, i.payload) }
        }

        private fun deliver(topic: String, key: String, version: Long, payload: ByteArray) =
            listeners.filter { it.first == topic }
                .forEach { it.second.onItem(key, version, payload) }
    }
}
