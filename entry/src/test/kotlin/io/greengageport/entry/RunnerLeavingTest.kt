package io.greengageport.entry

import io.greengageport.common.DataCentre
import io.greengageport.common.RunnerId
import io.greengageport.common.ServiceName
import io.greengageport.ports.InstanceListing
import io.greengageport.ports.ListedRunner
import io.greengageport.ports.ListedState
import io.greengageport.ports.LoadReport
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

class RunnerLeavingTest {
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
    private val service = ServiceName("guide")

    private fun list(state: ListedState) {
        val listed =
            ListedRunner(runner, service, ADDRESS, DataCentre("dc1"), state = state)
        fleets.forEach { it.onListing(InstanceListing(runners = listOf(listed))) }
    }

    private fun report(bootId: String, atMillis: Long, leaving: Boolean = false) = fleets.forEach {
        it.onLoads(listOf(LoadReport(runner, service, bootId, atMillis, leaving = leaving)))
    }

    /** For each instance, whether it sends the runner no new work. */
    private fun isLeaving() = fleets.map { it.fleet.runner(runner)?.isLeaving }

    /** Guards against a runner that is restarted at the same address and never gets work again. */
    @Test
    fun `a restarted process at the same address gets work, and old reports are ignored`() {
        list(ListedState.LIVE)
        report("boot-1", atMillis = 1)
        fleets[0].markLeaving(runner, ADDRESS)
        expectThat(isLeaving()).isEqualTo(listOf(true, true))
        report("boot-1", atMillis = 2)
        expectThat(isLeaving()).isEqualTo(listOf(true, true))
        report("boot-2", atMillis = 3)
        expectThat(isLeaving()).isEqualTo(listOf(false, false))
        fleets[1].markLeaving(runner, ADDRESS)
        report("boot-1", atMillis = 2)
        expectThat(isLeaving()).isEqualTo(listOf(true, true))
    }

    /** Guards against a lagging list that marks the new process instead of the old one. */
    @Test
    fun `a runner gets work again once the list no longer shows it as leaving`() {
        list(ListedState.LIVE)
        report("boot-1", atMillis = 1, leaving = true)
        list(ListedState.LEAVING)
        report("boot-2", atMillis = 2)
        list(ListedState.LEAVING)
        expectThat(isLeaving()).isEqualTo(listOf(true, true))
        list(ListedState.LIVE)
        expectThat(isLeaving()).isEqualTo(listOf(false, false))
    }

    private companion object {
        const val ADDRESS = "10.0.0.1:80"
    }
}
