package io.greengageport.gateway.forward

import io.greengageport.gateway.MODEL
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull
import strikt.assertions.isNull

/**
 * Guards against retries that slow down an already slow service, and against a threshold so high
 * that a single late response is retried too late.
 */
class FirstEventTimesTest {
    private val times = FirstEventTimes()

    @Test
    fun `have no threshold without a measurement`() {
        expectThat(times.lateThresholdMillis(MODEL)).isNull()
    }

    @Test
    fun `settle slightly above steady times, so that a late request is retried early`() {
        repeat(50) { times.record(MODEL, 60L + it % 5) }
        expectThat(times.lateThresholdMillis(MODEL)).isNotNull().isGreaterThan(62).isLessThan(120)
    }

    @Test
    fun `rise when all responses become slow`() {
        repeat(50) { times.record(MODEL, 60) }
        repeat(10) { times.record(MODEL, 800) }
        expectThat(times.lateThresholdMillis(MODEL)).isNotNull().isGreaterThan(800)
    }
}
