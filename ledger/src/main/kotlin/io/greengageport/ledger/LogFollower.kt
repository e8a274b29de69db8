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
 * Reads one stream in order and knows how current the copy built from it is.
 *
 * A read that reaches the end proves that the copy held everything appended before that read
 * began; [provenAt] is the start of the last such read on the monotonic clock, in milliseconds.
 * Reads are also numbered, because two of them may begin within one millisecond.
 */
internal class LogFollower(
    private val log: LogService,
    private val stream: String,
    private val clock: Clock,
    private val readWait: Duration,
    private val backoff: Backoff,
    private val listener: Listener
) {
    /** Receives the records in order. */
    interface Listener {
        fun onRecord(record: LogRecord)

        /** The copy must be rebuilt: records before [horizon] of the log's clock are gone. */
        fun onTruncated(earliest: Long, horizon: Long)
    }

    private data class Proof(val read: Long, val at: Long)

    private val proven = MutableStateFlow<Proof?>(null)
    private val reads = AtomicLong()
    private val kicks = Channel<Unit>(Channel.CONFLATED)
    private var next = 1L
    private var rebuilding = false

    /** Null until the stream was read to its end. */
    val provenAt: Long? get() = proven.value?.at
    val caughtUp: Boolean get() = proven.value != null

    /** Whether the last read failed. */
    @Volatile
    var failing: Boolean = false
        private set

    fun isCurrent(bound: Duration): Boolean =
        provenAt?.let { clock.monotonicMillis() - it <= bound.inWholeMilliseconds } ?: false

    /** Waits until the copy holds everything that was appended before this call. */
    suspend fun awaitFresh(timeout: Duration): Boolean {
        val last = reads.get()
        kicks.trySend(Unit)
        return withTimeoutOrNull(timeout) { proven.first { it != null && it.read > last } } != null
    }

    /** Reads until cancelled. */
    suspend fun run() {
        var wait = Duration.ZERO
        while (true) {
            val started = clock.monotonicMillis()
            val number = reads.incrementAndGet()
            val r = read(wait)
            wait = Duration.ZERO
            if (r == null) continue
            val pause = r.mapBoth(success = {
                accept(it, Proof(number, started))
            }, failure = { refuse(it) })
            if (pause.isPositive()) {
                delay(pause)
            } else if (proven.value?.read == number) {
                wait = readWait
            }
        }
    }

    /** Null when a waiting read was broken off because somebody needs a fresh one. */
    private suspend fun read(wait: Duration): Result<LogBatch, LogError>? {
        if (wait == Duration.ZERO) return log.read(stream, next, MAX_RECORDS, wait)
        return coroutineScope {
            val call = async { log.read(stream, next, MAX_RECORDS, wait) }
            select {
                call.onAwait { it }
                kicks.onReceive {
                    call.cancel()
                    null
                }
            }
        }
    }

    private fun accept(batch: LogBatch, proof: Proof): Duration {
        failing = false
        backoff.reset()
        if (rebuilding) {
            val horizon = batch.records.firstOrNull()?.appendedAtMillis
                ?: (clock.wallMillis() + CLOCK_SKEW_MILLIS)
            listener.onTruncated(next, horizon)
            rebuilding = false
        }
        for (r in batch.records) {
            if (r.offset < next) continue
            listener.onRecord(r)
            next = r.offset + 1
        }
        if (next >= batch.next) proven.value = proof
        return Duration.ZERO
    }

    private fun refuse(e: LogError): Duration {
        if (e is LogError.Truncated) {
            next = e.earliest
            rebuilding = true
            return Duration.ZERO
        }
        failing = true
        return backoff.next()
    }

    private companion object {
        const val MAX_RECORDS = 512

        /** Allows for a clock here that is behind the clock of the log service. */
        const val CLOCK_SKEW_MILLIS = 30_000L
    }
}
