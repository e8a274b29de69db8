package io.greengageport.entry

import io.greengageport.common.Gossip
import io.greengageport.common.GossipListener

/** Passes items on at once, to their publisher too. */
internal class GossipBus : Gossip {
    private val listeners = mutableListOf<Pair<String, GossipListener>>()

    override fun publish(topic: String, key: String, version: Long, payload: ByteArray) =
        listeners.filter { it.first == topic }.forEach { it.second.onItem(key, version, payload) }

    override fun subscribe(topic: String, listener: GossipListener) {
        listeners += topic to listener
    }
}
