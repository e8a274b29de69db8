package io.greengageport.membership

import kotlin.time.Duration

/**
 * The local health score of the Lifeguard extension of SWIM: 0 is healthy, [MAX_SCORE] the worst.
 *
 * The score rises when neither a probed member nor any helper answers, when this instance refutes a
 * suspicion of itself, and after a pause of this process; it falls with each answered probe. Probe
 * timeouts grow with the score, so that an overloaded instance does not suspect healthy members.
 */
internal class LocalHealth(private val pauseThreshold: Duration) {
    private var lastTickMillis: Long? = null

    var score: Int = 0
        private set

    val isWorst: Boolean get() = score >= MAX_SCORE

    /** Records that a probed member answered. */
    fun recordAnswer() {
        score = (score - 1).coerceAtLeast(0)
    }

    fun degrade(points: Int = 1) {
        score = (score + points).coerceAtMost(MAX_SCORE)
    }

    /** Returns [timeout] scaled by the score, in milliseconds. */
    fun scaleTimeout(timeout: Duration): Long = timeout.inWholeMilliseconds * (1 + score)

    /**
     * Must be called at each tick. If the time since the last tick exceeds the threshold, sets the
     * score to [MAX_SCORE] and returns that time in milliseconds; otherwise returns 0.
     */
    fun detectPause(now: Long): Long {
        val gapMillis = now - (lastTickMillis ?: now)
        lastTickMillis = now
        if (gapMillis <= pauseThreshold.inWholeMilliseconds) return 0
        degrade(points = MAX_SCORE)
        return gapMillis
    }

    companion object {
        const val MAX_SCORE = 4

        /** Added to the score when neither a probed member nor any helper answered. */
        const val UNANSWERED_PENALTY = 2
    }
}
