package io.greengageport.bench

import kotlin.math.sqrt

/**
 * Least squares line `intercept + slope * x` with the standard errors of both.
 *
 * ```
 * LinearFit.of(listOf(1.0 to 3.0, 2.0 to 5.0, 3.0 to 7.0)).at(10.0)
 * ```
 */
internal data class LinearFit(
    val intercept: Double,
    val slope: Double,
    val interceptError: Double,
    val slopeError: Double
) {
    /** Value of the line at [x]. */
    fun at(x: Double): Double = intercept + slope * x

    override fun toString(): String = "%.4g (+- %.2g) + %.4g (+- %.2g) * x"
        .format(intercept, interceptError, slope, slopeError)

    companion object {
        /** Fits a line to [points]; requires at least three points and two different x values. */
        fun of(points: List<Pair<Double, Double>>): LinearFit {
            require(points.size > 2) { "a fit with standard errors needs at least three points" }
            val n = points.size
            val meanX = points.map { it.first }.average()
            val meanY = points.map { it.second }.average()
            val sxx = points.sumOf { (x, _) -> (x - meanX) * (x - meanX) }
            require(sxx > 0) { "a fit needs at least two different x values" }
            val slope = points.sumOf { (x, y) -> (x - meanX) * (y - meanY) } / sxx
            val intercept = meanY - slope * meanX
            val residual = points.sumOf { (x, y) -> (y - intercept - slope * x).let { it * it } }
            val variance = residual / (n - 2)
            return LinearFit(
                intercept,
                slope,
                interceptError = sqrt(variance * (1.0 / n + meanX * meanX / sxx)),
                slopeError = sqrt(variance / sxx)
            )
        }
    }
}
