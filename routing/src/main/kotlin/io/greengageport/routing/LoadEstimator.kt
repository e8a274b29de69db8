package io.greengageport.routing

import io.greengageport.common.RunnerId

/**
 * Estimates the work queued at each runner from lagged reports and this instance's own work.
 *
 * A report tells the queue as of its time. What this instance sent or saw finished later isn't in
 * it and is added or subtracted; what it did earlier is, and is forgotten. The reported queue is
 * reduced by [drainShare] of what the runner could have done since. At 1 the estimate forgets what
 * other instances send, at 0 a stale report of a long queue keeps work away for too long.
 *
 * Times are those of the wall clock, because a report's time comes from another process.
 * Thread-safe; runners are spread over shards with a lock each.
 *
 * ```
 * estimator.sent(id, tokens = 300.0, atMillis = now)
 * estimator.report(RunnerLoad(id, now - 400, queuedTokens = 1200.0, tokensPerSecond = 1000.0))
 * estimator.load(id, nominalRate, now).queuedTokens // 1200 - 0.5 * 400 + 300
 * ```
 */
public class LoadEstimator(
    shards: Int = DEFAULT_SHARDS,
    private val drainShare: Double = DEFAULT_DRAIN_SHARE
) {
    private val shards = Array(shards) { HashMap<RunnerId, LoadState>() }

    /** Takes in a report; one that is older than the newest of the same boot is ignored. */
    public fun report(load: RunnerLoad): Unit = locked(load.runner) { it.report(load) }

    /** Counts work sent to a runner. */
    public fun sent(runner: RunnerId, tokens: Double, atMillis: Long): Unit =
        locked(runner) { it.change(tokens, atMillis) }

    /** Counts work, sent earlier by this instance, that a runner finished or gave up. */
    public fun finished(runner: RunnerId, tokens: Double, atMillis: Long): Unit =
        locked(runner) { it.change(-tokens, atMillis) }

    /** The estimate for a runner; [nominalRate] counts while no report states a rate. */
    public fun load(runner: RunnerId, nominalRate: Double, nowMillis: Long): EstimatedLoad {
        val shard = shardOf(runner)
        return synchronized(shard) {
            shard[runner]?.estimate(nominalRate, nowMillis, drainShare)
                ?: EstimatedLoad(0.0, nominalRate, null)
        }
    }

    /** Drops the state of a runner that left the fleet. */
    public fun forget(runner: RunnerId) {
        val shard = shardOf(runner)
        synchronized(shard) { shard.remove(runner) }
    }

    private inline fun locked(runner: RunnerId, action: (LoadState) -> Unit) {
        val shard = shardOf(runner)
        synchronized(shard) { action(shard.getOrPut(runner) { LoadState() }) }
    }

    private fun shardOf(runner: RunnerId) = shards[Math.floorMod(runner.hashCode(), shards.size)]

    public companion object {
        public const val DEFAULT_SHARDS: Int = 16
        public const val DEFAULT_DRAIN_SHARE: Double = 0.5
    }
}

/** A load report: [queuedTokens] of work not yet done at [reportedAtMillis] of the wall clock. */
public data class RunnerLoad(
    val runner: RunnerId,
    val reportedAtMillis: Long,
    val queuedTokens: Double,
    val tokensPerSecond: Double = 0.0,
    val bootId: String = ""
)

/** Work queued at a runner, its rate, and the time of the report behind it, if any. */
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

    private var last: RunnerLoad? = null
    private var own = 0.0
    private val changes = ArrayDeque<Change>()

    fun report(load: RunnerLoad) {
        val previous = last
        val restarted = previous != null && previous.bootId != load.bootId
        if (previous != null && !restarted && load.reportedAtMillis <= previous.reportedAtMillis) {
            return
        }
        last = load
        while (changes.isNotEmpty() && changes.first().atMillis <= load.reportedAtMillis) {
            own -= changes.removeFirst().tokens
        }
        if (changes.isEmpty()) own = 0.0
    }

    fun change(tokens: Double, atMillis: Long) {
        if (changes.isNotEmpty() && changes.last().atMillis >= atMillis) {
            changes.last().tokens += tokens
        } else {
            // Without reports the list would grow for ever; the oldest changes lose their time.
            if (changes.size >= MAX_CHANGES) mergeOldest()
            changes.addLast(Change(tokens, atMillis))
        }
        own += tokens
    }

    private fun mergeOldest() {
        val oldest = changes.removeFirst()
        changes.first().tokens += oldest.tokens
    }

    fun estimate(nominalRate: Double, nowMillis: Long, drainShare: Double): EstimatedLoad {
        val report = last
        val rate = report?.tokensPerSecond?.takeIf { it > 0 } ?: nominalRate
        val ageMillis = report?.let { maxOf(0, nowMillis - it.reportedAtMillis) } ?: 0
        val drained = drainShare * rate * ageMillis / MILLIS_PER_SECOND
        val reported = maxOf(0.0, (report?.queuedTokens ?: 0.0) - drained)
        return EstimatedLoad(maxOf(0.0, reported + own), rate, report?.reportedAtMillis)
    }

    private companion object {
        const val MAX_CHANGES = 1_024
    }
}
