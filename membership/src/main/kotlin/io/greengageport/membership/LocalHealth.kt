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

    fun recordAnswer() {
        score = (score - 1).coerceAtLeast(0)
    }

    fun degrade(by: Int = 1) {
        score = (score + by).coerceAtMost(MAX_SCORE)
    }

    /** Returns [timeout] scaled by the score, in milliseconds. */
    fun scaleTimeout(timeout: Duration): Long = timeout.inWholeMilliseconds * (1 + score)

    /** Returns the milliseconds since the last tick if they exceed the threshold, else 0. */
    fun detectPause(now: Long): Long {
        val gapMillis = now - (lastTickMillis ?: now)
        lastTickMillis = now
        if (gapMillis <= pauseThreshold.inWholeMilliseconds) return 0
        degrade(by = MAX_SCORE)
        return gapMillis
    }

    companion object {
        const val MAX_SCORE = 4
        const val UNANSWERED_PENALTY = 2
    }
}
