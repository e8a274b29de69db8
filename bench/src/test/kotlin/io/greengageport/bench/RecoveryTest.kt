package io.greengageport.bench

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

/** Guards against recovery times that are better or worse than what callers saw. */
class RecoveryTest {
    private val good = bucket(answered = 10, millis = 100.0)
    private val slow = bucket(answered = 10, millis = 121.0)
    private val refused = bucket(answered = 7, millis = 100.0)
    private val empty = Bucket(0, 0, emptyList())
    private val before = List(5) { good }

    private fun bucket(answered: Int, millis: Double) = Bucket(
        10,
        answered,
        List(answered) {
            millis
        }
    )

    private fun seconds(vararg after: Bucket) = Recovery.seconds(before, after.toList())

    @Nested
    inner class `a rank recovers` {
        @Test
        fun `at once if the event did not touch it`() {
            expectThat(seconds(good, good, good, good)).isEqualTo(0)
        }

        @Test
        fun `when latency is back`() {
            expectThat(seconds(slow, slow, good, good, good)).isEqualTo(2)
        }

        @Test
        fun `when the answered share is back`() {
            expectThat(seconds(refused, good, good, good)).isEqualTo(1)
        }

        @Test
        fun `only with three good seconds in a row`() {
            expectThat(seconds(slow, good, good, slow, good, good, good)).isEqualTo(4)
        }

        @Test
        fun `within the tolerance of 20 percent`() {
            val near = bucket(answered = 8, millis = 119.0)
            expectThat(seconds(near, near, near)).isEqualTo(0)
        }
    }

    @Nested
    inner class `there is no recovery time` {
        @Test
        fun `if good seconds are too few at the end`() {
            expectThat(seconds(slow, slow, good, good)).isNull()
        }

        @Test
        fun `without a value before the event`() {
            expectThat(Recovery.seconds(List(5) { empty }, listOf(good, good, good))).isNull()
        }

        @Test
        fun `without a request after the event`() {
            expectThat(seconds(empty, empty)).isNull()
        }
    }

    @Test
    fun `seconds without requests are passed over`() {
        expectThat(seconds(slow, empty, good, empty, good, good)).isEqualTo(2)
    }

    @Test
    fun `only the last five seconds before the event count`() {
        val old = List(9) { bucket(answered = 10, millis = 10.0) }
        expectThat(Recovery.seconds(old + before, listOf(good, good, good))).isEqualTo(0)
    }

    @Test
    fun `a percentile is the nearest rank`() {
        val values = (1..20).map { it.toDouble() }
        expectThat(Bucket.percentile(values, 0.95)).isEqualTo(19.0)
        expectThat(Bucket.percentile(emptyList(), 0.95)).isNull()
    }
}
