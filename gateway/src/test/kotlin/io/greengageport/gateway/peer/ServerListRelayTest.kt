package io.greengageport.gateway.peer

import io.greengageport.common.InstanceId
import io.greengageport.common.LayerRange
import io.greengageport.common.RunnerId
import io.greengageport.gateway.MODEL
import io.greengageport.gateway.SteppedClock
import io.greengageport.gateway.port.Change
import io.greengageport.gateway.port.EpochNumber
import io.greengageport.gateway.server
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.cbor.CborArray
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

/** Guards against instances that still send work to a server that left. */
class ServerListRelayTest {
    private val clock = SteppedClock()
    private val reader = InstanceId("reader")
    private var isReader = false
    private val relay =
        ServerListRelay(clock, { isReader }, readIntervalMillis = 800, freshnessMillis = 1_400)

    private fun delta(from: Long, until: Long, vararg changes: ServerChange) =
        ServerListDelta(from, until, changes.toList())

    @Nested
    inner class `An instance that receives changes` {
        @Test
        fun `reads rarely while the reader's list is fresh`() {
            relay.onReport(reader, ageMillis = 100, delta(1, 5), position = 5)
            expectThat(relay.pauseMillis).isEqualTo(30_000)
        }

        /** Guards against an instance that never reads the list again and misses later changes. */
        @Test
        fun `does not believe a read from the future or changes beyond its end`() {
            relay.onReport(reader, ageMillis = -1_000_000_000, delta(1, 5), position = 5)
            expectThat(relay.hasFreshPeerRead).isEqualTo(false)
            val change = ServerChange("x", Long.MAX_VALUE, null)
            expectThat(relay.onReport(reader, ageMillis = 0, delta(1, 9, change), position = 5))
                .isEqualTo(DeltaOutcome.Applicable(emptyList(), until = 9))
        }

        @Test
        fun `reads at the short interval once the reader goes silent`() {
            relay.onReport(reader, ageMillis = 100, delta(1, 5), position = 5)
            clock.nowMillis += 1_300
            expectThat(relay.pauseMillis).isEqualTo(800)
        }

        @Test
        fun `reads at the short interval once the reported read is too old`() {
            relay.onReport(reader, ageMillis = 100, delta(1, 5), position = 5)
            clock.nowMillis += 1_200
            relay.onReport(reader, ageMillis = 1_300, delta(1, 5), position = 5)
            clock.nowMillis += 150
            expectThat(relay.pauseMillis).isEqualTo(800)
        }

        @Test
        fun `applies the changes as they were read`() {
            val entry = server("x", MODEL, isLeaving = true, layers = LayerRange(3, 9))
            isReader = true
            relay.onOwnChange(RunnerId("x"), entry, 17)
            relay.onOwnChange(RunnerId("y"), null, 18)
            relay.onOwnRead(from = 10, until = 20)
            val outcome = relay.onReport(reader, 0, relay.deltaToReport(), position = 12)
            expectThat(outcome).isEqualTo(
                DeltaOutcome.Applicable(
                    listOf(Change.Put("x", entry, 17), Change.Removed("y", 18)),
                    until = 20
                )
            )
        }

        /** Guards against a change that was lost with a report and is not repeated. */
        @Test
        fun `has to read the list after a gap and does not consider it fresh`() {
            val outcome = relay.onReport(reader, 100, delta(30, 40), position = 20)
            expectThat(outcome).isEqualTo(DeltaOutcome.Gap)
            expectThat(relay.hasFreshPeerRead).isEqualTo(false)
        }

        /** Guards against a list that is not read although the reader has not seen the restore. */
        @Test
        fun `ignores a delta of an epoch before the last restore`() {
            val known = EpochNumber.of(2, 3)
            val old = delta(EpochNumber.of(1, 2), EpochNumber.of(1, 9))
            expectThat(relay.onReport(reader, 100, old, known)).isEqualTo(DeltaOutcome.UpToDate)
            expectThat(relay.hasFreshPeerRead).isEqualTo(false)
        }

        /** Guards against an instance that waits for its next read to notice a restore. */
        @Test
        fun `has to read the list when a delta is of a later epoch`() {
            val late = delta(EpochNumber.of(2, 1), EpochNumber.of(2, 2))
            val outcome = relay.onReport(reader, 100, late, EpochNumber.of(1, 9))
            expectThat(outcome).isEqualTo(DeltaOutcome.Gap)
            expectThat(relay.hasFreshPeerRead).isEqualTo(false)
        }

        @Test
        fun `has to read the list when a delta spans a restore`() {
            val crossing = delta(EpochNumber.of(1, 1), EpochNumber.of(2, 2))
            val outcome = relay.onReport(reader, 100, crossing, EpochNumber.of(1, 9))
            expectThat(outcome).isEqualTo(DeltaOutcome.Gap)
            expectThat(relay.hasFreshPeerRead).isEqualTo(false)
        }

        @Test
        fun `ignores changes before its own snapshot`() {
            expectThat(relay.onReport(reader, 100, delta(1, 40), position = null))
                .isEqualTo(DeltaOutcome.UpToDate)
            expectThat(relay.hasFreshPeerRead).isEqualTo(false)
        }
    }

