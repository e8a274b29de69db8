package io.greengageport.gateway.peer

import io.greengageport.common.DataCentre
import io.greengageport.common.HostPort
import io.greengageport.common.InstanceId
import io.greengageport.gateway.RecordedLog
import io.greengageport.gateway.SteppedClock
import java.net.InetAddress
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

/** Guards against tunnels to peers that refuse them, and against none while a peer takes them. */
class TunnelPeersTest {
    private val clock = SteppedClock()
    private val view = view("self", "z")

    private fun view(id: String, centre: String) =
        PeerView(InstanceId(id), DataCentre(centre), clock, RecordedLog().log)

    private fun report(
        from: String,
        dataCentre: String = "z",
        hasServerPath: Boolean = true,
        acceptsTunnels: Boolean = true,
        centres: List<DataCentreSummary> = emptyList()
    ) = PeerReport(
        from = from,
        dataCentre = dataCentre,
        address = "127.0.0.1:9",
        startedAtMillis = 1,
        sequence = 1,
        load = emptyList(),
        requestsByService = emptyMap(),
        retries = emptyMap(),
        unreachable = emptyList(),
        suspects = emptyList(),
        known = emptyList(),
        renewalAgeMillis = null,
        readAgeMillis = null,
        configurationVersion = 0,
        serverListDelta = null,
        centres = centres,
        hasServerPath = hasServerPath,
        acceptsTunnels = acceptsTunnels
    )

    private fun PeerView.onReport(report: PeerReport) = onReport(report, HostPort("127.0.0.1", 9))

    private fun PeerView.ids() = tunnelPeers().map { it.id.value }

    @Test
    fun `Peers that accept tunnels are used while they are alive, near ones first`() {
        view.onReport(report("far", dataCentre = "y"))
        view.onReport(report("near"))
        view.onReport(report("full", acceptsTunnels = false))
        view.onReport(report("cut-off", hasServerPath = false))
        expectThat(view.ids()).containsExactly("near", "far")
        clock.nowMillis += 10_000
        view.expire()
        expectThat(view.ids()).isEmpty()
    }

    @Test
    fun `A sample of another data centre arrives through relays`() {
        val remote = view("r0", "y")
        for (i in 1..9) remote.onReport(report("r$i", "y", acceptsTunnels = i > 2))
        val relay = view("relay", "z")
        val summary = remote.summary(report("r0", "y", hasServerPath = false))
        relay.onReport(report("r0", "y", acceptsTunnels = false, centres = listOf(summary)))
        view.onReport(report("relay", acceptsTunnels = false, centres = relay.otherSummaries()))
        expectThat(view.ids()).hasSize(4)
        expectThat(view.ids().toSet()).isEqualTo(summary.tunnelPeers.map { it.id }.toSet())
        expectThat(view.ids().all { it in (3..9).map { i -> "r$i" } }).isTrue()
    }

    @Test
    fun `Only addresses of known peers may open tunnels`() {
        view.onReport(report("near"))
        expectThat(view.isPeerAddress(InetAddress.getByName("127.0.0.1"))).isTrue()
        expectThat(view.isPeerAddress(InetAddress.getByName("127.0.0.2"))).isFalse()
    }
}
