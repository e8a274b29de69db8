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
 * Continuous batching: each step runs up to [batchSize] of the most urgent items.
 *
 * A step over the whole layer range takes [stepMillis]; one over fewer layers takes the share of
 * its item with the most layers. While items wait, a step starts when the previous one was due to
 * end; otherwise timer delays would add up and keep the engine below the rate that it reports.
 *
 * With `stepMillis = 0`, [run] returns immediately and no batches are counted.
 */
internal class StepScheduler(private val stepMillis: Long, private val batchSize: Int) {
    private class Item(val priority: Int, val arrival: Long, val layerShare: Double) :
        Comparable<Item> {
        val completion = CompletableDeferred<Unit>()

        override fun compareTo(other: Item): Int =
            compareValuesBy(this, other, { it.priority }, { it.arrival })
    }

    private val queue = PriorityBlockingQueue<Item>()
    private val arrivals = AtomicLong()
    private val wakeUp = Channel<Unit>(Channel.CONFLATED)
    private val unfinishedCalls = AtomicInteger()

    /** Multiplies the duration of each step. */
    @Volatile
    var slowdown: Double = 1.0

    /** Number of calls of [run] that have not returned. */
    val pendingCalls: Int get() = unfinishedCalls.get()

    private val batchCount = AtomicLong()
    private val busyNanos = AtomicLong()

    /** Number of batches that have run. */
    val batches: Long get() = batchCount.get()

    /** Total duration of these batches. */
    val busyMillis: Long get() = busyNanos.get() / NANOS_PER_MILLI

    /** Items per second with full batches. */
    val itemsPerSecond: Double
        get() =
            if (stepMillis == 0L) MAX_RATE else batchSize * MILLIS_PER_SEC / (stepMillis * slowdown)

    /** Runs steps in [scope] until it ends. */
    fun start(scope: CoroutineScope) {
        if (stepMillis == 0L) return
        scope.launch {
            var dueNanos = System.nanoTime()
            while (isActive) {
                if (queue.isEmpty()) {
                    wakeUp.receive()
                    dueNanos = System.nanoTime()
                }
                val items = generateSequence { queue.poll() }.take(batchSize).toList()
                if (items.isEmpty()) continue
                // After a pause of the process, catches up on at most one step.
                dueNanos = maxOf(dueNanos, System.nanoTime() - stepMillis * NANOS_PER_MILLI)
                dueNanos += runStep(items, dueNanos)
                items.forEach { it.completion.complete(Unit) }
            }
        }
    }

    /** Runs one step that starts at [startNanos]; returns its planned duration in nanoseconds. */
    private suspend fun runStep(items: List<Item>, startNanos: Long): Long {
        val nanos =
            (stepMillis * slowdown * items.maxOf { it.layerShare } * NANOS_PER_MILLI).toLong()
        delay((startNanos + nanos - System.nanoTime()).nanoseconds)
        batchCount.incrementAndGet()
        busyNanos.addAndGet(System.nanoTime() - startNanos)
        return nanos
    }

    /**
     * Runs [items] items of work, at most one per step, and suspends until all are done. Each item
     * covers the share [layerShare] of the layer range. Lower [priority] values run first.
     */
    suspend fun run(priority: Int, items: Int = 1, layerShare: Double = 1.0) {
        if (stepMillis == 0L) return
        unfinishedCalls.incrementAndGet()
        try {
            repeat(items) {
                val item = Item(priority, arrivals.incrementAndGet(), layerShare)
                queue += item
                wakeUp.trySend(Unit)
                try {
                    item.completion.await()
                } finally {
                    queue.remove(item)
                }
            }
        } finally {
            unfinishedCalls.decrementAndGet()
        }
    }

    private companion object {
        const val MILLIS_PER_SEC = 1_000.0
        const val NANOS_PER_MILLI = 1_000_000L

        /** Items per second that an engine without a step duration reports. */
        const val MAX_RATE = 1e6
    }
}
