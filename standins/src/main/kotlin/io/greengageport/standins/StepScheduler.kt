package io.greengageport.standins

import java.util.concurrent.PriorityBlockingQueue
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration.Companion.nanoseconds
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch

/**
 * Continuous batching: each step runs up to [batch] of the most urgent items.
 *
 * A step over the whole layer range takes [stepMillis]; one over a part of it takes the part of the
 * item with the most layers. While items wait, a step starts when the one before was due to end:
 * with the lateness of each timer added up, the engine would stay behind the rate that it reports.
 *
 * A stage with `stepMillis = 0` runs each item at once.
 */
internal class StepScheduler(private val stepMillis: Long, private val batch: Int) {
    private class Item(val priority: Int, val order: Long, val part: Double) : Comparable<Item> {
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

    private val batchCount = AtomicLong()
    private val busyNanos = AtomicLong()

    /** Batches run so far. */
    val batches: Long get() = batchCount.get()

    /** Time in which a batch ran. */
    val busyMillis: Long get() = busyNanos.get() / NANOS_PER_MILLI

    /** Items per second at full batches. */
    val itemsPerSecond: Double
        get() = if (stepMillis == 0L) UNBOUNDED_RATE else batch * MILLIS / (stepMillis * slowdown)

    fun start(scope: CoroutineScope) {
        if (stepMillis == 0L) return
        scope.launch {
            var due = System.nanoTime()
            while (isActive) {
                if (queue.isEmpty()) {
                    wake.receive()
                    due = System.nanoTime()
                }
                val items = generateSequence { queue.poll() }.take(batch).toList()
                if (items.isEmpty()) continue
                // After a pause of the process, at most one step is made up for.
                due = maxOf(due, System.nanoTime() - stepMillis * NANOS_PER_MILLI)
                due += runStep(items, due)
                items.forEach { it.done.complete(Unit) }
            }
        }
    }

    /** Runs one step that starts at [start]; returns the nanoseconds that it takes. */
    private suspend fun runStep(items: List<Item>, start: Long): Long {
        val nanos = (stepMillis * slowdown * items.maxOf { it.part } * NANOS_PER_MILLI).toLong()
        delay((start + nanos - System.nanoTime()).nanoseconds)
        batchCount.incrementAndGet()
        busyNanos.addAndGet(System.nanoTime() - start)
        return nanos
    }

    /**
     * Suspends while [items] items of work over the [part] of the layer range are run, at most one
     * in a step.
     */
    suspend fun run(priority: Int, items: Int = 1, part: Double = 1.0) {
        if (stepMillis == 0L) return
        waiting.incrementAndGet()
        try {
            repeat(items) {
                val item = Item(priority, arrivals.incrementAndGet(), part)
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
        const val NANOS_PER_MILLI = 1_000_000L
        const val UNBOUNDED_RATE = 1e6
    }
}
