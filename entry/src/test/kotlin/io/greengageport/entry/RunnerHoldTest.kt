package io.greengageport.entry

import io.greengageport.common.RunnerId
import io.greengageport.routing.Fleet
import io.greengageport.routing.LinkEstimator
import io.greengageport.routing.LoadEstimator
import io.greengageport.routing.OutlierDetector
import io.greengageport.routing.PrefixIndex
import io.greengageport.routing.SuspectRequests
import io.greengageport.testkit.ManualClock
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class RunnerHoldTest {
    private val clock = ManualClock()
    private val bus = GossipBus()
    private val fleets = List(2) {
        BackendFleet(
            clock,
            bus,
            Fleet(),
            LoadEstimator(),
            LinkEstimator(clock),
            PrefixIndex(),
            OutlierDetector(clock),
            SuspectRequests(clock)
        ).also { it.start() }
    }
    private val runner = RunnerId("a")

    /**
     * Guards against holds that outlast their order: a roll-out would hold all runners of a service
     * at once, and no request would find a chain.
     */
    @Test
    fun `a hold can be ended and renewed on all instances`() {
        val observed = mutableListOf<List<Boolean>>()
        fun observe() = observed.add(fleets.map { it.isHeld(runner) })
        fleets[0].hold(runner, millis = 6_000)
        observe()
        fleets[0].hold(runner, millis = 0)
        observe()
        fleets[0].hold(runner, millis = 6_000)
        observe()
        expectThat(observed.toList())
            .isEqualTo(listOf(true, false, true).map { listOf(it, it) })
    }
}
