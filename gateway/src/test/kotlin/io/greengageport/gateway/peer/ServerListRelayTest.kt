package io.greengageport.gateway.peer

import io.greengageport.common.LayerRange
import io.greengageport.common.RunnerId
import io.greengageport.gateway.MODEL
import io.greengageport.gateway.SteppedClock
import io.greengageport.gateway.port.Change
import io.greengageport.gateway.server
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

/** Guards against a server that left and that some instance still sends work to. */
class ServerListRelayTest {
    private val clock = SteppedClock()
    private var isReader = false
    private val relay = ServerListRelay(clock, { isReader }, readMillis = 800, freshMillis = 1_400)

    private fun news(from: Long, until: Long, vararg changes: ServerChange) =
        ServerNews(from, until, changes.toList())

    @Nested
    inner class `An instance that is told of changes` {
        @Test
        fun `reads seldom while the reader's list is fresh`() {
            relay.onReport(ageMillis = 100, news(1, 5), position = 5)
            expectThat(relay.pauseMillis).isEqualTo(30_000)
        }

        @Test
        fun `reads itself as soon as the reader falls silent`() {
            relay.onReport(ageMillis = 100, news(1, 5), position = 5)
            clock.nowMillis += 1_300
            expectThat(relay.pauseMillis).isEqualTo(800)
        }

        @Test
        fun `reads itself when the reader is cut off from the store and says so`() {
            relay.onReport(ageMillis = 100, news(1, 5), position = 5)
            clock.nowMillis += 1_200
            relay.onReport(ageMillis = 1_300, news(1, 5), position = 5)
            clock.nowMillis += 150
            expectThat(relay.pauseMillis).isEqualTo(800)
        }

        @Test
        fun `takes the changes over as they were read`() {
            val entry = server("x", MODEL, isLeaving = true, layers = LayerRange(3, 9))
            isReader = true
            relay.onOwnChange(RunnerId("x"), entry, 17)
            relay.onOwnChange(RunnerId("y"), null, 18)
            relay.onOwnRead(from = 10, until = 20)
            val received = relay.onReport(0, relay.toTell(), position = 12)
            expectThat(received).isEqualTo(
                NewsEnd.Taken(
                    listOf(Change.Put("x", entry, 17), Change.Removed("y", 18)),
                    until = 20
                )
            )
        }

        /** Guards against a change in a lost report that no later one tells of. */
        @Test
        fun `reads the list itself if news were missed, and does not take it for fresh`() {
            val end = relay.onReport(100, news(30, 40), position = 20)
            expectThat(end).isEqualTo(NewsEnd.Missed)
            expectThat(relay.isSpared).isEqualTo(false)
        }

        @Test
        fun `takes nothing before its own snapshot`() {
            expectThat(relay.onReport(100, news(1, 40), position = null)).isEqualTo(NewsEnd.Known)
            expectThat(relay.isSpared).isEqualTo(false)
        }
    }

    @Nested
    inner class `The reader` {
        /** Guards against a fleet of 60 in which all instances read the list at the store. */
        @Test
        fun `reports each read at once, with or without news`() {
            expectThat(relay.isReportDue).isEqualTo(false)
            isReader = true
            relay.onOwnRead(from = 1, until = 2)
            expectThat(relay.isReportDue).isEqualTo(true)
        }

        @Test
        fun `tells a change again for a while, as reports may be lost`() {
            isReader = true
            relay.onOwnChange(RunnerId("x"), server("x"), 1)
            relay.onOwnRead(from = 1, until = 10)
            expectThat(relay.toTell()?.changes.orEmpty()).hasSize(1)
            clock.nowMillis += 3_000
            relay.onOwnRead(from = 10, until = 20)
            expectThat(relay.toTell()?.from).isEqualTo(1)
            expectThat(relay.toTell()?.changes.orEmpty()).hasSize(1)
            clock.nowMillis += 2_000
            relay.onOwnRead(from = 20, until = 30)
            expectThat(relay.toTell()?.from).isEqualTo(10)
            expectThat(relay.toTell()?.changes.orEmpty()).isEmpty()
        }

        @Test
        fun `that loses its duty tells nothing more`() {
            isReader = true
            relay.onOwnRead(from = 1, until = 2)
            isReader = false
            relay.onOwnChange(RunnerId("x"), server("x"), 1)
            expectThat(relay.readAgeMillis()).isNull()
            expectThat(relay.toTell()).isNull()
        }

        /** Guards against reports of 40 KB to 94 peers when 221 servers are listed at the start. */
        @Test
        fun `does not tell what a snapshot shows, and no more than fits into a report`() {
            isReader = true
            repeat(221) { relay.onOwnChange(RunnerId("s$it"), server("s$it"), it.toLong()) }
            relay.onOwnRead(from = null, until = 221)
            expectThat(relay.toTell()).isNull()
            repeat(100) { relay.onOwnChange(RunnerId("s$it"), server("s$it"), 221L + it) }
            relay.onOwnRead(from = 221, until = 321)
            val told = relay.toTell()
            expectThat(told?.changes.orEmpty()).isEmpty()
            // Who lacks these changes is told to read them.
            expectThat(relay.onReport(0, told, position = 221)).isEqualTo(NewsEnd.Missed)
        }
    }

    @Nested
    inner class `A relay between data centres` {
        private val far =
            ServerListRelay(clock, { false }, readMillis = 800, freshMillis = 1_400) { true }

        @Test
        fun `passes on what it heard last, at once and with its age`() {
            far.onReport(100, news(1, 5), position = 5)
            expectThat(far.isReportDue).isEqualTo(true)
            clock.nowMillis += 200
            expectThat(far.readAgeMillis()).isEqualTo(300)
            expectThat(far.toTell()?.until).isEqualTo(5)
            far.onReport(300, news(1, 5), position = 5)
            expectThat(far.isReportDue).isEqualTo(false)
        }

        /** Guards against far instances that read the list themselves while nothing changes. */
        @Test
        fun `passes on that a read found nothing new, once`() {
            far.onReport(100, news(1, 5), position = 5)
            far.toTell()
            clock.nowMillis += 1_600
            far.onReport(100, news(1, 5), position = 5)
            expectThat(far.isReportDue).isEqualTo(true)
            expectThat(far.readAgeMillis()).isEqualTo(100)
            far.toTell()
            clock.nowMillis += 20
            far.onReport(110, news(1, 5), position = 5)
            expectThat(far.isReportDue).isEqualTo(false)
        }

        @Test
        fun `passes nothing on that is old`() {
            far.onReport(100, news(1, 5), position = 5)
            clock.nowMillis += 4_000
            expectThat(far.toTell()).isNull()
        }
    }
}
