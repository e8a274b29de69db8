package io.greengageport.ledger

import com.github.michaelbull.result.mapBoth
import io.greengageport.common.Clock
import io.greengageport.ports.LogError
import io.greengageport.ports.LogService
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.nanoseconds
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import org.tinylog.kotlin.Logger

/**
 * Appends records to the log, many to one append, with one append outstanding.
 *
 * Records accumulate while an append is outstanding, while the rate is used up and during an
 * outage. The rate is this instance's part of the fleet's, so it falls with the number of
 * instances. Claims are bounded in number and fail with the append; outcomes and releases stay
 * queued until the log has them. There are never more of these than claims that were won.
 */
internal class BatchingWriter(
    private val log: LogService,
    private val stream: String,
    private val clock: Clock,
    private val settings: LedgerSettings,
    private val backoff: Backoff,
    private val readBack: ReadBack,
    private val instances: () -> Int
) {
    /** Reads the stream to its end after a lost acknowledgement. */
    interface ReadBack {
        suspend fun catchUp(): Boolean

        /** Whether the log surely has the effect of [record], an outcome or a release. */
        fun reflects(record: OrderRecord): Boolean
    }

    /** A queued record; [onFailed] is called for a claim that did not get into the log. */
    class Item(
        val record: OrderRecord,
        val bytes: ByteArray,
        val onFailed: ((certain: Boolean) -> Unit)?
    )

    private val lock = Any()
    private val queue = ArrayDeque<Item>()
    private var claims = 0
    private var retryAt: Long? = null
    private var probing = false
    private var batchLimit = Int.MAX_VALUE
    private val signal = Channel<Unit>(Channel.CONFLATED)

    /** Queued records. */
    val size: Int get() = synchronized(lock) { queue.size }

    /**
     * Milliseconds until a retry is worthwhile during an outage of the log, else null.
     * After the pause one append probes the log; until it succeeds, the outage lasts.
     */
    fun outageMillis(): Long? = synchronized(lock) {
        val left = (retryAt ?: return null) - clock.monotonicMillis()
        val probeMillis = settings.minBackoff.inWholeMilliseconds
        if (probing) maxOf(left, probeMillis) else left.takeIf { it > 0 }
    }

    /** Queues a claim; null when the queue is full. */
    fun offerClaim(record: OrderRecord, onFailed: (certain: Boolean) -> Unit): Item? {
        val item = Item(record, encode(record), onFailed)
        synchronized(lock) {
            if (claims >= settings.maxQueuedClaims) return null
            claims++
            queue += item
        }
        signal.trySend(Unit)
        return item
    }

    /** Queues an outcome or a release. */
    fun enqueue(record: OrderRecord) {
        val item = Item(record, encode(record), null)
        synchronized(lock) { queue += item }
        signal.trySend(Unit)
    }

    /** Removes a claim; false if its append may have begun. */
    fun withdraw(item: Item): Boolean = synchronized(lock) {
        queue.remove(item).also { if (it) claims-- }
    }

    /** Appends until cancelled. */
    suspend fun run() {
        while (true) {
            signal.receive()
            while (size > 0) {
                outageMillis()?.let { delay(it.milliseconds) }
                val started = clock.monotonicMillis()
                val batch = take()
                if (batch.isNotEmpty()) append(batch)
                awaitSpacing(started)
            }
        }
    }

    /** Waits for the next append of this instance, longer in a larger fleet. */
    private suspend fun awaitSpacing(started: Long) {
        while (true) {
            val spacing = settings.appendSpacing(instances())
            // Rounded up, since delays are whole milliseconds and the rate is a limit.
            val due = started + (spacing + 1.milliseconds - 1.nanoseconds).inWholeMilliseconds
            val left = due - clock.monotonicMillis()
            if (left <= 0) return
            // The number of instances may change during a long wait.
            delay(minOf(left, MAX_WAIT_MILLIS).milliseconds)
        }
    }

    private suspend fun append(batch: List<Item>) {
        val r = log.append(stream, RecordCodec.join(batch.map { it.bytes }))
        r.mapBoth(
            success = { succeed() },
            failure = { e ->
                when (e) {
                    is LogError.Uncertain -> recover(batch)

                    is LogError.Rejected -> split(batch, e.reason)

                    is LogError.Unavailable, is LogError.Truncated -> {
                        pause()
                        putBack(batch.filter { it.onFailed == null })
                        batch.forEach { it.onFailed?.invoke(true) }
                    }
                }
            }
        )
    }

    private fun succeed() {
        backoff.reset()
        synchronized(lock) {
            retryAt = null
            probing = false
        }
    }

    private fun pause() {
        val d = backoff.next()
        val first = synchronized(lock) {
            val known = retryAt != null
            retryAt = clock.monotonicMillis() + d.inWholeMilliseconds
            probing = false
            !known
        }
        if (first) Logger.warn("ledger: log takes no records, $size wait")
    }

    /**
     * Decides after a lost acknowledgement. A claim is never appended a second time: the append may
     * still arrive, so its owner releases it. Outcomes and releases are harmless when repeated.
     */
    private suspend fun recover(batch: List<Item>) {
        readBack.catchUp()
        pause()
        putBack(batch.filter { it.onFailed == null && !readBack.reflects(it.record) })
        batch.forEach { it.onFailed?.invoke(false) }
    }

    private fun split(batch: List<Item>, reason: String) {
        if (batch.size > 1) {
            synchronized(lock) { batchLimit = batch.size / 2 }
            putBack(batch)
            return
        }
        succeed()
        val item = batch.single()
        Logger.error("ledger: log refuses a record for good: $reason")
        item.onFailed?.invoke(true)
        // That the call ran matters more than its answer, which may be what makes it too large.
        val r = item.record as? OrderRecord.Outcome ?: return
        if (r.outcome.bodyKept) {
            enqueue(r.copy(outcome = r.outcome.withoutBody().copy(headers = emptyMap())))
        }
    }

    private fun putBack(items: List<Item>) = synchronized(lock) {
        queue.addAll(0, items)
        claims += items.count { it.onFailed != null }
    }

    private fun take(): List<Item> = synchronized(lock) {
        probing = retryAt != null
        val batch = mutableListOf<Item>()
        var bytes = 0
        while (queue.isNotEmpty() && batch.size < batchLimit) {
            bytes += queue.first().bytes.size
            if (batch.isNotEmpty() && bytes > settings.maxBatchBytes) break
            val item = queue.removeFirst()
            if (item.onFailed != null) claims--
            batch += item
        }
        batchLimit = if (batchLimit == Int.MAX_VALUE) batchLimit else batchLimit * 2
        if (batchLimit > MAX_SPLIT) batchLimit = Int.MAX_VALUE
        batch
    }

    private fun encode(record: OrderRecord): ByteArray =
        RecordCodec.encode(OrderRecord.serializer(), record)

    private companion object {
        const val MAX_WAIT_MILLIS = 200L
        const val MAX_SPLIT = 1 shl 20
    }
}