    @Nested
    inner class `The reader` {
        /** Guards against a fleet of 60 in which all instances read the list from the store. */
        @Test
        fun `reports each read at once, even without changes`() {
            expectThat(relay.isReportDue).isEqualTo(false)
            isReader = true
            relay.onOwnRead(from = 1, until = 2)
            expectThat(relay.isReportDue).isEqualTo(true)
        }

        /**
         * Guards against peers that use a removed server for ever: the removal was read during the
         * grace period after an outage and took effect after the position of its record was passed.
         */
        @Test
        fun `reports a change that takes effect after it was read`() {
            isReader = true
            relay.onOwnRead(from = 10, until = 20)
            relay.onOwnChange(RunnerId("x"), null, 14)
            relay.onOwnRead(from = 20, until = 20)
            relay.onOwnRead(from = 20, until = 30)
            val outcome = relay.onReport(reader, 0, relay.deltaToReport(), position = 20)
            expectThat(outcome).isEqualTo(
                DeltaOutcome.Applicable(listOf(Change.Removed("x", 29)), until = 30)
            )
        }

        /** Guards against a late change that misses a peer which has just read the list itself. */
        @Test
        fun `repeats a late change until a newer one of the server`() {
            isReader = true
            relay.onOwnRead(from = 10, until = 20)
            relay.onOwnChange(RunnerId("x"), null, 14)
            relay.onOwnRead(from = 20, until = 30)
            relay.onOwnRead(from = 30, until = 40)
            expectThat(relay.onReport(reader, 0, relay.deltaToReport(), position = 30)).isEqualTo(
                DeltaOutcome.Applicable(listOf(Change.Removed("x", 39)), until = 40)
            )
            relay.onOwnChange(RunnerId("x"), server("x"), 45)
            relay.onOwnRead(from = 40, until = 50)
            expectThat(relay.onReport(reader, 0, relay.deltaToReport(), position = 40)).isEqualTo(
                DeltaOutcome.Applicable(listOf(Change.Put("x", server("x"), 45)), until = 50)
            )
        }

        @Test
        fun `repeats a change for a while because reports may be lost`() {
            isReader = true
            relay.onOwnChange(RunnerId("x"), server("x"), 1)
            relay.onOwnRead(from = 1, until = 10)
            expectThat(relay.deltaToReport()?.changes.orEmpty()).hasSize(1)
            clock.nowMillis += 3_000
            relay.onOwnRead(from = 10, until = 20)
            expectThat(relay.deltaToReport()?.from).isEqualTo(1)
            expectThat(relay.deltaToReport()?.changes.orEmpty()).hasSize(1)
            clock.nowMillis += 2_000
            relay.onOwnRead(from = 20, until = 30)
            expectThat(relay.deltaToReport()?.from).isEqualTo(10)
            expectThat(relay.deltaToReport()?.changes.orEmpty()).isEmpty()
        }

        @Test
        fun `stops reporting when it loses its duty`() {
            isReader = true
            relay.onOwnRead(from = 1, until = 2)
            isReader = false
            relay.onOwnChange(RunnerId("x"), server("x"), 1)
            expectThat(relay.readAgeMillis()).isNull()
            expectThat(relay.deltaToReport()).isNull()
        }

        /** Guards against reports of 40 KB to 94 peers when 221 servers are listed at the start. */
        @Test
        fun `omits the changes of a snapshot and those that exceed a report`() {
            isReader = true
            repeat(221) { relay.onOwnChange(RunnerId("s$it"), server("s$it"), it.toLong()) }
            relay.onOwnRead(from = null, until = 221)
            expectThat(relay.deltaToReport()).isNull()
            repeat(100) { relay.onOwnChange(RunnerId("s$it"), server("s$it"), 221L + it) }
            relay.onOwnRead(from = 221, until = 321)
            val reported = relay.deltaToReport()
            expectThat(reported?.changes.orEmpty()).isEmpty()
            // An instance that lacks these changes detects the gap and reads the list.
            expectThat(
                relay.onReport(reader, 0, reported, position = 221)
            ).isEqualTo(DeltaOutcome.Gap)
        }
    }

