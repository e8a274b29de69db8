package io.greengageport.bench

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

/** Guards against recovery times that differ from what callers experienced. */
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

    private fun recoverySeconds(vararg after: Bucket) =
        Recovery.secondsToRecover(before, after.toList())

    @Nested
    inner class `a rank recovers` {
        @Test
        fun `immediately if the event did not affect it`() {
            expectThat(recoverySeconds(good, good, good, good)).isEqualTo(0)
        }

        @Test
        fun `when latency is back within the tolerance`() {
            expectThat(recoverySeconds(slow, slow, good, good, good)).isEqualTo(2)
        }

        @Test
        fun `when the answered share is back within the tolerance`() {
            expectThat(recoverySeconds(refused, good, good, good)).isEqualTo(1)
        }

        @Test
        fun `only after three consecutive good seconds`() {
            expectThat(recoverySeconds(slow, good, good, slow, good, good, good)).isEqualTo(4)
        }

        @Test
        fun `with values within the tolerance of 20 percent`() {
            val near = bucket(answered = 8, millis = 119.0)
            expectThat(recoverySeconds(near, near, near)).isEqualTo(0)
        }
    }

    @Nested
    inner class `there is no recovery time` {
        @Test
        fun `with too few good seconds at the end`() {
            expectThat(recoverySeconds(slow, slow, good, good)).isNull()
        }

        @Test
        fun `without a request before the event`() {
            expectThat(Recovery.secondsToRecover(List(5) { empty }, listOf(good, good, good)))
                .isNull()
        }

        @Test
        fun `without a request after the event`() {
            expectThat(recoverySeconds(empty, empty)).isNull()
        }
    }

    @Test
    fun `seconds without requests are skipped`() {
        expectThat(recoverySeconds(slow, empty, good, empty, good, good)).isEqualTo(2)
    }

    @Test
    fun `only the last five seconds before the event count`() {
        val old = List(9) { bucket(answered = 10, millis = 10.0) }
        expectThat(Recovery.secondsToRecover(old + before, listOf(good, good, good))).isEqualTo(0)
    }

    @Test
    fun `percentiles use the nearest rank`() {
        val values = (1..20).map { it.toDouble() }
        expectThat(Bucket.percentile(values, 0.95)).isEqualTo(19.0)
        expectThat(Bucket.percentile(emptyList(), 0.95)).isNull()
    }
}
