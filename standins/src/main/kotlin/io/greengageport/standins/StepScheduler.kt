package io.greengageport.standins

import java.util.concurrent.PriorityBlockingQueue
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch

/**
 * Continuous batching: each step of [stepMillis] runs up to [batch] of the most urgent items.
 *
 * A stage with `stepMillis = 0` runs each item at once.
 */
internal class StepScheduler(private val stepMillis: Long, private val batch: Int) {
    private class Item(val priority: Int, val order: Long) : Comparable<Item> {
        val done = CompletableDeferred<Unit>()

        override fun compareTo(other: Item): Int =
            compareValuesBy(this, other, { it.priority }, { it.order })
    }

    private val queue = PriorityBlockingQueue<Item>()
    private val arrivals = AtomicLong()
    private val wake = Channel<Unit>(Channel.CONFLATED)
    private val waiting = AtomicInteger()

    /** Multiplies the duration of each step. */
    @Volatile
    var slowdown: Double = 1.0

    /** Number of items that wait or run. */
    val queued: Int get() = waiting.get()

    /** Items per second at full batches. */
    val itemsPerSecond: Double
        get() = if (stepMillis == 0L) UNBOUNDED_RATE else batch * MILLIS / (stepMillis * slowdown)

    fun start(scope: CoroutineScope) {
        if (stepMillis == 0L) return
        scope.launch {
            while (isActive) {
                if (queue.isEmpty()) wake.receive()
                val items = generateSequence { queue.poll() }.take(batch).toList()
                delay((stepMillis * slowdown).toLong())
                items.forEach { it.done.complete(Unit) }
            }
        }
    }

    /** Suspends while [items] items of work are run, at most one in a step. */
    suspend fun run(priority: Int, items: Int = 1) {
        if (stepMillis == 0L) return
        waiting.incrementAndGet()
        try {
            repeat(items) {
                val item = Item(priority, arrivals.incrementAndGet())
                queue += item
                wake.trySend(Unit)
                try {
                    item.done.await()
                } finally {
                    queue.remove(item)
                }
            }
        } finally {
            waiting.decrementAndGet()
        }
    }

    private companion object {
        const val MILLIS = 1_000.0
        const val UNBOUNDED_RATE = 1e6
    }
}
