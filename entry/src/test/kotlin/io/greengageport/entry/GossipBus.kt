package io.greengageport.entry

import io.greengageport.common.Gossip
import io.greengageport.common.GossipListener

/** Delivers items synchronously to all subscribers, including their publisher. */
internal class GossipBus : Gossip {
    private val listeners = mutableListOf<Pair<String, GossipListener>>()

    override fun publish(topic: String, key: String, version: Long, payload: ByteArray) =
        listeners.filter { it.first == topic }.forEach { it.second.onItem(key, version, payload) }

    override fun subscribe(topic: String, listener: GossipListener) {
        listeners += topic to listener
    }
}
