package io.greengageport.limits

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.greengageport.common.OrganisationName
import io.greengageport.common.RequestError
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/**
 * Enforces this instance's share of the limits of organisations: a token bucket for tokens/s and a
 * counter of concurrent requests. The accounts are sharded, with one lock per shard.
 *
 * An organisation can exceed its share by a burst of two seconds plus one request, since a request
 * that is larger than the remaining tokens is admitted and overdraws the bucket. The next request
 * is admitted when the bucket is positive again.
 *
 * ```
 * limits.tryAcquire(organisation, estimatedTokens = 300, now)
 * limits.release(organisation, estimatedTokens = 300, actualTokens = 412, now)
 * ```
 */
public class OrganisationLimits(
    private val policyOf: (OrganisationName) -> OrganisationPolicy?,
    private val reporter: UsageReporter
) {
    private val shards = List(SHARDS) { Shard() }

    /**
     * Reserves [estimatedTokens] and one concurrent request, or fails with the time after which to
     * retry. Each success must be followed by exactly one [release]. Thread-safe.
     */
    public fun tryAcquire(
        organisation: OrganisationName,
        estimatedTokens: Long,
        nowMillis: Long
    ): Result<Unit, RequestError.OverLimit> {
        val policy = policyOf(organisation) ?: UNLIMITED
        val limits = reporter.localLimits(organisation, policy, nowMillis)
        return shardOf(organisation).update(organisation) { account ->
            account.demandTokens += estimatedTokens
            account.demandConcurrent = maxOf(account.demandConcurrent, account.running + 1)
            val rate = limits.tokensPerSecond
            if (limits.maxConcurrentRequests != null &&
                account.running >= limits.maxConcurrentRequests
            ) {
                val message = "too many concurrent requests of '$organisation'"
                return@update Err(RequestError.OverLimit(message, CONCURRENT_RETRY_MILLIS))
            }
            if (rate != null && !account.bucket.refill(rate, nowMillis)) {
                val retryAfterMillis =
                    maxOf(MIN_RETRY_AFTER_MILLIS, account.bucket.millisUntilPositive(rate))
                val message = "the tokens per second of '$organisation' are used up"
                return@update Err(RequestError.OverLimit(message, retryAfterMillis))
            }
            if (rate != null) account.bucket.consume(estimatedTokens)
            account.running++
            Ok(Unit)
        }
    }

    /** Ends a request that used [actualTokens], 0 if it did not run. Thread-safe. */
    public fun release(
        organisation: OrganisationName,
        estimatedTokens: Long,
        actualTokens: Long,
        nowMillis: Long
    ) {
        val policy = policyOf(organisation) ?: UNLIMITED
        val rate = reporter.localLimits(organisation, policy, nowMillis).tokensPerSecond
        shardOf(organisation).update(organisation) { account ->
            account.running--
            if (rate != null) {
                account.bucket.refill(rate, nowMillis)
                account.bucket.consume(actualTokens - estimatedTokens)
            }
        }
    }

    /**
     * Returns the demand since the last call and starts a new interval. Must be called once per
     * second; the result is the input of [UsageReporter.report].
     */
    public fun takeDemand(elapsedMillis: Long = 1_000): List<OrganisationUsage> {
        require(elapsedMillis > 0) { "the interval must be positive: $elapsedMillis ms" }
        return shards.flatMap { it.takeDemand(elapsedMillis) }
    }

    private fun shardOf(organisation: OrganisationName): Shard =
        shards[(mix64(Rendezvous.hash(organisation.value)) and (SHARDS - 1L)).toInt()]

    private class Shard {
        private val lock = ReentrantLock()
        private val accounts = HashMap<OrganisationName, Account>()

        fun <T> update(organisation: OrganisationName, block: (Account) -> T): T =
            lock.withLock { block(accounts.getOrPut(organisation, ::Account)) }

        fun takeDemand(elapsedMillis: Long): List<OrganisationUsage> = lock.withLock {
            val demand = accounts.filterValues { it.hasDemand() }.map { (name, account) ->
                val rate = account.demandTokens * MILLIS_PER_SECOND / elapsedMillis
                OrganisationUsage(
                    name,
                    rate.toFloat(),
                    maxOf(account.demandConcurrent, account.running)
                )
            }
            for (account in accounts.values) account.startInterval()
            accounts.values.removeIf { it.idleIntervals > MAX_IDLE_INTERVALS }
            demand
        }
    }

    private class Account {
        val bucket = TokenBucket(BURST_SECONDS)
        var running = 0
        var demandTokens = 0L
        var demandConcurrent = 0
        var idleIntervals = 0

        fun hasDemand(): Boolean = demandTokens > 0 || running > 0

        fun startInterval() {
            idleIntervals = if (hasDemand()) 0 else idleIntervals + 1
            demandTokens = 0
            demandConcurrent = 0
        }
    }

    private companion object {
        const val SHARDS = 16
        const val BURST_SECONDS = 2.0
        const val CONCURRENT_RETRY_MILLIS = 500L

        /**
         * Idle intervals, of a second each, before an account is removed. An overdrawn account must
         * be kept until it is positive again; 60 s covers the longest retry time.
         */
        const val MAX_IDLE_INTERVALS = 60
        val UNLIMITED = OrganisationPolicy()
    }
}
