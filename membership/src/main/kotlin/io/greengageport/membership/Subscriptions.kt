package io.greengageport.membership

import io.greengageport.common.GossipListener
import kotlinx.coroutines.channels.Channel
import org.tinylog.kotlin.Logger

/**
 * Delivers items to listeners, one at a time and outside all locks.
 *
 * A listener first gets the items of its topic that are already held. An item that was overtaken
 * by a newer version before its delivery is skipped, so versions of a key only rise.
 */
internal class Subscriptions(
    private val held: () -> List<GossipItem>,
    private val newest: (GossipItem) -> Long?
) {
    private class Subscription(val topic: String, val listener: GossipListener) {
        /** Versions delivered at subscription whose own delivery may still be queued. */
        val replayed = HashMap<String, Long>()
    }

    private sealed interface Work {
        class Subscribe(val subscription: Subscription) : Work

        class Deliver(val item: GossipItem) : Work
    }

    private val queue = Channel<Work>(Channel.UNLIMITED)
    private val active = ArrayList<Subscription>()

    fun subscribe(topic: String, listener: GossipListener) {
        queue.trySend(Work.Subscribe(Subscription(topic, listener)))
    }

    fun deliver(item: GossipItem) {
        queue.trySend(Work.Deliver(item))
    }

    suspend fun run() {
        for (work in queue) {
            when (work) {
                is Work.Subscribe -> replay(work.subscription)
                is Work.Deliver -> deliverNow(work.item)
            }
        }
    }

    private fun replay(subscription: Subscription) {
        active += subscription
        held().filter { it.topic == subscription.topic }.forEach {
            subscription.replayed[it.key] = it.version
            call(subscription, it)
        }
    }

    private fun deliverNow(item: GossipItem) {
        if ((newest(item) ?: item.version) > item.version) return
        active.filter { it.topic == item.topic }
            .filter { it.replayed.remove(item.key) != item.version }
            .forEach { call(it, item) }
    }

    private fun call(subscription: Subscription, item: GossipItem) {
        try {
            subscription.listener.onItem(item.key, item.version, item.payload.copyOf())
        } catch (e: Exception) {
            Logger.error(e) { "membership: listener of topic ${item.topic} failed" }
        }
    }
}
