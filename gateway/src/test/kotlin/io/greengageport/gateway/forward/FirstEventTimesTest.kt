package io.greengageport.gateway.forward

import io.greengageport.gateway.MODEL
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull
import strikt.assertions.isNull

/** Guards against repeats that make a slow service slower. */
class FirstEventTimesTest {
    private val times = FirstEventTimes()

    @Test
    fun `know nothing at first`() {
        expectThat(times.unusualMillis(MODEL)).isNull()
    }

    @Test
    fun `settle above steady times, so that a late answer is repeated in time`() {
        repeat(50) { times.record(MODEL, 60L + it % 5) }
        expectThat(times.unusualMillis(MODEL)).isNotNull().isGreaterThan(62).isLessThan(120)
    }

    @Test
    fun `rise when all answers become slow`() {
        repeat(50) { times.record(MODEL, 60) }
        repeat(10) { times.record(MODEL, 800) }
        expectThat(times.unusualMillis(MODEL)).isNotNull().isGreaterThan(800)
    }
}
