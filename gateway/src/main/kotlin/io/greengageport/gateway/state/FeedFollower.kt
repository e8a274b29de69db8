package io.greengageport.gateway.state

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import io.greengageport.common.Clock
import io.greengageport.gateway.logging.DecisionLog
import io.greengageport.gateway.port.Change
import io.greengageport.gateway.port.ChangeBatch
import io.greengageport.gateway.port.ChangeFeed
import io.greengageport.gateway.port.EpochNumber
import io.greengageport.gateway.port.StoreError
import kotlin.random.Random
import kotlinx.coroutines.Job
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

/** Receives the entries and changes that a [FeedFollower] reads. */
public interface FeedConsumer<T> {
    /**
     * Replaces the whole state by [entries], the state at position [end]. Entries that are missing
     * from the snapshot no longer exist.
     */
    public fun onSnapshot(entries: List<Change<T>>, end: Long)

    /** Applies [changes] in order. */
    public fun onChanges(changes: List<Change<T>>)

    /** Called when the store answers again after an outage of [downMillis]. */
    public fun onRecovered(downMillis: Long)
}

/**
 * Follows one table of the store: reads a snapshot, then its changes, and another snapshot whenever
 * the store no longer has the changes.
 *
 * With a positive [waitMillis] the store holds a read until there is a change (long polling), and
 * [pauseMillis] between reads can be 0. [onAnswer] is called after each batch is applied, with the
 * position from which it was read (null for a snapshot) and the batch.
 *
 * While the store fails, the last known state stays in force and reads are retried with an
 * exponential backoff of at most [maxBackoffMillis].
 */
