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

    @Nested
    inner class `An instance that is told of changes` {
        @Test
        fun `reads seldom while the reader's list is fresh`() {
            relay.onReport(ageMillis = 100, changes = emptyList())
            expectThat(relay.pauseMillis).isEqualTo(10_000)
        }

        @Test
        fun `reads itself as soon as the reader falls silent`() {
            relay.onReport(ageMillis = 100, changes = emptyList())
            clock.nowMillis += 1_300
            expectThat(relay.pauseMillis).isEqualTo(800)
        }

        @Test
        fun `reads itself when the reader is cut off from the store and says so`() {
            relay.onReport(ageMillis = 100, changes = emptyList())
            clock.nowMillis += 1_200
            relay.onReport(ageMillis = 1_300, changes = emptyList())
            clock.nowMillis += 150
            expectThat(relay.pauseMillis).isEqualTo(800)
        }

        @Test
        fun `takes the changes over as they were read`() {
            val entry = server("x", MODEL, isLeaving = true, layers = LayerRange(3, 9))
            isReader = true
            relay.onOwnChange(RunnerId("x"), entry, 17)
            relay.onOwnChange(RunnerId("y"), null, 18)
            val received = relay.onReport(0, relay.toTell())
            expectThat(received).isEqualTo(
                listOf(Change.Put("x", entry, 17), Change.Removed("y", 18))
            )
        }
    }

    @Nested
    inner class `The reader` {
        /** Guards against a fleet of 60 in which all instances read the list at the store. */
        @Test
        fun `reports each read at once, with or without news`() {
            expectThat(relay.isReportDue).isEqualTo(false)
            isReader = true
            relay.onOwnRead()
            expectThat(relay.isReportDue).isEqualTo(true)
        }

        @Test
        fun `tells a change again for a while, as reports may be lost`() {
            isReader = true
            relay.onOwnChange(RunnerId("x"), server("x"), 1)
            expectThat(relay.toTell()).hasSize(1)
            clock.nowMillis += 3_000
            expectThat(relay.toTell()).hasSize(1)
            clock.nowMillis += 2_000
            expectThat(relay.toTell()).isEmpty()
        }

        @Test
        fun `that loses its duty tells nothing more`() {
            isReader = true
            relay.onOwnRead()
            isReader = false
            relay.onOwnChange(RunnerId("x"), server("x"), 1)
            expectThat(relay.readAgeMillis()).isNull()
            expectThat(relay.toTell()).isEmpty()
        }
    }
}
