package io.greengageport.membership

import io.greengageport.common.GossipListener
import kotlinx.coroutines.channels.Channel
import org.tinylog.kotlin.Logger

/**
 * Delivers items to listeners sequentially, in one coroutine that holds no locks.
 *
 * A new listener first receives the known items of its topic. An item that was superseded by a
 * newer version before its delivery is skipped, so a listener sees rising versions of a key.
 */
internal class Subscriptions(
    private val heldItems: () -> List<GossipItem>,
    private val newestVersion: (GossipItem) -> Long?
) {
    private class Subscription(val topic: String, val listener: GossipListener) {
        /** Versions delivered at subscription that may still be queued and are then skipped. */
        val replayedVersions = HashMap<String, Long>()
    }

    private sealed interface Work {
        class Subscribe(val subscription: Subscription) : Work

        class Deliver(val item: GossipItem) : Work
    }

    private val queue = Channel<Work>(Channel.UNLIMITED)
    private val activeSubscriptions = ArrayList<Subscription>()

    /** Queues a subscription; never blocks. */
    fun subscribe(topic: String, listener: GossipListener) {
        queue.trySend(Work.Subscribe(Subscription(topic, listener)))
    }

    /** Queues [item] for the listeners of its topic; never blocks. */
    fun deliver(item: GossipItem) {
        queue.trySend(Work.Deliver(item))
    }

    /** Processes queued subscriptions and items until cancelled. */
    suspend fun processQueue() {
        for (work in queue) {
            when (work) {
                is Work.Subscribe -> replay(work.subscription)
                is Work.Deliver -> deliverToListeners(work.item)
            }
        }
    }

    private fun replay(subscription: Subscription) {
        activeSubscriptions += subscription
        heldItems().filter { it.topic == subscription.topic }.forEach {
            subscription.replayedVersions[it.key] = it.version
            invokeListener(subscription, it)
        }
    }

    private fun deliverToListeners(item: GossipItem) {
        if ((newestVersion(item) ?: item.version) > item.version) return
        activeSubscriptions.filter { it.topic == item.topic }
            .filter { it.replayedVersions.remove(item.key) != item.version }
            .forEach { invokeListener(it, item) }
    }

    private fun invokeListener(subscription: Subscription, item: GossipItem) {
        try {
            subscription.listener.onItem(item.key, item.version, item.payload.copyOf())
        } catch (e: Exception) {
            Logger.error(e) { "membership: listener of topic ${item.topic} failed" }
        }
    }
}
