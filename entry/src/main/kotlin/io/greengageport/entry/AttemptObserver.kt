package io.greengageport.entry

import io.greengageport.common.Clock
import io.greengageport.ports.TokenFrame
import io.greengageport.routing.LinkEstimator
import io.greengageport.routing.OutlierDetector
import io.greengageport.routing.PlannedStage
import io.greengageport.routing.Runner

/**
 * Collects the times that the frames of one attempt report, per stage and per hop, and feeds them
 * to the estimators when the attempt ends.
 */
internal class AttemptObserver(private val stages: List<PlannedStage>, private val clock: Clock) {
    private val stageMicros = LongArray(stages.size)
    private val linkMicros = LongArray(maxOf(0, stages.size - 1))
    private var frames = 0
    private var firstAt = 0L
    private var lastAt = 0L

    /** Whether no frame came, so that no stage is known to have run. */
    val isEmpty: Boolean get() = frames == 0

    /** Mean time between tokens in milliseconds, or null with fewer than two. */
    val gapMillis: Double?
        get() = if (frames < 2) null else (lastAt - firstAt).toDouble() / (frames - 1)

    fun onFrame(f: TokenFrame) {
        val now = clock.monotonicMillis()
        if (frames == 0) firstAt = now
        lastAt = now
        frames++
        if (f.stageMicros.size != stages.size || f.hopMicros.size != stages.size - 1) return
        for (i in stages.indices) stageMicros[i] += f.stageMicros[i]
        for (i in linkMicros.indices) {
            val rest = f.hopMicros.getOrElse(i + 1) { 0 }
            linkMicros[i] += maxOf(0, f.hopMicros[i] - f.stageMicros[i + 1] - rest)
        }
    }

    /** Feeds the mean times to [outliers] and [links]. */
    fun report(outliers: OutlierDetector, links: LinkEstimator) {
        if (frames == 0) return
        for ((i, s) in stages.withIndex()) {
            val run = s.layers?.size ?: continue
            val whole = s.runner.layers?.size ?: run
            outliers.succeeded(s.id, mean(stageMicros[i]) * whole / run)
        }
        for (i in linkMicros.indices) {
            links.observe(stages[i].runner, stages[i + 1].runner, mean(linkMicros[i]))
        }
    }

    /** The runner whose share of the time was largest; for the log. */
    fun slowest(): Runner? =
        stageMicros.indices.maxByOrNull { stageMicros[it] }?.let { stages[it].runner }

    private fun mean(micros: Long): Double = micros / MICROS_PER_MILLI / frames

    private companion object {
        const val MICROS_PER_MILLI = 1_000.0
    }
}
