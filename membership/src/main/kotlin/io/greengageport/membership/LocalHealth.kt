package io.greengageport.membership

import kotlin.time.Duration

/**
 * How far this instance trusts its own observations, after the Lifeguard extension of SWIM.
 *
 * The score rises when neither a probed member nor any helper answers, when a suspicion of this
 * instance has to be refuted and after a pause; it falls with each answered probe. It stretches
 * the probe timeouts, so that an overloaded instance does not suspect healthy members.
 */
internal class LocalHealth(private val pauseThreshold: Duration) {
    private var lastTick: Long? = null

    var score: Int = 0
        private set

    val isWorst: Boolean get() = score >= MAX_SCORE

    fun answered() {
        score = (score - 1).coerceAtLeast(0)
    }

    fun degraded(by: Int = 1) {
        score = (score + by).coerceAtMost(MAX_SCORE)
    }

    fun stretch(timeout: Duration): Long = timeout.inWholeMilliseconds * (1 + score)

    /** Returns the length of the pause that ends with this tick, or 0. */
    fun pauseBefore(now: Long): Long {
        val gap = now - (lastTick ?: now)
        lastTick = now
        if (gap <= pauseThreshold.inWholeMilliseconds) return 0
        degraded(by = MAX_SCORE)
        return gap
    }

    companion object {
        const val MAX_SCORE = 4
        const val UNANSWERED_PENALTY = 2
    }
}
