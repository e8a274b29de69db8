package io.greengageport.limits

import kotlin.random.Random
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo

/** Guards against callers that return into the burst which refused them, or all at once. */
class ReturnSpreadTest {
    private val spread = ReturnSpread(Random(7))

    private fun returns(reliefMillis: Long, leftMillis: Long, callers: Int = 300) =
        List(callers) { spread.returnMillis(reliefMillis, leftMillis) }

    @Nested
    inner class `A burst of a model's requests that is refused` {
        private val returns = returns(reliefMillis = 100, leftMillis = 19_900)

        @Test
        fun `comes back once a lost stage may be loaded again`() {
            expectThat(returns).all { isGreaterThanOrEqualTo(2_000) }
        }

        @Test
        fun `comes back over seconds and not at once`() {
            val perSecond = returns.groupBy { it / 1_000 }.values.map { it.size }
            expectThat(perSecond.max()).isLessThan(returns.size / 2)
            expectThat(returns.max() - returns.min()).isGreaterThan(2_500)
        }
    }

    @Test
    fun `none is asked to wait longer than callers do`() {
        expectThat(returns(reliefMillis = 60_000, leftMillis = 6_000))
            .all { isLessThanOrEqualTo(2_000) }
        expectThat(spread.returnMillis(reliefMillis = 1_000, leftMillis = 0)).isEqualTo(0)
    }
}
