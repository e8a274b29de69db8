package io.greengageport.routing

/**
 * Warm-up of new runners: the share of its rate that a runner is trusted with grows linearly.
 *
 * A cold engine has empty caches and uncompiled kernels; a full share of the work at once would
 * make it the slowest stage of every chain.
 */
public class SlowStart(
    private val windowMillis: Long = DEFAULT_WINDOW_MILLIS,
    private val initialShare: Double = DEFAULT_INITIAL_SHARE
) {
    init {
        require(windowMillis > 0) { "the warm-up takes some time, not $windowMillis ms" }
        require(initialShare > 0 && initialShare <= 1) { "no share of the rate: $initialShare" }
    }

    /** Share of the service rate, in (0, 1], at [nowMillis] of the monotonic clock. */
    public fun share(runner: Runner, nowMillis: Long): Double {
        val joined = runner.joinedAtMillis ?: return 1.0
        val age = (nowMillis - joined).coerceIn(0, windowMillis)
        return initialShare + (1 - initialShare) * age / windowMillis
    }

    public companion object {
        public const val DEFAULT_WINDOW_MILLIS: Long = 30_000
        public const val DEFAULT_INITIAL_SHARE: Double = 0.1
    }
}