public class FeedFollower<T>(
    private val name: String,
    private val feed: ChangeFeed<T>,
    private val consumer: FeedConsumer<T>,
    private val clock: Clock,
    private val log: DecisionLog,
    private val waitMillis: () -> Long,
    private val pauseMillis: () -> Long,
    private val maxBackoffMillis: () -> Long = { SHORT_BACKOFF_MILLIS },
    private val onAnswer: (from: Long?, batch: ChangeBatch<T>) -> Unit = { _, _ -> },
    private val random: Random = Random.Default
) {
    /**
     * Position at which the next read starts; null before the first snapshot and after a loss of
     * the history.
     */
    public var position: Long? = null
        private set

    /**
     * Time on the monotonic clock, in ms, after which all changes from [position] on were written;
     * null before the first snapshot.
     */
    public var positionMillis: Long? = null
        private set
    private var isReadRequested = false

    /** Whether a snapshot was requested and has not been received. */
    public var isSnapshotRequested: Boolean = false
        private set
    private var failingSinceMillis: Long? = null
    private var consecutiveFailures = 0

    /** Time of the last answer on the monotonic clock, in ms; null before the first. */
    public var lastAnswerMillis: Long? = null
        private set

    /** Whether the last read failed. */
    public val isFailing: Boolean get() = consecutiveFailures > 0

    private var currentRead: Job? = null

    /** Follows the table until cancelled. */
    public suspend fun run(): Unit = coroutineScope {
        while (true) {
            val job = launch {
                readOnce()
                if (consecutiveFailures > 0) delay(backoffMillis()) else awaitNextRead()
            }
            currentRead = job
            job.join()
        }
    }

    /**
     * Cancels the current read or pause and reads again at once, for instance when another table
     * shows that the store has recovered: the store may have dropped a long poll on an old
     * connection.
     */
    public fun restartRead() {
        currentRead?.cancel()
    }

    /** Skips the changes before [until], which were received from a peer. */
    public fun advanceTo(until: Long) {
        position = position?.let { maxOf(it, until) }
    }

    /**
     * Ends the pause before the next read and reads a snapshot then. Until it is read, changes from
     * peers still extend the known position.
     */
    public fun requestSnapshot() {
        isSnapshotRequested = true
        isReadRequested = true
    }

    /** Ends the pause before the next read. */
    public fun requestRead() {
        isReadRequested = true
    }

    /** Waits for [pauseMillis], which is evaluated repeatedly because it may become shorter. */
    private suspend fun awaitNextRead() {
        val lastReadMillis = clock.monotonicMillis()
        while (true) {
            val remainingMillis = lastReadMillis + pauseMillis() - clock.monotonicMillis()
            if (remainingMillis <= 0 || isReadRequested) return
            delay(minOf(remainingMillis, PAUSE_CHECK_INTERVAL_MILLIS))
        }
    }

    /** Reads once and passes the result to the consumer. */
    internal suspend fun readOnce() {
        isReadRequested = false
        val known = position
        // Changes from peers that arrive while a snapshot is read are possibly not part of it.
        if (isSnapshotRequested) position = null
        val from = position
        // After a failure a read is answered at once, which shows whether the store has recovered.
        val allowedWaitMillis = if (isFailing) 0 else waitMillis()
        val sentAtMillis = clock.monotonicMillis()
        val result = if (from == null) feed.snapshot() else feed.changes(from, allowedWaitMillis)
        handle(result, from, sentAtMillis)
        if (from != null) return
        if (result.isOk) isSnapshotRequested = false else position = known
    }

    private fun handle(
        result: Result<ChangeBatch<T>, StoreError>,
        from: Long?,
        sentAtMillis: Long
    ) {
        result.fold(
            { batch ->
                onSuccess()
                if (from == null) {
                    log.record(
                        "store",
                        "snapshot",
                        "table" to name,
                        "entries" to batch.changes.size,
                        "end" to EpochNumber.describe(batch.nextPosition)
                    )
                    consumer.onSnapshot(batch.changes, batch.nextPosition)
                } else if (batch.changes.isNotEmpty()) {
                    consumer.onChanges(batch.changes)
                }
                // Changes received from a peer during this read may extend beyond it.
                position = if (from == null) {
                    batch.nextPosition
                } else {
                    maxOf(batch.nextPosition, position ?: 0)
                }
                if (batch.isComplete) positionMillis = sentAtMillis
                onAnswer(from, batch)
            },
            { error ->
                // A snapshot needs no history, so the next one would get the same answer.
                if (error is StoreError.HistoryLost && from != null) {
                    log.record(
                        "store",
                        "history_lost",
                        "table" to name,
                        "position" to position?.let(EpochNumber::describe)
                    )
                    position = null
                    // The store answers, so the snapshot waits neither for the pause nor for the
                    // backoff of earlier failures.
                    consecutiveFailures = 0
                    isReadRequested = true
                } else {
                    onFailure(error)
                }
            }
        )
    }

    private fun onSuccess() {
        val now = clock.monotonicMillis()
        lastAnswerMillis = now
        consecutiveFailures = 0
        val sinceMillis = failingSinceMillis ?: return
        failingSinceMillis = null
        log.record(
            "store",
            "regained",
            "table" to name,
            "down_ms" to now - sinceMillis,
            "position" to position?.let(EpochNumber::describe)
        )
        consumer.onRecovered(now - sinceMillis)
    }

    private fun onFailure(error: StoreError) {
        consecutiveFailures++
        if (failingSinceMillis != null) return
        failingSinceMillis = clock.monotonicMillis()
        log.record(
            "store",
            "lost",
            "table" to name,
            "error" to error,
            "position" to position?.let(EpochNumber::describe)
        )
    }

    private fun backoffMillis(): Long {
        val limitMillis = minOf(
            maxBackoffMillis(),
            BASE_BACKOFF_MILLIS shl minOf(consecutiveFailures, MAX_BACKOFF_SHIFT)
        )
        return limitMillis / 2 + random.nextLong(limitMillis / 2 + 1)
    }

    public companion object {
        private const val BASE_BACKOFF_MILLIS = 50L

        /** A configuration has to be in force within two seconds of the store's recovery. */
        public const val SHORT_BACKOFF_MILLIS: Long = 500L
        private const val MAX_BACKOFF_SHIFT = 10
        private const val PAUSE_CHECK_INTERVAL_MILLIS = 100L
    }
}
