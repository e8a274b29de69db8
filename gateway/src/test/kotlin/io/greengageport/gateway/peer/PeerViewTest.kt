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

/**
 * Guards against counting loads of peers that are gone, and against duplicate or reordered reports.
 */
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
        centres: List<DataCentreSummary> = emptyList(),
        renewalAgeMillis: Long? = 500,
        hasServerPath: Boolean = true
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
        renewalAgeMillis = renewalAgeMillis,
        readAgeMillis = null,
        configurationVersion = 0,
        serverListDelta = null,
        centres = centres,
        hasServerPath = hasServerPath
    )

    private fun requests() = view.load()?.get(RunnerId("s"))?.requests

    @Nested
    inner class `The load of the peers` {
        @Test
        fun `is unknown before the first report`() {
            view.onMembers(mapOf(InstanceId("a") to MemberAddress(address, DataCentre("z"))))
            expectThat(view.load()).isNull()
        }

        @Test
        fun `is the sum of their latest reports`() {
            view.onReport(report("a", 1, 3), address)
            view.onReport(report("a", 2, 4), address)
            view.onReport(report("b", 1, 5), address)
            expectThat(requests()).isEqualTo(9)
        }

        @Test
        fun `ignores a report that arrives after a newer one`() {
            view.onReport(report("a", 2, 4), address)
            expectThat(view.onReport(report("a", 1, 3), address)).isFalse()
            expectThat(requests()).isEqualTo(4)
        }

        @Test
        fun `is replaced by that of a new incarnation`() {
            view.onReport(report("a", 90, 4, startedAt = 1), address)
            expectThat(view.onReport(report("a", 0, 1, startedAt = 2), address)).isTrue()
            expectThat(requests()).isEqualTo(1)
        }

        @Test
        fun `excludes a peer that has gone silent`() {
            view.onReport(report("a", 1, 4), address)
            view.onReport(report("b", 1, 5), address)
            clock.nowMillis += 1_000
            view.onReport(report("b", 2, 5), address)
            clock.nowMillis += 500
            view.expire()
            expectThat(requests()).isEqualTo(5)
            expectThat(view.liveInstanceCount).isEqualTo(2)
        }
    }

    /** Guards against a summary from the future, beside which all true ones look outdated. */
    @Test
    fun `a summary with a negative age does not hide the next one`() {
        fun summary(ageMillis: Long, instances: Int) = DataCentreSummary(
            dataCentre = "y",
            ageMillis = ageMillis,
            instances = instances,
            load = emptyList(),
            requestsByService = emptyMap(),
            retries = emptyMap(),
            unreachable = emptyList(),
            renewalAgeMillis = null
        )
        for ((i, age) in listOf(-1L, -1_000_000_000, Long.MIN_VALUE, Long.MAX_VALUE).withIndex()) {
            val odd = report("a", 1L + i, 3, centres = listOf(summary(age, instances = 1_000)))
            view.onReport(odd, address)
        }
        view.onReport(report("a", 9, 3, centres = listOf(summary(0, instances = 4))), address)
        expectThat(view.liveInstanceCount).isEqualTo(6)
    }

    @Test
    fun `a peer mentioned by another one counts once it reports itself`() {
        val far = KnownPeer("far", "z", "127.0.0.1:10")
        view.onReport(report("a", 1, 3, known = listOf(far)), address)
        expectThat(HostPort("127.0.0.1", 10) in view.reportAddresses).isTrue()
        expectThat(view.liveInstanceCount).isEqualTo(2)
        view.onReport(report("far", 1, 1), HostPort("127.0.0.1", 10))
        expectThat(view.liveInstanceCount).isEqualTo(3)
        expectThat(view.sampleLivePeers().map { it.id }.sorted()).isEqualTo(listOf("a", "far"))
    }

    @Nested
    inner class `Other data centres of a large fleet` {
        private fun summary(requests: Int, ageMillis: Long = 0) = DataCentreSummary(
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
        fun `count by their summaries and not again by the reports of their relays`() {
            view.onReport(report("a", 1, 3, centres = listOf(summary(50))), address)
            view.onReport(report("relay", 1, 7, dataCentre = "y"), address)
            expectThat(requests()).isEqualTo(53)
            expectThat(view.liveInstanceCount).isEqualTo(22)
            expectThat(view.retries(ServiceName("model"))).isEqualTo(RetryUsage(53.0, 4.0))
            expectThat(view.unreachableServers())
                .isEqualTo(setOf(RunnerId("dead"), RunnerId("gone")))
        }

        @Test
        fun `count by the newest summary whatever the order of arrival`() {
            view.onReport(report("a", 1, 0, centres = listOf(summary(50))), address)
            view.onReport(report("b", 1, 0, centres = listOf(summary(9, ageMillis = 900))), address)
            expectThat(requests()).isEqualTo(50)
        }

        @Test
        fun `no longer count once their relays have gone silent`() {
            view.onReport(report("a", 1, 3, centres = listOf(summary(50))), address)
            clock.nowMillis += 5_100
            view.onReport(report("a", 2, 3), address)
            expectThat(requests()).isEqualTo(3)
            expectThat(view.liveInstanceCount).isEqualTo(2)
        }

        @Test
        fun `get a summary of this data centre only`() {
            view.onReport(report("a", 1, 3), address)
            view.onReport(report("relay", 1, 7, dataCentre = "y"), address)
            val sum = view.summary(report("self", 1, 2))
            expectThat(sum.load.single().requests).isEqualTo(5)
            expectThat(sum.instances).isEqualTo(2)
        }

        @Test
        fun `have reached the store if their summary says so`() {
            view.onReport(report("a", 1, 3), address)
            clock.nowMillis += 2_600
            val own = report("b", 1, 3, centres = listOf(summary(1)))
            view.onReport(own, address)
            clock.nowMillis += 300
            expectThat(view.isStoreUnreachableForAll()).isFalse()
        }
    }

    @Test
    fun `the store is unreachable for all once no live peer has a recent answer`() {
        expectThat(view.isStoreUnreachableForAll()).isFalse()
        view.onReport(report("a", 1, 3), address)
        expectThat(view.isStoreUnreachableForAll()).isFalse()
        clock.nowMillis += 2_600
        expectThat(view.isStoreUnreachableForAll()).isTrue()
    }

    /** Guards against two holders: one extends its duty while the store answers everyone else. */
    @Test
    fun `peers without a path to servers do not show that the store is unreachable`() {
        fun cutOff(from: String) =
            report(from, 1, 3, renewalAgeMillis = null, hasServerPath = false)
        view.onReport(cutOff("a"), address)
        view.onReport(cutOff("b"), address)
        expectThat(view.isStoreUnreachableForAll()).isFalse()
        view.onReport(report("c", 1, 3, renewalAgeMillis = 3_500), address)
        expectThat(view.isStoreUnreachableForAll()).isTrue()
    }

    /** Guards against a cut-off instance, which the store no longer lists, that peers forget. */
    @Test
    fun `a peer that has left the group is known while it reports`() {
        view.onReport(report("a", 1, 3, hasServerPath = false), address)
        repeat(40) {
            clock.nowMillis += 1_000
            view.onReport(report("a", it + 2L, 3, hasServerPath = false), address)
            view.onMembers(emptyMap())
            view.expire()
            expectThat(view.liveInstanceCount).isEqualTo(2)
        }
    }

    @Test
    fun `a peer that reports nearly all servers unreachable is ignored`() {
        val all = List(30) { "s$it" }
        view.onReport(report("a", 1, 1, unreachable = listOf("s1")), address)
        view.onReport(report("b", 1, 1, unreachable = all), address)
        expectThat(view.unreachableServers()).isEqualTo(setOf(RunnerId("s1")))
    }

    @Test
    fun `this instance's own report is ignored`() {
        expectThat(view.onReport(report("self", 1, 4), address)).isFalse()
        expectThat(view.liveInstanceCount).isEqualTo(1)
    }

    /**
     * Guards against 90 datagrams a second from each of 95 instances, the rate at an interval of
     * 200 ms.
     */
    @Test
    fun `with several data centres an instance sends at most 35 reports a second`() {
        fun perSecond(perCentre: Int): Double {
            val large = PeerView(InstanceId("self"), DataCentre("0"), clock, RecordedLog().log)
            large.onMembers(
                (1 until 5 * perCentre).associate {
                    InstanceId("i$it") to MemberAddress(address, DataCentre("${it % 5}"))
                }
            )
            return large.reportAddresses.size * 1_000.0 / large.intervalMillis
        }
        for (n in listOf(6, 19, 60)) expectThat(perSecond(n) <= 35).isTrue()
    }

    @Test
    fun `the report interval grows with the fleet so that traffic per instance stays constant`() {
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
