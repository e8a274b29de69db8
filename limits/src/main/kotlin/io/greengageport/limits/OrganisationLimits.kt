package io.greengageport.limits

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.greengageport.common.OrganisationName
import io.greengageport.common.RequestError
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/**
 * Enforces the local share of the organisations' limits: a token bucket for tokens/s and a count of
 * concurrent requests. The accounts are in shards, each under its own lock.
 *
 * Beyond its share, an instance can take the burst of two seconds and the part of one request
 * that exceeds it; its debt is worked off before the next request.
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
     * Takes [estimatedTokens] and a place among the concurrent requests, or fails with the time at
     * which to retry. Each success is followed by one [release]. Thread-safe.
     */
    public fun tryAcquire(
        organisation: OrganisationName,
        estimatedTokens: Long,
        nowMillis: Long
    ): Result<Unit, RequestError.OverLimit> {
        val policy = policyOf(organisation) ?: UNLIMITED
        val share = reporter.shareOf(organisation, policy, nowMillis)
        return shardOf(organisation).update(organisation) { account ->
            account.demandTokens += estimatedTokens
            account.demandConcurrent = maxOf(account.demandConcurrent, account.running + 1)
            val rate = share.tokensPerSecond
            if (share.concurrent != null && account.running >= share.concurrent) {
                val text = "too many concurrent requests of '$organisation'"
                return@update Err(RequestError.OverLimit(text, CONCURRENT_RETRY_MILLIS))
            }
            if (rate != null && !account.bucket.refill(rate, nowMillis)) {
                val retry = maxOf(MIN_RETRY_AFTER_MILLIS, account.bucket.millisUntilPositive(rate))
                val text = "the tokens per second of '$organisation' are used up"
                return@update Err(RequestError.OverLimit(text, retry))
            }
            if (rate != null) account.bucket.take(estimatedTokens)
            account.running++
            Ok(Unit)
        }
    }

    /** Ends a request with [actualTokens]; 0 if it did not run. Thread-safe. */
    public fun release(
        organisation: OrganisationName,
        estimatedTokens: Long,
        actualTokens: Long,
        nowMillis: Long
    ) {
        val policy = policyOf(organisation) ?: UNLIMITED
        val rate = reporter.shareOf(organisation, policy, nowMillis).tokensPerSecond
        shardOf(organisation).update(organisation) { account ->
            account.running--
            if (rate != null) {
                account.bucket.refill(rate, nowMillis)
                account.bucket.take(actualTokens - estimatedTokens)
            }
        }
    }

    /** Demand since the last call, for [UsageReporter.report]; to be called each second. */
    public fun takeDemand(elapsedMillis: Long = 1_000): List<OrganisationUsage> {
        require(elapsedMillis > 0) { "the interval of a demand is positive" }
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
            val demand = accounts.filterValues { it.hasDemand() }.map { (name, a) ->
                val tokens = a.demandTokens * MILLIS_PER_SECOND / elapsedMillis
                OrganisationUsage(name, tokens.toFloat(), maxOf(a.demandConcurrent, a.running))
            }
            for (a in accounts.values) a.startInterval()
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

        /** An account in debt has to outlive it; a minute covers the longest retry time. */
        const val MAX_IDLE_INTERVALS = 60
        val UNLIMITED = OrganisationPolicy()
    }
}