    @Nested
    inner class `A relay between data centres` {
        private val forwarder =
            ServerListRelay(
                clock,
                { false },
                readIntervalMillis = 800,
                freshnessMillis = 1_400
            ) { true }

        @Test
        fun `forwards the last delta at once with its age`() {
            forwarder.onReport(reader, 100, delta(1, 5), position = 5)
            expectThat(forwarder.isReportDue).isEqualTo(true)
            clock.nowMillis += 200
            expectThat(forwarder.readAgeMillis()).isEqualTo(300)
            expectThat(forwarder.deltaToReport()?.until).isEqualTo(5)
            forwarder.onReport(reader, 300, delta(1, 5), position = 5)
            expectThat(forwarder.isReportDue).isEqualTo(false)
        }

        /**
         * Guards against instances in other data centres that read the list themselves while it is
         * unchanged.
         */
        @Test
        fun `forwards a read without changes once`() {
            forwarder.onReport(reader, 100, delta(1, 5), position = 5)
            forwarder.deltaToReport()
            clock.nowMillis += 1_600
            forwarder.onReport(reader, 100, delta(1, 5), position = 5)
            expectThat(forwarder.isReportDue).isEqualTo(true)
            expectThat(forwarder.readAgeMillis()).isEqualTo(100)
            forwarder.deltaToReport()
            clock.nowMillis += 20
            forwarder.onReport(reader, 110, delta(1, 5), position = 5)
            expectThat(forwarder.isReportDue).isEqualTo(false)
        }

        /**
         * Guards against relays that each accept the other's report of the same read as a newer
         * one, and against one that forwards no read of a new reader.
         */
        @Test
        fun `accepts a read without changes only from the sender of the first`() {
            forwarder.onReport(reader, 100, delta(1, 5), position = 5)
            forwarder.onReportRequested()
            clock.nowMillis += 1_300
            forwarder.onReport(InstanceId("other"), 100, delta(1, 5), position = 5)
            expectThat(forwarder.isReportDue).isEqualTo(false)
            clock.nowMillis += 100
            expectThat(forwarder.hasFreshPeerRead).isEqualTo(false)
            forwarder.onReport(InstanceId("other"), 100, delta(5, 6), position = 5)
            expectThat(forwarder.isReportDue).isEqualTo(true)
            expectThat(forwarder.hasFreshPeerRead).isEqualTo(true)
        }

        /** Guards against a late repetition of a read that makes the list appear fresh. */
        @Test
        fun `a repeated read does not extend the freshness`() {
            forwarder.onReport(reader, 100, delta(1, 5), position = 5)
            clock.nowMillis += 500
            forwarder.onReport(reader, 300, delta(1, 5), position = 5)
            clock.nowMillis += 800
            expectThat(forwarder.hasFreshPeerRead).isEqualTo(false)
        }

        @Test
        fun `forwards nothing that is outdated`() {
            forwarder.onReport(reader, 100, delta(1, 5), position = 5)
            clock.nowMillis += 4_000
            expectThat(forwarder.deltaToReport()).isNull()
        }
    }

    /** The entry of a server as instances of the previous version send it. */
    @Serializable
    @CborArray
    private class PreviousServerEntry(
        val service: String,
        val address: String,
        val dataCentre: String,
        val slots: Int,
        val isLeaving: Boolean,
        val startedAtMillis: Long,
        val accelerator: String?,
        val layers: LayerRange?,
        val modelVersion: Long?
    )

    @Nested
    inner class `The entry of a server` {
        /**
         * Guards against an entry of a restored store that is taken for a newer one, or for an older
         * one for seconds, because a peer's report did not say which write of the server it shows.
         */
        @Test
        fun `keeps its sequence in a report`() {
            val entry = server("x", MODEL, layers = LayerRange(3, 9)).copy(sequence = 12)
            isReader = true
            relay.onOwnChange(RunnerId("x"), entry, 17)
            relay.onOwnRead(from = 10, until = 20)
            val bytes = Cbor.encodeToByteArray(checkNotNull(relay.deltaToReport()))
            val received = Cbor.decodeFromByteArray<ServerListDelta>(bytes)
            expectThat(relay.onReport(reader, 0, received, position = 12)).isEqualTo(
                DeltaOutcome.Applicable(listOf(Change.Put("x", entry, 17)), until = 20)
            )
        }

        /** Guards against reports that cannot be read during an upgrade. */
        @Test
        fun `of an instance of the previous version has no sequence`() {
            val previous = PreviousServerEntry("s", "127.0.0.1:1", "z", 4, true, 5, "k", null, 7)
            val bytes = Cbor.encodeToByteArray(previous)
            val received = Cbor.decodeFromByteArray<ServerEntry>(bytes)
            expectThat(received.sequence).isNull()
            expectThat(received.modelVersion).isEqualTo(7)
        }
    }
}
