package io.greengageport.gateway.peer

import io.greengageport.common.HostPort
import io.greengageport.common.InstanceId
import io.greengageport.common.RunnerId
import io.greengageport.gateway.RecordedLog
import io.greengageport.gateway.SteppedClock
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNull
import strikt.assertions.isTrue

/** Guards against loads of peers that are gone, doubled or out of order. */
class PeerViewTest {
    private val clock = SteppedClock()
    private val view = PeerView(InstanceId("self"), clock, RecordedLog().log)
    private val address = HostPort("127.0.0.1", 9)

    private fun report(
        from: String,
        sequence: Long,
        requests: Int,
        startedAt: Long = 1,
        known: List<KnownPeer> = emptyList(),
        unreachable: List<String> = listOf("dead")
    ) = PeerReport(
        from = from,
        address = address.toString(),
        startedAtMillis = startedAt,
        sequence = sequence,
        load = listOf(ServerLoad("s", requests, 10L * requests)),
        requestsByService = mapOf("model" to requests),
        unreachable = unreachable,
        suspects = emptyList(),
        known = known,
        renewalAgeMillis = 500,
        readAgeMillis = null,
        configurationVersion = 0,
        servers = emptyList()
    )

    private fun requests() = view.load()?.get(RunnerId("s"))?.requests

    @Nested
    inner class `The load of peers` {
        @Test
        fun `is unknown before the first report`() {
            view.onMembers(mapOf(InstanceId("a") to address))
            expectThat(view.load()).isNull()
        }

        @Test
        fun `is the sum of their last reports`() {
            view.onReport(report("a", 1, 3), address)
            view.onReport(report("a", 2, 4), address)
            view.onReport(report("b", 1, 5), address)
            expectThat(requests()).isEqualTo(9)
        }

        @Test
        fun `keeps a newer report that an older one overtook`() {
            view.onReport(report("a", 2, 4), address)
            expectThat(view.onReport(report("a", 1, 3), address)).isFalse()
            expectThat(requests()).isEqualTo(4)
        }

        @Test
        fun `starts anew with a new incarnation`() {
            view.onReport(report("a", 90, 4, startedAt = 1), address)
            expectThat(view.onReport(report("a", 0, 1, startedAt = 2), address)).isTrue()
            expectThat(requests()).isEqualTo(1)
        }

        @Test
        fun `leaves out a peer that has fallen silent`() {
            view.onReport(report("a", 1, 4), address)
            view.onReport(report("b", 1, 5), address)
            clock.nowMillis += 1_000
            view.onReport(report("b", 2, 5), address)
            clock.nowMillis += 500
            view.expire()
            expectThat(requests()).isEqualTo(5)
            expectThat(view.instances).isEqualTo(2)
        }
    }

    @Test
    fun `a peer is learnt from another, and counts once it is heard itself`() {
        val far = KnownPeer("far", "127.0.0.1:10")
        view.onReport(report("a", 1, 3, known = listOf(far)), address)
        expectThat(HostPort("127.0.0.1", 10) in view.addresses).isTrue()
        expectThat(view.instances).isEqualTo(2)
        view.onReport(report("far", 1, 1), HostPort("127.0.0.1", 10))
        expectThat(view.instances).isEqualTo(3)
        expectThat(view.sample().map { it.id }.sorted()).isEqualTo(listOf("a", "far"))
    }

    @Test
    fun `the store is away for all once no live peer has heard of it lately`() {
        expectThat(view.isStoreAwayForAll()).isFalse()
        view.onReport(report("a", 1, 3), address)
        expectThat(view.isStoreAwayForAll()).isFalse()
        clock.nowMillis += 2_600
        expectThat(view.isStoreAwayForAll()).isTrue()
    }

    @Test
    fun `a peer that finds nearly all servers unreachable is cut off itself`() {
        val all = List(30) { "s$it" }
        view.onReport(report("a", 1, 1, unreachable = listOf("s1")), address)
        view.onReport(report("b", 1, 1, unreachable = all), address)
        expectThat(view.unreachable()).isEqualTo(setOf(RunnerId("s1")))
    }

    @Test
    fun `this instance's own report is ignored`() {
        expectThat(view.onReport(report("self", 1, 4), address)).isFalse()
        expectThat(view.instances).isEqualTo(1)
    }

    @Test
    fun `reports become rarer as the fleet grows, so that traffic per instance stays level`() {
        fun interval(instances: Int): Long {
            val large = PeerView(InstanceId("self"), clock, RecordedLog().log)
            large.onMembers((1 until instances).associate { InstanceId("i$it") to address })
            return large.intervalMillis
        }
        expectThat(interval(9)).isEqualTo(200)
        val perSecond = { n: Int -> (n - 1) * 1_000.0 / interval(n) }
        expectThat(perSecond(90) < 1.5 * perSecond(12)).isTrue()
    }
}
