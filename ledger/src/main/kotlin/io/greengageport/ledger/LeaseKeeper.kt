package io.greengageport.ledger

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.mapBoth
import io.greengageport.common.Clock
import io.greengageport.common.InstanceId
import io.greengageport.ports.LogError
import io.greengageport.ports.LogRecord
import io.greengageport.ports.LogService
import java.util.concurrent.ConcurrentHashMap
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import org.tinylog.kotlin.Logger

/**
 * Leases with fencing tokens over the log stream `leases`. The random numbers tell attempts apart,
 * so they must differ between instances and between runs of one instance.
 *
 * ```
 * keeper.withLease("placement", engineChecksTokens = false) { lease ->
 *     if (lease.isValid()) engine.order(order, lease.token)
 * }
 * ```
 */
public class LeaseKeeper(
    private val log: LogService,
    private val self: InstanceId,
    private val clock: Clock,
    random: Random,
    private val settings: LeaseSettings = LeaseSettings()
) {
    private val random = LockedRandom(random)
    private val table = LeaseTable(settings.forgetAfter.inWholeMilliseconds)
    private val seenAt = ConcurrentHashMap<String, Long>()
    private val attempts = ConcurrentHashMap<Long, CompletableDeferred<Long?>>()
    private val follower = LogFollower(
        log,
        STREAM,
        clock,
        settings.readWait,
        Backoff(MIN_BACKOFF, MAX_BACKOFF, random),
        Events()
    )

    @Volatile
    private var logTime = Long.MIN_VALUE

    @Volatile
    private var resetAt = clock.monotonicMillis()

    /** Follows the stream until cancelled. */
    public suspend fun run(): Unit = follower.run()

    /** Tries once to acquire [name]; fails at once while another instance may hold it. */
    public suspend fun acquire(name: String): Result<Lease, LeaseError> {
        if (!follower.awaitFresh(FRESH_WAIT)) return Err(LeaseError.LogUnavailable)
        val time = time()
        val sinceReset = clock.monotonicMillis() - resetAt
        if (!table.confirmed(name, logTime, sinceReset)) return Err(LeaseError.Unsettled)
        val current = table.current(name, time)
        val wait = blockedMillis(name, current)
        if (wait > 0) return Err(LeaseError.Held(current?.holder, wait))
        val validUntil = validUntil()
        val token = append(name, current?.offset ?: 0, random.nextLong())
            .getOrElse { return Err(it) }
        return Ok(Lease(name, clock, token, validUntil))
    }

    /** Extends [lease] under a new token. The lease stays as it is when this fails. */
    public suspend fun renew(lease: Lease): Result<Unit, LeaseError> {
        if (!lease.isValid()) return Err(LeaseError.Lost)
        val validUntil = validUntil()
        val attempt = random.nextLong()
        // A renewal whose append seemed lost may have taken effect since.
        val late = table.current(lease.name, logTime)?.takeIf { lease.attempted(it.attempt) }
        lease.attempt(attempt)
        val token = append(lease.name, late?.offset ?: lease.token, attempt)
            .getOrElse { return Err(it) }
        return if (lease.extend(token, validUntil)) Ok(Unit) else Err(LeaseError.Lost)
    }

    /** Ends [lease] here at once, and for others as soon as the log takes the release. */
    public suspend fun release(lease: Lease) {
        lease.end()
        val record = LeaseRecord.Release(lease.name, self, lease.token)
        log.append(STREAM, RecordCodec.encode(LeaseRecord.serializer(), record))
    }

    /**
     * Waits for the lease, runs [block] with it, renews it meanwhile and releases it at the end.
     *
     * [block] is cancelled when the lease is lost, and the result is then null. Where the engine
     * does not check fencing tokens, the block starts only after `orderTimeout`, by which orders of
     * the holder before have taken effect or never will.
     */
    public suspend fun <T : Any> withLease(
        name: String,
        engineChecksTokens: Boolean,
        block: suspend (Lease) -> T
    ): T? {
        val lease = awaitLease(name)
        Logger.info("ledger: acquired lease $name with token ${lease.token}")
        try {
            return coroutineScope {
                val renewal = launch { keep(lease) }
                val work = async {
                    if (!engineChecksTokens) delay(settings.orderTimeout)
                    if (lease.isValid()) block(lease) else null
                }
                val r = select {
                    work.onAwait { it }
                    renewal.onJoin { null }
                }
                work.cancel()
                renewal.cancel()
                r
            }
        } finally {
            withContext(NonCancellable) { release(lease) }
        }
    }

    private suspend fun awaitLease(name: String): Lease {
        while (true) {
            val wait = acquire(name).mapBoth(
                success = { return it },
                failure = { if (it is LeaseError.Held) it.retryAfterMillis else RETRY_MILLIS }
            )
            delay((wait + random.nextLong(RETRY_MILLIS)).milliseconds)
        }
    }

    /** Renews until the lease is lost. */
    private suspend fun keep(lease: Lease) {
        while (lease.isValid()) {
            delay(minOf(settings.ttl / RENEWALS_PER_TTL, lease.left().milliseconds))
            renew(lease)
        }
        Logger.warn("ledger: lost lease ${lease.name}")
    }

    /** Milliseconds for which the lease must yet be left to its holder. */
    private fun blockedMillis(name: String, current: LeaseTable.Current?): Long {
        if (current?.holder == null) return 0
        val ttl = current.ttlMillis + settings.margin.inWholeMilliseconds
        val quietSince = seenAt[name] ?: resetAt
        return quietSince + ttl - (follower.provenAt ?: quietSince)
    }

    /** Appends an acquisition and reads it back; the token, if it took effect. */
    private suspend fun append(
        name: String,
        previous: Long,
        attempt: Long
    ): Result<Long, LeaseError> {
        val folded = CompletableDeferred<Long?>()
        attempts[attempt] = folded
        try {
            val ttl = settings.ttl.inWholeMilliseconds
            val record = LeaseRecord.Acquire(name, self, ttl, previous, attempt)
            val e = log.append(STREAM, RecordCodec.encode(LeaseRecord.serializer(), record))
                .mapBoth(success = { null }, failure = { it })
            if (e != null && e !is LogError.Uncertain) return Err(LeaseError.LogUnavailable)
            // A record that arrives later has no effect here: the attempt is forgotten, and the
            // lease passes on after its ttl.
            follower.awaitFresh(FRESH_WAIT)
            if (!folded.isCompleted) return Err(LeaseError.LogUnavailable)
            return folded.await()?.let { Ok(it) } ?: Err(LeaseError.Lost)
        } finally {
            attempts -= attempt
        }
    }

    /** Counted from before the append, so that it ends before any contender may follow. */
    private fun validUntil(): Long =
        clock.monotonicMillis() + (settings.ttl - settings.margin).inWholeMilliseconds

    private fun time(): Long = maxOf(clock.wallMillis(), logTime)

    private inner class Events : LogFollower.Listener {
        override fun onRecord(record: LogRecord) {
            logTime = maxOf(logTime, record.appendedAtMillis)
            val r = RecordCodec.decode(LeaseRecord.serializer(), record.payload)
            if (r == null) {
                Logger.warn("ledger: skipped a bad lease record at ${record.offset}")
                return
            }
            val effective = table.apply(r, record.offset, record.appendedAtMillis)
            seenAt[r.name] = clock.monotonicMillis()
            if (r is LeaseRecord.Acquire) {
                attempts[r.attempt]?.complete(record.offset.takeIf { effective })
            }
        }

        override fun onTruncated(earliest: Long, horizon: Long) {
            Logger.warn("ledger: lease stream truncated, reading anew from $earliest")
            resetAt = clock.monotonicMillis()
            table.reset(earliest, horizon)
        }
    }

    private companion object {
        const val STREAM = "leases"
        const val RENEWALS_PER_TTL = 3
        const val RETRY_MILLIS = 1_000L
        val FRESH_WAIT = 3.seconds
        val MIN_BACKOFF = 100.milliseconds
        val MAX_BACKOFF = 5.seconds
    }
}

/** Why a lease was not acquired or renewed. */
public sealed interface LeaseError {
    /** [holder] may hold it for [retryAfterMillis] yet. */
    public data class Held(val holder: InstanceId?, val retryAfterMillis: Long) : LeaseError

    /** Another instance acquired it first. */
    public data object Lost : LeaseError

    /** The log cannot be read or appended to, or the effect of the append is uncertain. */
    public data object LogUnavailable : LeaseError

    /** Records of the lease may have been truncated; clears up after `forgetAfter` at most. */
    public data object Unsettled : LeaseError
}
