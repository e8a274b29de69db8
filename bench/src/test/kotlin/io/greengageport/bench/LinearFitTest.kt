package io.greengageport.bench

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards against cost slopes or standard errors that do not follow from the points. */
class LinearFitTest {
    @Test
    fun `points on a line give its exact slope and intercept`() {
        val fit = LinearFit.of(listOf(3.0 to 7.0, 9.0 to 19.0, 27.0 to 55.0))
        expectThat(listOf(fit.intercept, fit.slope, fit.slopeError, fit.at(360.0)).map(::rounded))
            .isEqualTo(listOf(1.0, 2.0, 0.0, 721.0))
    }

    @Test
    fun `scatter of the points changes the standard errors but not the slope`() {
        // Residuals 1, -2, 1: variance 6, sum of squares of x 2, mean of x 2.
        val fit = LinearFit.of(listOf(1.0 to 3.0, 2.0 to 2.0, 3.0 to 7.0))
        expectThat(listOf(fit.intercept, fit.slope, fit.slopeError, fit.interceptError))
            .isEqualTo(
                listOf(0.0, 2.0, kotlin.math.sqrt(3.0), kotlin.math.sqrt(6.0 * (1 / 3.0 + 2)))
            )
    }

    private fun rounded(x: Double) = Math.round(x * 1e6) / 1e6
}
