package io.greengageport.routing

import io.greengageport.common.RequestId
import io.greengageport.common.RunnerId
import io.greengageport.testkit.ManualClock
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isFalse
import strikt.assertions.isTrue

/**
 * Guards against requests that are blocked as crashing because the network path to their servers
 * was lost, and the servers were stopped later.
 */
class WithdrawnLossTest {
    private val suspects = SuspectRequests(ManualClock())
    private val a = RunnerId("a")
    private val b = RunnerId("b")

    init {
        for (runner in listOf(a, b)) {
            suspects.tryStart(RequestId("on $runner"), Fingerprint("f"), listOf(runner))
        }
    }

    @Test
    fun `a refused connection marks no request after the loss was withdrawn`() {
        expectThat(suspects.recordLostConnection(a)).isTrue()
        expectThat(suspects.recordLostConnection(a)).isFalse()
        suspects.recordLostConnection(b)
        suspects.withdrawLostConnection(a)
        expectThat(suspects.recordRefusedConnection(a)).isEmpty()
        expectThat(suspects.recordRefusedConnection(b)).hasSize(1)
    }

    @Test
    fun `only losses since the given time are withdrawn together`() {
        val clock = ManualClock()
        val timed = SuspectRequests(clock)
        timed.tryStart(RequestId("r"), Fingerprint("f"), listOf(a))
        timed.tryStart(RequestId("q"), Fingerprint("g"), listOf(b))
        timed.recordLostConnection(a)
        clock.advance(100)
        timed.recordLostConnection(b)
        timed.withdrawLostConnections(clock.wallMillis())
        expectThat(timed.recordRefusedConnection(b)).isEmpty()
        expectThat(timed.recordRefusedConnection(a)).hasSize(1)
    }
}
