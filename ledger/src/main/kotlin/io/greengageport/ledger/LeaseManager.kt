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
 * Acquires, renews and releases leases with fencing tokens, recorded in the log stream `leases`.
 *
 * The random numbers identify acquisition attempts, so the generator must be seeded differently on
 * each instance and each start of an instance.
 *
 * ```
 * manager.withLease("placement", engineChecksTokens = false) { lease ->
 *     if (lease.isValid()) engine.order(order, lease.token)
 * }
 * ```
 */
public class LeaseManager(
    private val log: LogService,
    private val self: InstanceId,
    private val clock: Clock,
    random: Random,
    private val settings: LeaseSettings = LeaseSettings()
) {
    private val random = LockedRandom(random)
    private val table = LeaseTable(settings.forgetAfter.inWholeMilliseconds)

    /** Monotonic time at which the last record of each lease was read. */
    private val lastRecordAtMillis = ConcurrentHashMap<String, Long>()

    /** Results of own acquisition attempts: the token, or null if the record had no effect. */
    private val pendingAttempts = ConcurrentHashMap<Long, CompletableDeferred<Long?>>()
    private val follower = LogFollower(
        log,
        STREAM,
        clock,
        settings.readWait,
        Backoff(MIN_BACKOFF, MAX_BACKOFF, random),
        StreamListener()
    )

    /** Time of the newest record read, by the clock of the log service. */
    @Volatile
    private var logTimeMillis = Long.MIN_VALUE

    /** Monotonic time of the start or of the last truncation. */
    @Volatile
    private var resetAtMillis = clock.monotonicMillis()

    /** Follows the stream until cancelled. */
    public suspend fun run(): Unit = follower.run()

    /**
     * Tries once to acquire [name], after a new read of the log. Does not wait for a lease that
     * another instance may hold.
     */
    public suspend fun acquire(name: String): Result<Lease, LeaseError> {
        if (!follower.awaitFresh(FRESH_READ_TIMEOUT)) return Err(LeaseError.LogUnavailable)
        val nowMillis = nowMillis()
        val ageMillis = clock.monotonicMillis() - resetAtMillis
        if (!table.isConfirmed(name, logTimeMillis, ageMillis)) return Err(LeaseError.Unconfirmed)
        val current = table.current(name, nowMillis)
        val waitMillis = remainingHoldMillis(name, current)
        if (waitMillis > 0) return Err(LeaseError.Held(current?.holder, waitMillis))
        val validUntilMillis = validUntilMillis()
        val token = appendAcquisition(name, current?.offset ?: 0, random.nextLong())
            .getOrElse { return Err(it) }
        return Ok(Lease(name, clock, token, validUntilMillis))
    }

    /** Extends [lease] under a new token. If this fails, the lease keeps its previous end time. */
    public suspend fun renew(lease: Lease): Result<Unit, LeaseError> {
        if (!lease.isValid()) return Err(LeaseError.Lost)
        val validUntilMillis = validUntilMillis()
        val attempt = random.nextLong()
        // An earlier renewal whose append seemed to fail may have taken effect since.
        val lateRenewal = table.current(lease.name, logTimeMillis)
            ?.takeIf { lease.isPendingRenewal(it.attempt) }
        lease.addPendingRenewal(attempt)
        val token = appendAcquisition(lease.name, lateRenewal?.offset ?: lease.token, attempt)
            .getOrElse { return Err(it) }
        return if (lease.extend(token, validUntilMillis)) Ok(Unit) else Err(LeaseError.Lost)
    }

    /**
     * Releases [lease]. It becomes invalid here immediately, and free for other instances when the
     * release is in the log. If the append fails, it becomes free when it expires.
     */
    public suspend fun release(lease: Lease) {
        lease.expire()
        val record = LeaseRecord.Release(lease.name, self, lease.token)
        log.append(STREAM, RecordCodec.encode(LeaseRecord.serializer(), record))
    }

    /**
     * Waits for the lease, runs [block] while renewing it, and releases it afterwards.
     *
     * If the lease is lost, [block] is cancelled and the result is null. If the engine does not
     * check fencing tokens, [block] starts only after [LeaseSettings.orderTimeout], when no order
     * of the previous holder can take effect any more.
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
                val renewal = launch { renewUntilLost(lease) }
                val work = async {
                    if (!engineChecksTokens) delay(settings.orderTimeout)
                    if (lease.isValid()) block(lease) else null
                }
                val result = select {
                    work.onAwait { it }
                    renewal.onJoin { null }
                }
                work.cancel()
                renewal.cancel()
                result
            }
        } finally {
            withContext(NonCancellable) { release(lease) }
        }
    }

    /** Retries until [name] is acquired. */
    private suspend fun awaitLease(name: String): Lease {
        while (true) {
            val waitMillis = acquire(name).mapBoth(
                success = { return it },
                failure = { if (it is LeaseError.Held) it.retryAfterMillis else RETRY_DELAY_MILLIS }
            )
            delay((waitMillis + random.nextLong(RETRY_DELAY_MILLIS)).milliseconds)
        }
    }

    /** Renews [lease] until it is lost. */
    private suspend fun renewUntilLost(lease: Lease) {
        while (lease.isValid()) {
            delay(minOf(settings.ttl / RENEWALS_PER_TTL, lease.remainingMillis().milliseconds))
            renew(lease)
        }
        Logger.warn("ledger: lost lease ${lease.name}; stopping its work")
    }

    /** Milliseconds until another instance may acquire the lease; 0 or less if it may now. */
    private fun remainingHoldMillis(name: String, current: LeaseTable.CurrentRecord?): Long {
        if (current?.holder == null) return 0
        val holdMillis = current.ttlMillis + settings.margin.inWholeMilliseconds
        val lastActivityMillis = lastRecordAtMillis[name] ?: resetAtMillis
        return lastActivityMillis + holdMillis - (follower.verifiedAtMillis ?: lastActivityMillis)
    }

    /** Appends an acquisition and reads it back. Returns the token if it took effect. */
    private suspend fun appendAcquisition(
        name: String,
        previous: Long,
        attempt: Long
    ): Result<Long, LeaseError> {
        val appliedToken = CompletableDeferred<Long?>()
        pendingAttempts[attempt] = appliedToken
        try {
            val ttlMillis = settings.ttl.inWholeMilliseconds
            val record = LeaseRecord.Acquire(name, self, ttlMillis, previous, attempt)
            val error = log.append(STREAM, RecordCodec.encode(LeaseRecord.serializer(), record))
                .mapBoth(success = { null }, failure = { it })
            if (error != null && error !is LogError.Uncertain) return Err(LeaseError.LogUnavailable)
            // A record that arrives after this read is ignored here, because the attempt is no
            // longer pending. The lease then expires after its ttl.
            follower.awaitFresh(FRESH_READ_TIMEOUT)
            if (!appliedToken.isCompleted) return Err(LeaseError.LogUnavailable)
            return appliedToken.await()?.let { Ok(it) } ?: Err(LeaseError.Lost)
        } finally {
            pendingAttempts -= attempt
        }
    }

    /**
     * End of a lease acquired or renewed now. It is computed before the append, so that the lease
     * ends here before another instance can acquire it.
     */
    private fun validUntilMillis(): Long =
        clock.monotonicMillis() + (settings.ttl - settings.margin).inWholeMilliseconds

    /** The later of the local wall clock and the newest log time. */
    private fun nowMillis(): Long = maxOf(clock.wallMillis(), logTimeMillis)

    private inner class StreamListener : LogFollower.Listener {
        override fun onRecord(record: LogRecord) {
            logTimeMillis = maxOf(logTimeMillis, record.appendedAtMillis)
            val decoded = RecordCodec.decode(LeaseRecord.serializer(), record.payload)
            if (decoded == null) {
                Logger.warn("ledger: skipped undecodable lease record at offset ${record.offset}")
                return
            }
            val tookEffect = table.apply(decoded, record.offset, record.appendedAtMillis)
            lastRecordAtMillis[decoded.name] = clock.monotonicMillis()
            if (decoded is LeaseRecord.Acquire) {
                pendingAttempts[decoded.attempt]?.complete(record.offset.takeIf { tookEffect })
            }
        }

        override fun onTruncated(earliestOffset: Long, horizonMillis: Long) {
            Logger.warn(
                "ledger: stream $STREAM was truncated; rebuilding from offset $earliestOffset"
            )
            resetAtMillis = clock.monotonicMillis()
            table.reset(earliestOffset, horizonMillis)
        }
    }

    private companion object {
        const val STREAM = "leases"
        const val RENEWALS_PER_TTL = 3
        const val RETRY_DELAY_MILLIS = 1_000L
        val FRESH_READ_TIMEOUT = 3.seconds
        val MIN_BACKOFF = 100.milliseconds
        val MAX_BACKOFF = 5.seconds
    }
}

/** Why a lease was not acquired or renewed. */
public sealed interface LeaseError {
    /** [holder] may hold the lease for another [retryAfterMillis]. */
    public data class Held(val holder: InstanceId?, val retryAfterMillis: Long) : LeaseError

    /** The lease expired before it was renewed, or another instance acquired it first. */
    public data object Lost : LeaseError

    /** The log cannot be read or appended to, or the effect of the append is uncertain. */
    public data object LogUnavailable : LeaseError

    /**
     * Records of the lease may have been truncated, so its holder is not certain. Ends after
     * [LeaseSettings.forgetAfter] at the latest.
     */
    public data object Unconfirmed : LeaseError
}
