package io.greengageport.gateway.peer

import io.greengageport.common.DataCentre
import io.greengageport.common.HostPort
import io.greengageport.common.InstanceId
import io.greengageport.common.RunnerId
import io.greengageport.gateway.RecordedLog
import io.greengageport.gateway.SteppedClock
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

/** Guards against peers that believe an instance which has lost its own network path. */
class PeerPathTest {
    private val clock = SteppedClock()
    private val view = PeerView(InstanceId("self"), DataCentre("z"), clock, RecordedLog().log)
    private val address = HostPort("127.0.0.1", 9)
    private var sequence = 0L

    private fun report(
        from: String,
        hasServerPath: Boolean,
        unreachable: List<String> = listOf("dead")
    ) = PeerReport(
        from = from,
        dataCentre = "z",
        address = address.toString(),
        startedAtMillis = 1,
        sequence = ++sequence,
        load = emptyList(),
        requestsByService = emptyMap(),
        retries = emptyMap(),
        unreachable = unreachable,
        suspects = emptyList(),
        known = emptyList(),
        renewalAgeMillis = null,
        readAgeMillis = null,
        configurationVersion = 0,
        serverListDelta = null,
        centres = emptyList(),
        hasServerPath = hasServerPath
    )

    @Test
    fun `unreachable servers of a peer without a path are ignored, also in summaries`() {
        view.onReport(report("x", hasServerPath = true), address)
        expectThat(view.unreachableServers()).isEqualTo(setOf(RunnerId("dead")))
        view.onReport(report("x", hasServerPath = false), address)
        expectThat(view.unreachableServers()).isEmpty()
        val own = report("self", hasServerPath = false, unreachable = listOf("other"))
        expectThat(view.summary(own).unreachable).isEmpty()
    }

    @Test
    fun `only a live peer with a path counts as one`() {
        expectThat(view.hasPeerWithPath()).isFalse()
        view.onReport(report("x", hasServerPath = false), address)
        expectThat(view.hasPeerWithPath()).isFalse()
        view.onReport(report("y", hasServerPath = true), address)
        expectThat(view.hasPeerWithPath()).isTrue()
        clock.nowMillis += 60_000
        view.expire()
        expectThat(view.hasPeerWithPath()).isFalse()
    }
}
