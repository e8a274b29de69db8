package io.greengageport.gateway.peer

import io.greengageport.common.DataCentre
import io.greengageport.common.HostPort
import io.greengageport.common.InstanceId
import io.greengageport.common.RunnerId
import io.greengageport.common.ServiceName
import io.greengageport.gateway.RecordedLog
import io.greengageport.gateway.SteppedClock
import io.greengageport.gateway.port.MemberAddress
import io.greengageport.routing.RetryUsage
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
    private val view = PeerView(InstanceId("self"), DataCentre("z"), clock, RecordedLog().log)
    private val address = HostPort("127.0.0.1", 9)

    private fun report(
        from: String,
        sequence: Long,
        requests: Int,
        startedAt: Long = 1,
        known: List<KnownPeer> = emptyList(),
        unreachable: List<String> = listOf("dead"),
        dataCentre: String = "z",
        centres: List<CentreSummary> = emptyList()
    ) = PeerReport(
        from = from,
        dataCentre = dataCentre,
        address = address.toString(),
        startedAtMillis = startedAt,
        sequence = sequence,
        load = listOf(ServerLoad("s", requests, 10L * requests)),
        requestsByService = mapOf("model" to requests),
        retries = mapOf("model" to RetryUse(1.0 * requests, 2.0)),
        unreachable = unreachable,
        suspects = emptyList(),
        known = known,
        renewalAgeMillis = 500,
        readAgeMillis = null,
        configurationVersion = 0,
        news = null,
        centres = centres
    )

    private fun requests() = view.load()?.get(RunnerId("s"))?.requests

    @Nested
    inner class `The load of peers` {
        @Test
        fun `is unknown before the first report`() {
            view.onMembers(mapOf(InstanceId("a") to MemberAddress(address, DataCentre("z"))))
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
        val far = KnownPeer("far", "z", "127.0.0.1:10")
        view.onReport(report("a", 1, 3, known = listOf(far)), address)
        expectThat(HostPort("127.0.0.1", 10) in view.addresses).isTrue()
        expectThat(view.instances).isEqualTo(2)
        view.onReport(report("far", 1, 1), HostPort("127.0.0.1", 10))
        expectThat(view.instances).isEqualTo(3)
        expectThat(view.sample().map { it.id }.sorted()).isEqualTo(listOf("a", "far"))
    }

    @Nested
    inner class `Other data centres of a large fleet` {
        private fun summary(requests: Int, ageMillis: Long = 0) = CentreSummary(
            dataCentre = "y",
            ageMillis = ageMillis,
            instances = 20,
            load = listOf(ServerLoad("s", requests, 10L * requests)),
            requestsByService = mapOf("model" to requests),
            retries = mapOf("model" to RetryUse(1.0 * requests, 2.0)),
            unreachable = listOf("gone"),
            renewalAgeMillis = 100
        )

        @Test
        fun `count by their sums, and not twice by the relays that are heard`() {
            view.onReport(report("a", 1, 3, centres = listOf(summary(50))), address)
            view.onReport(report("relay", 1, 7, dataCentre = "y"), address)
            expectThat(requests()).isEqualTo(53)
            expectThat(view.instances).isEqualTo(22)
            expectThat(view.retries(ServiceName("model"))).isEqualTo(RetryUsage(53.0, 4.0))
            expectThat(view.unreachable()).isEqualTo(setOf(RunnerId("dead"), RunnerId("gone")))
        }

        @Test
        fun `count by the newest sum, whatever the order in which two relays tell them`() {
            view.onReport(report("a", 1, 0, centres = listOf(summary(50))), address)
            view.onReport(report("b", 1, 0, centres = listOf(summary(9, ageMillis = 900))), address)
            expectThat(requests()).isEqualTo(50)
        }

        @Test
        fun `no longer count once their relays have fallen silent`() {
            view.onReport(report("a", 1, 3, centres = listOf(summary(50))), address)
            clock.nowMillis += 5_100
            view.onReport(report("a", 2, 3), address)
            expectThat(requests()).isEqualTo(3)
            expectThat(view.instances).isEqualTo(2)
        }

        @Test
        fun `are told the sum of this one`() {
            view.onReport(report("a", 1, 3), address)
            view.onReport(report("relay", 1, 7, dataCentre = "y"), address)
            val sum = view.summary(report("self", 1, 2))
            expectThat(sum.load.single().requests).isEqualTo(5)
            expectThat(sum.instances).isEqualTo(2)
        }

        @Test
        fun `have heard of the store if their sum says so`() {
            view.onReport(report("a", 1, 3), address)
            clock.nowMillis += 2_600
            val own = report("b", 1, 3, centres = listOf(summary(1)))
            view.onReport(own, address)
            clock.nowMillis += 300
            expectThat(view.isStoreAwayForAll()).isFalse()
        }
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

    /** Guards against 90 datagrams a second of each of 95 instances, as at 200 ms. */
    @Test
    fun `in a large fleet of several data centres an instance sends some 30 reports a second`() {
        fun perSecond(perCentre: Int): Double {
            val large = PeerView(InstanceId("self"), DataCentre("0"), clock, RecordedLog().log)
            large.onMembers(
                (1 until 5 * perCentre).associate {
                    InstanceId("i$it") to MemberAddress(address, DataCentre("${it % 5}"))
                }
            )
            return large.addresses.size * 1_000.0 / large.intervalMillis
        }
        for (n in listOf(6, 19, 60)) expectThat(perSecond(n) <= 35).isTrue()
    }

    @Test
    fun `reports become rarer as the fleet grows, so that traffic per instance stays level`() {
        fun interval(instances: Int): Long {
            val large = PeerView(InstanceId("self"), DataCentre("z"), clock, RecordedLog().log)
            val member = MemberAddress(address, DataCentre("z"))
            large.onMembers((1 until instances).associate { InstanceId("i$it") to member })
            return large.intervalMillis
        }
        expectThat(interval(9)).isEqualTo(200)
        val perSecond = { n: Int -> (n - 1) * 1_000.0 / interval(n) }
        expectThat(perSecond(90) < 1.5 * perSecond(12)).isTrue()
    }
}
