package io.greengageport.ledger

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.mapBoth
import io.greengageport.common.Clock
import io.greengageport.ports.LogBatch
import io.greengageport.ports.LogError
import io.greengageport.ports.LogRecord
import io.greengageport.ports.LogService
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlinx.coroutines.async
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withTimeoutOrNull

/**
 * Reads one stream in order and tracks how current the copy built from it is.
 *
 * After a read that reaches the end of the stream, the copy holds everything that was appended
 * before that read started. [verifiedAtMillis] is the start of the last such read. Reads are also
 * numbered, because two of them may start within one millisecond.
 */
internal class LogFollower(
    private val log: LogService,
    private val stream: String,
    private val clock: Clock,
    private val readWait: Duration,
    private val backoff: Backoff,
    private val listener: Listener
) {
    /** Receives the records of the stream in order. */
    interface Listener {
        fun onRecord(record: LogRecord)

        /**
         * Called when the stream was truncated and the copy must be rebuilt from the offset
         * [earliestOffset]. Records appended before [horizonMillis] of the log service's clock
         * are lost.
         */
        fun onTruncated(earliestOffset: Long, horizonMillis: Long)
    }

    private data class CompleteRead(val number: Long, val startedAtMillis: Long)

    private val lastCompleteRead = MutableStateFlow<CompleteRead?>(null)
    private val readCount = AtomicLong()
    private val freshReadRequests = Channel<Unit>(Channel.CONFLATED)
    private var nextOffset = 1L

    /** Whether the stream was truncated and the copy has not been reset yet. */
    private var isRebuilding = false

    /**
     * Start of the last read that reached the end of the stream, on the monotonic clock in
     * milliseconds; null before the first one.
     */
    val verifiedAtMillis: Long? get() = lastCompleteRead.value?.startedAtMillis
    val hasCaughtUp: Boolean get() = lastCompleteRead.value != null

    /** Whether the last read failed. */
    @Volatile
    var isFailing: Boolean = false
        private set

    /** Whether the copy was complete at some time within the last [maxAge]. */
    fun isCurrent(maxAge: Duration): Boolean = verifiedAtMillis
        ?.let { clock.monotonicMillis() - it <= maxAge.inWholeMilliseconds } ?: false

    /**
     * Waits until the copy holds everything that was appended before this call. Returns false on
     * [timeout].
     */
    suspend fun awaitFresh(timeout: Duration): Boolean {
        val lastStarted = readCount.get()
        freshReadRequests.trySend(Unit)
        return withTimeoutOrNull(timeout) {
            lastCompleteRead.first { it != null && it.number > lastStarted }
        } != null
    }

    /** Reads the stream until cancelled. */
    suspend fun run() {
        var pollWait = Duration.ZERO
        while (true) {
            val startedAtMillis = clock.monotonicMillis()
            val readNumber = readCount.incrementAndGet()
            val result = read(pollWait)
            pollWait = Duration.ZERO
            if (result == null) continue
            val retryDelay = result.mapBoth(success = {
                applyBatch(it, CompleteRead(readNumber, startedAtMillis))
            }, failure = { handleError(it) })
            if (retryDelay.isPositive()) {
                delay(retryDelay)
            } else if (lastCompleteRead.value?.number == readNumber) {
                pollWait = readWait
            }
        }
    }

    /** Reads once; null if the long poll was cancelled because [awaitFresh] needs a new read. */
    private suspend fun read(wait: Duration): Result<LogBatch, LogError>? {
        if (wait == Duration.ZERO) return log.read(stream, nextOffset, MAX_RECORDS, wait)
        return coroutineScope {
            val call = async { log.read(stream, nextOffset, MAX_RECORDS, wait) }
            select {
                call.onAwait { it }
                freshReadRequests.onReceive {
                    call.cancel()
                    null
                }
            }
        }
    }

    private fun applyBatch(batch: LogBatch, completeRead: CompleteRead): Duration {
        isFailing = false
        backoff.reset()
        if (isRebuilding) {
            val horizonMillis = batch.records.firstOrNull()?.appendedAtMillis
                ?: (clock.wallMillis() + CLOCK_SKEW_MILLIS)
            listener.onTruncated(nextOffset, horizonMillis)
            isRebuilding = false
        }
        for (r in batch.records) {
            if (r.offset < nextOffset) continue
            listener.onRecord(r)
            nextOffset = r.offset + 1
        }
        if (nextOffset >= batch.next) lastCompleteRead.value = completeRead
        return Duration.ZERO
    }

    private fun handleError(e: LogError): Duration {
        if (e is LogError.Truncated) {
            nextOffset = e.earliest
            isRebuilding = true
            return Duration.ZERO
        }
        isFailing = true
        return backoff.nextDelay()
    }

    private companion object {
        const val MAX_RECORDS = 512

        /** Allowance for a local clock that is behind the clock of the log service. */
        const val CLOCK_SKEW_MILLIS = 30_000L
    }
}
