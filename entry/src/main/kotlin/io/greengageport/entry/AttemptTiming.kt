package io.greengageport.entry

import io.greengageport.common.Clock
import io.greengageport.ports.TokenFrame
import io.greengageport.routing.LinkEstimator
import io.greengageport.routing.OutlierDetector
import io.greengageport.routing.PlannedStage
import io.greengageport.routing.Runner

/**
 * Sums the times per stage and per hop that the frames of one attempt report, and passes their
 * means to the estimators when the attempt ends.
 */
internal class AttemptTiming(private val stages: List<PlannedStage>, private val clock: Clock) {
    private val stageMicros = LongArray(stages.size)
    private val linkMicros = LongArray(maxOf(0, stages.size - 1))
    private var frameCount = 0
    private var firstMillis = 0L
    private var lastMillis = 0L

    /** Whether no frame was received, so that no stage is known to have run. */
    val isEmpty: Boolean get() = frameCount == 0

    /** Mean time between tokens in milliseconds, or null for fewer than two tokens. */
    val meanGapMillis: Double?
        get() =
            if (frameCount < 2) null else (lastMillis - firstMillis).toDouble() / (frameCount - 1)

    /** Adds the times of a frame. Times of a frame with the wrong number of stages are ignored. */
    fun onFrame(f: TokenFrame) {
        val now = clock.monotonicMillis()
        if (frameCount == 0) firstMillis = now
        lastMillis = now
        frameCount++
        if (f.stageMicros.size != stages.size || f.hopMicros.size != stages.size - 1) return
        for (i in stages.indices) stageMicros[i] += f.stageMicros[i]
        for (i in linkMicros.indices) {
            // The time of a hop includes the next stage and all later hops.
            val downstreamMicros = f.hopMicros.getOrElse(i + 1) { 0 }
            linkMicros[i] += maxOf(0, f.hopMicros[i] - f.stageMicros[i + 1] - downstreamMicros)
        }
    }

    /** Reports the mean times to [outliers] and [links]. */
    fun reportTo(outliers: OutlierDetector, links: LinkEstimator) {
        if (frameCount == 0) return
        for ((i, s) in stages.withIndex()) {
            val layersRun = s.layers?.size ?: continue
            // Scaled to all layers of the runner, so that runs of different ranges compare.
            val layersHeld = s.runner.layers?.size ?: layersRun
            outliers.recordSuccess(s.id, mean(stageMicros[i]) * layersHeld / layersRun)
        }
        for (i in linkMicros.indices) {
            links.observe(stages[i].runner, stages[i + 1].runner, mean(linkMicros[i]))
        }
    }

    /** The runner that took the most time. */
    fun slowest(): Runner? =
        stageMicros.indices.maxByOrNull { stageMicros[it] }?.let { stages[it].runner }

    private fun mean(micros: Long): Double = micros / MICROS_PER_MILLI / frameCount

    private companion object {
        const val MICROS_PER_MILLI = 1_000.0
    }
}
