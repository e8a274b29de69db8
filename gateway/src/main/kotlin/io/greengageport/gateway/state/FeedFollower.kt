package io.greengageport.gateway.state

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import io.greengageport.common.Clock
import io.greengageport.gateway.logging.DecisionLog
import io.greengageport.gateway.port.Change
import io.greengageport.gateway.port.ChangeBatch
import io.greengageport.gateway.port.ChangeFeed
import io.greengageport.gateway.port.StoreError
import kotlin.random.Random
import kotlinx.coroutines.Job
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

/** Takes in what a [FeedFollower] reads. */
public interface FeedConsumer<T> {
    /** Replaces everything by [entries], the state at [end]; what is missing there is gone. */
    public fun onSnapshot(entries: List<Change<T>>, end: Long)

    /** Applies [changes] in order. */
    public fun onChanges(changes: List<Change<T>>)

    /** The store answers again after [downMillis] without an answer. */
    public fun onRegained(downMillis: Long)
}

/**
 * Follows one table of the store: a snapshot first, its changes from then on, and a snapshot again
 * where the store no longer keeps the changes.
 *
 * With [waitMillis] the store holds a read until there is a change; then [pauseMillis] may be 0.
 * [onAnswer] is called after each answer was taken in, with the positions from which (null for a
 * snapshot) and until which it was read.
 * While the store fails, the last known state stays in force, and reads go on with backoff of up to
 * [maxBackoffMillis].
 */
public class FeedFollower<T>(
    private val name: String,
    private val feed: ChangeFeed<T>,
    private val consumer: FeedConsumer<T>,
    private val clock: Clock,
    private val log: DecisionLog,
    private val waitMillis: () -> Long,
    private val pauseMillis: () -> Long,
    private val maxBackoffMillis: () -> Long = { ALONE_BACKOFF_MILLIS },
    private val onAnswer: (from: Long?, until: Long) -> Unit = { _, _ -> }
) {
    /** Where the next read starts; null before the first snapshot. */
    public var position: Long? = null
        private set
    private var isReadDue = false
    private var failingSince: Long? = null
    private var failures = 0

    /** Time of the last answer on the monotonic clock; null before the first. */
    public var lastAnswerMillis: Long? = null
        private set

    /** Whether the last read failed. */
    public val isFailing: Boolean get() = failures > 0

    private var reading: Job? = null

    /** Follows the table until cancelled. */
    public suspend fun run(): Unit = coroutineScope {
        while (true) {
            val job = launch {
                step()
                if (failures > 0) delay(backoffMillis()) else pause()
            }
            reading = job
            job.join()
        }
    }

    /**
     * Reads anew at once, for instance after another table has shown that the store is back: a read
     * that waits on an old connection may have been forgotten by the store.
     */
    public fun restart() {
        reading?.cancel()
    }

    /** Takes note that all changes before [until] were learnt elsewhere. */
    public fun advanceTo(until: Long) {
        position = position?.let { maxOf(it, until) }
    }

    /** Ends the pause before the next read. */
    public fun readSoon() {
        isReadDue = true
    }

    /** Waits until the pause is over, which may become shorter meanwhile. */
    private suspend fun pause() {
        val readAt = clock.monotonicMillis()
        while (true) {
            val left = readAt + pauseMillis() - clock.monotonicMillis()
            if (left <= 0 || isReadDue) return
            delay(minOf(left, PAUSE_CHECK_MILLIS))
        }
    }

    internal suspend fun step() {
        isReadDue = false
        val from = position
        val result = if (from == null) feed.snapshot() else feed.changes(from, waitMillis())
        take(result, from)
    }

    private fun take(result: Result<ChangeBatch<T>, StoreError>, from: Long?) {
        result.fold(
            { batch ->
                answered()
                if (from == null) {
                    log.record(
                        "store",
                        "snapshot",
                        "table" to name,
                        "entries" to batch.changes.size
                    )
                    consumer.onSnapshot(batch.changes, batch.next)
                } else if (batch.changes.isNotEmpty()) {
                    consumer.onChanges(batch.changes)
                }
                // What was learnt elsewhere meanwhile may reach further than this read.
                position = if (from == null) batch.next else maxOf(batch.next, position ?: 0)
                onAnswer(from, batch.next)
            },
            { error ->
                if (error is StoreError.HistoryLost) {
                    log.record("store", "history_lost", "table" to name, "position" to position)
                    position = null
                } else {
                    failed(error)
                }
            }
        )
    }

    private fun answered() {
        val now = clock.monotonicMillis()
        lastAnswerMillis = now
        failures = 0
        val since = failingSince ?: return
        failingSince = null
        log.record("store", "regained", "table" to name, "down_ms" to now - since)
        consumer.onRegained(now - since)
    }

    private fun failed(error: StoreError) {
        failures++
        if (failingSince != null) return
        failingSince = clock.monotonicMillis()
        log.record("store", "lost", "table" to name, "error" to error)
    }

    private fun backoffMillis(): Long {
        val bound = minOf(maxBackoffMillis(), BASE_BACKOFF_MILLIS shl minOf(failures, MAX_SHIFT))
        return bound / 2 + Random.nextLong(bound / 2 + 1)
    }

    public companion object {
        private const val BASE_BACKOFF_MILLIS = 50L

        /** A configuration has to be in force within two seconds of the store's return. */
        public const val ALONE_BACKOFF_MILLIS: Long = 500L
        private const val MAX_SHIFT = 10
        private const val PAUSE_CHECK_MILLIS = 100L
    }
}
