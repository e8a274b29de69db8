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
 * Appends records to the log in batches, with at most one append in flight.
 *
 * Records accumulate while an append is in flight, while the rate limit is reached and during an
 * outage of the log. The rate limit is this instance's share of the fleet's limit, at most
 * [LedgerSettings.appendsPerSecond], so it falls as the number of instances grows. The number of
 * queued claims is bounded, and a claim fails if its append fails. Outcomes and releases stay
 * queued until they are in the log; there is at most one for each claim whose append was started.
 */
internal class BatchingWriter(
    private val log: LogService,
    private val stream: String,
    private val clock: Clock,
    private val settings: LedgerSettings,
    private val backoff: Backoff,
    private val readBack: ReadBack,
    private val instanceCount: () -> Int
) {
    /** Access to the local copy of the stream, to resolve an append of uncertain effect. */
    interface ReadBack {
        /** Reads the stream to its end; false on timeout. */
        suspend fun catchUp(): Boolean

        /** Whether the log already has the effect of [record], an outcome or a release. */
        fun isReflected(record: OrderRecord): Boolean
    }

    /**
     * A record waiting for its append.
     *
     * [onFailed] is set for claims only and is called when the append fails. Its argument is true
     * if the claim is certainly not in the log, and false if it may still appear there.
     */
    class QueuedRecord(
        val record: OrderRecord,
        val bytes: ByteArray,
        val onFailed: ((isCertain: Boolean) -> Unit)?
    )

    private val lock = Any()
    private val queue = ArrayDeque<QueuedRecord>()
    private var queuedClaims = 0

    /** End of the backoff delay on the monotonic clock; null if there is no outage. */
    private var retryAtMillis: Long? = null

    /** Whether an append that probes the log during an outage is in flight. */
    private var isProbing = false

    /** Maximum number of records in a batch; reduced after a rejection, then doubled each time. */
    private var batchLimit = Int.MAX_VALUE

    /** Wakes [run] when a record was queued. */
    private val signal = Channel<Unit>(Channel.CONFLATED)

    /** Number of queued records. */
    val queueSize: Int get() = synchronized(lock) { queue.size }

    /**
     * Returns the milliseconds until the next retry during an outage of the log, or null if there
     * is no outage or the retry is due. When the backoff delay has passed, a single append probes
     * the log; the outage ends when that append succeeds.
     */
    fun retryDelayMillis(): Long? = synchronized(lock) {
        val remainingMillis = (retryAtMillis ?: return null) - clock.monotonicMillis()
        val probeMillis = settings.minBackoff.inWholeMilliseconds
        if (isProbing) maxOf(remainingMillis, probeMillis) else remainingMillis.takeIf { it > 0 }
    }

    /** Queues a claim, or returns null if the queue of claims is full. */
    fun offerClaim(record: OrderRecord, onFailed: (isCertain: Boolean) -> Unit): QueuedRecord? {
        val item = QueuedRecord(record, encode(record), onFailed)
        synchronized(lock) {
            if (queuedClaims >= settings.maxQueuedClaims) return null
            queuedClaims++
            queue += item
        }
        signal.trySend(Unit)
        return item
    }

    /** Queues an outcome or a release; the queue for these has no bound. */
    fun enqueue(record: OrderRecord) {
        val item = QueuedRecord(record, encode(record), null)
        synchronized(lock) { queue += item }
        signal.trySend(Unit)
    }

    /** Removes a claim from the queue; false if its append may have started. */
    fun withdraw(item: QueuedRecord): Boolean = synchronized(lock) {
        queue.remove(item).also { if (it) queuedClaims-- }
    }

    /** Appends queued records until cancelled. */
    suspend fun run() {
        while (true) {
            signal.receive()
            while (queueSize > 0) {
                retryDelayMillis()?.let { delay(it.milliseconds) }
                val startedAtMillis = clock.monotonicMillis()
                val batch = takeBatch()
                if (batch.isNotEmpty()) append(batch)
                awaitAppendInterval(startedAtMillis)
            }
        }
    }

    /** Waits until the rate limit of this instance allows the next append. */
    private suspend fun awaitAppendInterval(startedAtMillis: Long) {
        while (true) {
            val interval = settings.appendInterval(instanceCount())
            // Rounded up: delays are whole milliseconds, and the rate must not be exceeded.
            val dueAtMillis =
                startedAtMillis + (interval + 1.milliseconds - 1.nanoseconds).inWholeMilliseconds
            val remainingMillis = dueAtMillis - clock.monotonicMillis()
            if (remainingMillis <= 0) return
            // Waits in short steps, because the number of instances may change meanwhile.
            delay(minOf(remainingMillis, INTERVAL_CHECK_MILLIS).milliseconds)
        }
    }

    private suspend fun append(batch: List<QueuedRecord>) {
        val result = log.append(stream, RecordCodec.encodeBatch(batch.map { it.bytes }))
        result.mapBoth(
            success = { endOutage() },
            failure = { e ->
                when (e) {
                    is LogError.Uncertain -> resolveUncertainAppend(batch)

                    is LogError.Rejected -> handleRejection(batch, e.reason)

                    is LogError.Unavailable, is LogError.Truncated -> {
                        startBackoff()
                        requeue(batch.filter { it.onFailed == null })
                        batch.forEach { it.onFailed?.invoke(true) }
                    }
                }
            }
        )
    }

    /** Ends the outage, if there is one. */
    private fun endOutage() {
        backoff.reset()
        synchronized(lock) {
            retryAtMillis = null
            isProbing = false
        }
    }

    /** Starts or extends the outage by the next backoff delay. */
    private fun startBackoff() {
        val retryDelay = backoff.nextDelay()
        val isFirstFailure = synchronized(lock) {
            val wasFailing = retryAtMillis != null
            retryAtMillis = clock.monotonicMillis() + retryDelay.inWholeMilliseconds
            isProbing = false
            !wasFailing
        }
        if (isFirstFailure) Logger.warn("ledger: append failed; $queueSize records will be retried")
    }

    /**
     * Handles an append whose acknowledgement was lost.
     *
     * Claims are never appended again: the first append may still take effect, so the owner
     * releases the claim instead. Outcomes and releases are idempotent; they are queued again
     * unless the log already has their effect.
     */
    private suspend fun resolveUncertainAppend(batch: List<QueuedRecord>) {
        readBack.catchUp()
        startBackoff()
        requeue(batch.filter { it.onFailed == null && !readBack.isReflected(it.record) })
        batch.forEach { it.onFailed?.invoke(false) }
    }

    /**
     * Handles an append that the log rejected: halves the batch until the rejected record is alone,
     * then drops that record.
     */
    private fun handleRejection(batch: List<QueuedRecord>, reason: String) {
        if (batch.size > 1) {
            synchronized(lock) { batchLimit = batch.size / 2 }
            requeue(batch)
            return
        }
        endOutage()
        val item = batch.single()
        Logger.error("ledger: log rejected a record; dropping it: $reason")
        item.onFailed?.invoke(true)
        // Recording that the call ran prevents a second execution. The record may be too large
        // because of the response, so it is appended again without body and headers.
        val outcomeRecord = item.record as? OrderRecord.Outcome ?: return
        if (outcomeRecord.outcome.isBodyKept) {
            enqueue(
                outcomeRecord.copy(
                    outcome = outcomeRecord.outcome.withoutBody().copy(headers = emptyMap())
                )
            )
        }
    }

    private fun requeue(items: List<QueuedRecord>) = synchronized(lock) {
        queue.addAll(0, items)
        queuedClaims += items.count { it.onFailed != null }
    }

    private fun takeBatch(): List<QueuedRecord> = synchronized(lock) {
        isProbing = retryAtMillis != null
        val batch = mutableListOf<QueuedRecord>()
        var bytes = 0
        while (queue.isNotEmpty() && batch.size < batchLimit) {
            bytes += queue.first().bytes.size
            if (batch.isNotEmpty() && bytes > settings.maxBatchBytes) break
            val item = queue.removeFirst()
            if (item.onFailed != null) queuedClaims--
            batch += item
        }
        batchLimit = if (batchLimit == Int.MAX_VALUE) batchLimit else batchLimit * 2
        if (batchLimit > UNLIMITED_BATCH_THRESHOLD) batchLimit = Int.MAX_VALUE
        batch
    }

    private fun encode(record: OrderRecord): ByteArray =
        RecordCodec.encode(OrderRecord.serializer(), record)

    private companion object {
        /** Maximum wait before the number of instances is read again. */
        const val INTERVAL_CHECK_MILLIS = 200L

        /** Number of records above which a batch is limited only by its size in bytes. */
        const val UNLIMITED_BATCH_THRESHOLD = 1 shl 20
    }
}
