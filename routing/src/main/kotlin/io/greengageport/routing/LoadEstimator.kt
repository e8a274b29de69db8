package io.greengageport.routing

import io.greengageport.common.RunnerId

/**
 * Estimates the work queued at each runner from delayed reports and this instance's own requests.
 *
 * A report contains the queue at the time of the report. Work that this instance sent, or saw
 * finished, after that time is added or subtracted; earlier changes are part of the report and are
 * dropped. The reported queue is reduced by [drainShare] of the work that the runner could have
 * done since. With a share of 1 the estimate ignores what other instances send; with 0, a stale
 * report of a long queue keeps work away from the runner for too long.
 *
 * Times are wall clock times, because the time of a report comes from another process. Thread-safe;
 * runners are distributed over shards with a lock each.
 *
 * ```
 * estimator.recordSent(id, tokens = 300.0, atMillis = now)
 * estimator.report(RunnerLoad(id, now - 400, queuedTokens = 1200.0, tokensPerSecond = 1000.0))
 * estimator.load(id, nominalRate, now).queuedTokens // 1200 - 0.5 * 400 + 300
 * ```
 */
public class LoadEstimator(
    shards: Int = DEFAULT_SHARDS,
    private val drainShare: Double = DEFAULT_DRAIN_SHARE
) {
    private val shards = Array(shards) { HashMap<RunnerId, LoadState>() }

    /** Applies a report; ignores one that is not newer than the last one of the same boot id. */
    public fun report(load: RunnerLoad): Unit = withState(load.runner) { it.report(load) }

    /** Records work sent to a runner by this instance. */
    public fun recordSent(runner: RunnerId, tokens: Double, atMillis: Long): Unit =
        withState(runner) { it.recordChange(tokens, atMillis) }

    /** Records that a runner finished or cancelled work sent by this instance. */
    public fun recordFinished(runner: RunnerId, tokens: Double, atMillis: Long): Unit =
        withState(runner) { it.recordChange(-tokens, atMillis) }

    /** Returns the estimate for a runner; [nominalRate] is used until a report states a rate. */
    public fun load(runner: RunnerId, nominalRate: Double, nowMillis: Long): EstimatedLoad {
        val shard = shardOf(runner)
        return synchronized(shard) {
            shard[runner]?.estimate(nominalRate, nowMillis, drainShare)
                ?: EstimatedLoad(0.0, nominalRate, null)
        }
    }

    /** Removes the state of a runner that left the fleet. */
    public fun forget(runner: RunnerId) {
        val shard = shardOf(runner)
        synchronized(shard) { shard.remove(runner) }
    }

    private inline fun withState(runner: RunnerId, action: (LoadState) -> Unit) {
        val shard = shardOf(runner)
        synchronized(shard) { action(shard.getOrPut(runner) { LoadState() }) }
    }

    private fun shardOf(runner: RunnerId) = shards[Math.floorMod(runner.hashCode(), shards.size)]

    public companion object {
        public const val DEFAULT_SHARDS: Int = 16
        public const val DEFAULT_DRAIN_SHARE: Double = 0.5
    }
}

/** A load report: [queuedTokens] of unfinished work at [reportedAtMillis] of the wall clock. */
public data class RunnerLoad(
    val runner: RunnerId,
    val reportedAtMillis: Long,
    val queuedTokens: Double,
    val tokensPerSecond: Double = 0.0,
    val bootId: String = ""
)

/** The estimated queue and rate of a runner, and the time of the latest report, if any. */
public data class EstimatedLoad(
    val queuedTokens: Double,
    val tokensPerSecond: Double,
    val reportedAtMillis: Long?
) {
    /** Expected wait before new work starts, in milliseconds. */
    public val waitMillis: Double get() = queuedTokens / tokensPerSecond * MILLIS_PER_SECOND
}

internal const val MILLIS_PER_SECOND = 1_000.0

private class LoadState {
    private class Change(var tokens: Double, val atMillis: Long)

    private var lastReport: RunnerLoad? = null
    private var ownTokens = 0.0
    private val changes = ArrayDeque<Change>()

    fun report(load: RunnerLoad) {
        val previous = lastReport
        val isReboot = previous != null && previous.bootId != load.bootId
        if (previous != null && !isReboot && load.reportedAtMillis <= previous.reportedAtMillis) {
            return
        }
        lastReport = load
        while (changes.isNotEmpty() && changes.first().atMillis <= load.reportedAtMillis) {
            ownTokens -= changes.removeFirst().tokens
        }
        if (changes.isEmpty()) ownTokens = 0.0
    }

    fun recordChange(tokens: Double, atMillis: Long) {
        if (changes.isNotEmpty() && changes.last().atMillis >= atMillis) {
            changes.last().tokens += tokens
        } else {
            // Bounds the list while no reports arrive; merged changes lose their exact time.
            if (changes.size >= MAX_CHANGES) mergeOldest()
            changes.addLast(Change(tokens, atMillis))
        }
        ownTokens += tokens
    }

    private fun mergeOldest() {
        val oldest = changes.removeFirst()
        changes.first().tokens += oldest.tokens
    }

    fun estimate(nominalRate: Double, nowMillis: Long, drainShare: Double): EstimatedLoad {
        val report = lastReport
        val rate = report?.tokensPerSecond?.takeIf { it > 0 } ?: nominalRate
        val ageMillis = report?.let { maxOf(0, nowMillis - it.reportedAtMillis) } ?: 0
        val drained = drainShare * rate * ageMillis / MILLIS_PER_SECOND
        val reported = maxOf(0.0, (report?.queuedTokens ?: 0.0) - drained)
        return EstimatedLoad(maxOf(0.0, reported + ownTokens), rate, report?.reportedAtMillis)
    }

    private companion object {
        const val MAX_CHANGES = 1_024
    }
}
