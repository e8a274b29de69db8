package io.greengageport.gateway.state

import io.greengageport.common.RunnerId
import io.greengageport.gateway.RecordedLog
import io.greengageport.gateway.SteppedClock
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

/**
 * Guards against sending work to servers that asked for a pause, and against pauses that never end.
 */
class ServerPausesTest {
    private val clock = SteppedClock()
    private val pauses = ServerPauses(clock, RecordedLog().log)
    private val x = RunnerId("x")
    private val y = RunnerId("y")

    @Test
    fun `a pause ends when its time is over`() {
        pauses.onPause(x, 1_500)
        clock.nowMillis += 1_499
        expectThat(pauses.pausedServers()).isEqualTo(setOf(x))
        clock.nowMillis += 1
        expectThat(pauses.pausedServers()).isEqualTo(emptySet())
    }

    @Test
    fun `a shorter pause does not shorten a longer one`() {
        pauses.onPause(x, 3_000)
        pauses.onPause(x, 100)
        clock.nowMillis += 2_000
        expectThat(pauses.isPaused(x)).isEqualTo(true)
    }

    @Test
    fun `the soonest end is that of the first pause`() {
        pauses.onPause(x, 3_000)
        pauses.onPause(y, 2_000)
        clock.nowMillis += 500
        expectThat(pauses.millisUntilFirstEnd(listOf(x, y))).isEqualTo(1_500)
        expectThat(pauses.millisUntilFirstEnd(listOf(RunnerId("z")))).isNull()
    }

    @Test
    fun `a restart of the server ends its pause`() {
        pauses.onPause(x, 3_000)
        pauses.forget(x)
        expectThat(pauses.isPaused(x)).isEqualTo(false)
    }
}
