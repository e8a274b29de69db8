package io.greengageport.routing

/**
 * Warms up new runners by raising their assumed service rate linearly over a time window.
 *
 * A new engine has empty caches and uncompiled kernels. If it got a full share of the work at once,
 * it would be the slowest stage of every chain.
 */
public class SlowStart(
    private val windowMillis: Long = DEFAULT_WINDOW_MILLIS,
    private val initialShare: Double = DEFAULT_INITIAL_SHARE
) {
    init {
        require(windowMillis > 0) { "the warm-up window must be positive, but is $windowMillis ms" }
        require(initialShare > 0 && initialShare <= 1) {
            "the initial share must be in (0, 1], but is $initialShare"
        }
    }

    /**
     * Returns the share of its service rate, in (0, 1], that [runner] counts with at [nowMillis] of
     * the monotonic clock.
     */
    public fun share(runner: Runner, nowMillis: Long): Double {
        val joinedAtMillis = runner.joinedAtMillis ?: return 1.0
        val ageMillis = (nowMillis - joinedAtMillis).coerceIn(0, windowMillis)
        return initialShare + (1 - initialShare) * ageMillis / windowMillis
    }

    public companion object {
        public const val DEFAULT_WINDOW_MILLIS: Long = 30_000
        public const val DEFAULT_INITIAL_SHARE: Double = 0.1
    }
}
