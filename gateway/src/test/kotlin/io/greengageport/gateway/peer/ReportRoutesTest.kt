package io.greengageport.gateway.peer

import io.greengageport.common.DataCentre
import io.greengageport.common.InstanceId
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan

/**
 * Guards against messages that grow with the square of the fleet, and against isolated data
 * centres.
 */
class ReportRoutesTest {
    private fun fleet(centres: Int, perCentre: Int) = (0 until centres).flatMap { c ->
        (0 until perCentre).map { InstanceId("i-$c-%03d".format(it)) to DataCentre("c$c") }
    }

    /**
     * The steady-state view of [self]: its data centre is alive, and of the others only the relays
     * are.
     */
    private fun seenBy(
        self: Pair<InstanceId, DataCentre>,
        all: List<Pair<InstanceId, DataCentre>>
    ): List<ReportRoutes.Candidate> = all.filter { it != self }.map { (id, c) ->
        val isFarRelay = id.value.takeLast(3).toInt() < ReportRoutes.RELAYS_PER_CENTRE
        ReportRoutes.Candidate(id, c, isAlive = c == self.second || isFarRelay)
    }

    private fun targets(
        self: Pair<InstanceId, DataCentre>,
        all: List<Pair<InstanceId, DataCentre>>
    ): Pair<List<InstanceId>, List<InstanceId>> {
        val routes = ReportRoutes(self.first, self.second)
        val seen = seenBy(self, all)
        return routes.localTargets(seen) to routes.remoteTargets(seen, round = 0)
    }

    @Test
    fun `in a small fleet every instance reports to every other`() {
        val all = fleet(3, 3)
        for (i in all) expectThat(targets(i, all).first.size).isEqualTo(8)
        for (i in all) expectThat(targets(i, all).second.size).isEqualTo(0)
    }

    @Nested
    inner class `In a large fleet` {
        private val all = fleet(5, 19)

        @Test
        fun `instances report to their data centre and two relays to those of the others`() {
            val relays = all.filter { targets(it, all).second.isNotEmpty() }
            expectThat(relays.size).isEqualTo(5 * ReportRoutes.RELAYS_PER_CENTRE)
            for (i in all) expectThat(targets(i, all).first.size).isEqualTo(18)
            for (i in relays) expectThat(targets(i, all).second.size).isEqualTo(4 * 2)
        }

        @Test
        fun `messages between data centres do not grow with the number of instances`() {
            fun far(perCentre: Int) = fleet(5, perCentre)
                .let { a -> a.sumOf { targets(it, a).second.size } }
            expectThat(far(60)).isEqualTo(far(6))
            expectThat(far(60)).isLessThan(100)
        }

        @Test
        fun `the next instance becomes a relay once one has gone silent`() {
            val third = InstanceId("i-0-002") to DataCentre("c0")
            val seen = seenBy(third, all).map {
                val hasGoneSilent = it.id == InstanceId("i-0-000")
                ReportRoutes.Candidate(it.id, it.dataCentre, it.isAlive && !hasGoneSilent)
            }
            expectThat(ReportRoutes(third.first, third.second).isRelay(seen)).isEqualTo(true)
        }

        @Test
        fun `all instances of a silent data centre are tried in rotation`() {
            val first = InstanceId("i-0-000") to DataCentre("c0")
            val seen = seenBy(first, all).map {
                ReportRoutes.Candidate(it.id, it.dataCentre, it.dataCentre == first.second)
            }
            val routes = ReportRoutes(first.first, first.second)
            val tried = (0 until 19).flatMapTo(HashSet()) { routes.remoteTargets(seen, it) }
            expectThat(tried.size).isEqualTo(4 * 19)
        }
    }
}
