package io.greengageport.gateway.state

import io.greengageport.common.HostPort
import io.greengageport.common.LayerRange
import io.greengageport.common.RunnerId
import io.greengageport.gateway.PLAIN
import io.greengageport.gateway.RecordedLog
import io.greengageport.gateway.SteppedClock
import io.greengageport.gateway.model.BackendServer
import io.greengageport.gateway.port.Change
import io.greengageport.gateway.port.EpochNumber
import io.greengageport.gateway.server
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

/**
 * Guards against sending work to servers that left, and against losing servers in a store outage.
 */
class BackendDirectoryTest {
    private val clock = SteppedClock()
    private val directory = BackendDirectory(clock, RecordedLog().log)

    private fun usableIds() = directory.usableServers(PLAIN).map { it.id.value }.sorted()

    private fun put(id: String, isLeaving: Boolean = false, startedAt: Long = 5) =
        Change.Put(id, server(id, isLeaving = isLeaving, startedAtMillis = startedAt))

    @Nested
    inner class `A server` {
        @Test
        fun `that announces that it is leaving gets no new work`() {
            directory.onChanges(listOf(put("x"), put("y"), put("x", isLeaving = true)))
            expectThat(usableIds()).isEqualTo(listOf("y"))
        }

        @Test
        fun `that is removed gets no new work`() {
            directory.onChanges(listOf(put("x"), Change.Removed("x")))
            expectThat(usableIds()).isEqualTo(emptyList())
        }

        @Test
        fun `with an unreadable entry gets no new work while others still do`() {
            directory.onChanges(listOf(put("x"), put("y"), Change.Unreadable("x", "no address")))
            expectThat(usableIds()).isEqualTo(listOf("y"))
        }

        @Test
        fun `keeps its latest start when an entry of an earlier start arrives late`() {
            directory.onChanges(listOf(put("x", startedAt = 9), put("x", true, startedAt = 5)))
            expectThat(usableIds()).isEqualTo(listOf("x"))
        }

        @Test
        fun `at a reused address is the one that started last`() {
            directory.onChanges(listOf(put("old", startedAt = 5), put("new", startedAt = 9)))
            expectThat(directory.findByAddress(HostPort("127.0.0.1", 1))?.id)
                .isEqualTo(RunnerId("new"))
        }
    }

    @Nested
    inner class `After a store outage` {
        @Test
        fun `an expired entry is kept until it is renewed`() {
            directory.onChanges(listOf(put("x")))
            directory.onRecovered(downMillis = 4_000)
            directory.onChanges(listOf(Change.Removed("x")))
            expectThat(usableIds()).isEqualTo(listOf("x"))
            clock.nowMillis += 1_000
            directory.onChanges(listOf(put("x")))
            clock.nowMillis += 5_000
            directory.expire()
            expectThat(usableIds()).isEqualTo(listOf("x"))
        }

        @Test
        fun `an entry that is not renewed within the grace period is removed`() {
            directory.onChanges(listOf(put("x")))
            directory.onRecovered(downMillis = 4_000)
            directory.onChanges(listOf(Change.Removed("x")))
            clock.nowMillis += 2_600
            directory.expire()
            expectThat(usableIds()).isEqualTo(emptyList())
        }

        /**
         * Guards against the loss of a running server whose renewal another instance has read: that
         * instance reports no renewal without a change.
         */
        @Test
        fun `the list is read again before servers without a renewal are removed`() {
            var checks = 0
            directory.onConfirmationDue = { checks++ }
            directory.onSnapshot(listOf(put("x"), put("y")), end = EpochNumber.of(1, 2))
            directory.onSnapshot(listOf(put("y")), end = EpochNumber.of(2, 1))
            clock.nowMillis += 1_500
            directory.expire()
            expectThat(checks).isEqualTo(0)
            clock.nowMillis += 500
            directory.expire()
            clock.nowMillis += 300
            directory.expire()
            expectThat(checks).isEqualTo(1)
            directory.onSnapshot(listOf(put("x"), put("y")), end = EpochNumber.of(2, 9))
            clock.nowMillis += 500
            directory.expire()
            expectThat(usableIds()).isEqualTo(listOf("x", "y"))
        }

        @Test
        fun `a leaving server gets no grace period`() {
            directory.onChanges(listOf(put("x", isLeaving = true)))
            directory.onRecovered(downMillis = 4_000)
            directory.onChanges(listOf(Change.Removed("x")))
            expectThat(directory.find(RunnerId("x")) == null).isTrue()
        }
    }

    @Test
    fun `a snapshot removes servers that it does not contain`() {
        directory.onChanges(listOf(put("x"), put("y")))
        directory.onSnapshot(listOf(put("y")), end = 2)
        expectThat(usableIds()).isEqualTo(listOf("y"))
    }

    @Test
    fun `a read that is older than a peer's change does not revert it`() {
        directory.onChanges(listOf(Change.Put("x", server("x", isLeaving = true), 20)))
        directory.onChanges(listOf(Change.Put("x", server("x"), 12)))
        expectThat(usableIds()).isEqualTo(emptyList())
    }

    @Nested
    inner class `An instance that has just started` {
        /**
         * Guards against a late report of a peer that permanently restores a server that has left.
         */
        @Test
        fun `ignores peer changes that are older than its snapshot`() {
            directory.onSnapshot(listOf(put("y")), end = 30)
            directory.onPeerChanges(listOf(Change.Put("x", server("x"), 20)))
            expectThat(usableIds()).isEqualTo(listOf("y"))
            directory.onPeerChanges(listOf(Change.Put("z", server("z"), 30)))
            expectThat(usableIds()).isEqualTo(listOf("y", "z"))
        }

        @Test
        fun `ignores peer changes before its first snapshot`() {
            directory.onPeerChanges(listOf(Change.Put("x", server("x"), 20)))
            expectThat(usableIds()).isEqualTo(emptyList())
        }
    }

    @Nested
    inner class `A server that announced in an answer that it is leaving` {
        @Test
        fun `gets no new work although the store lists it as ready`() {
            directory.onChanges(listOf(put("x"), put("y")))
            directory.onLeaving(RunnerId("x"), startedAtMillis = 5)
            directory.onChanges(listOf(put("x")))
            directory.onSnapshot(listOf(put("x"), put("y")), end = 9)
            expectThat(usableIds()).isEqualTo(listOf("y"))
        }

        @Test
        fun `gets no new work after its entry expired and reappeared`() {
            directory.onChanges(listOf(put("x")))
            directory.onLeaving(RunnerId("x"), startedAtMillis = 5)
            directory.onChanges(listOf(Change.Removed("x"), put("x")))
            expectThat(usableIds()).isEqualTo(emptyList())
        }

        @Test
        fun `gets work after a restart`() {
            directory.onChanges(listOf(put("x")))
            directory.onLeaving(RunnerId("x"), startedAtMillis = 5)
            directory.onChanges(listOf(put("x", startedAt = 6)))
            expectThat(usableIds()).isEqualTo(listOf("x"))
        }

        @Test
        fun `gets work if the answer came from an earlier start`() {
            directory.onChanges(listOf(put("x", startedAt = 6)))
            directory.onLeaving(RunnerId("x"), startedAtMillis = 5)
            expectThat(usableIds()).isEqualTo(listOf("x"))
        }
    }

    @Nested
    inner class `After a restore of the store` {
        private val leaving = listOf(put("x", isLeaving = true), put("y"))

        /** Guards against work for a server whose notice was lost with the last records. */
        @Test
        fun `a server that was leaving stays leaving although the copy lists it as ready`() {
            directory.onSnapshot(listOf(put("x"), put("y")), end = position(1, 2))
            directory.onChanges(leaving)
            directory.onSnapshot(listOf(put("x"), put("y")), end = position(2, 2))
            expectThat(usableIds()).isEqualTo(listOf("y"))
        }

        /** Guards against a peer that has read the copy, and against an entry that expired. */
        @Test
        fun `a server that was leaving stays leaving whatever source shows it as ready`() {
            directory.onSnapshot(leaving, end = position(1, 2))
            directory.onPeerChanges(listOf(Change.Put("x", server("x"), position(2, 2))))
            expectThat(usableIds()).isEqualTo(listOf("y"))
            directory.onChanges(listOf(Change.Removed("x", position(2, 3))))
            directory.onChanges(listOf(Change.Put("x", server("x"), position(2, 4))))
            expectThat(usableIds()).isEqualTo(listOf("y"))
        }

        @Test
        fun `a server that was leaving gets work after a restart`() {
            directory.onSnapshot(leaving, end = position(1, 2))
            directory.onSnapshot(listOf(put("x", startedAt = 6), put("y")), end = position(2, 1))
            expectThat(usableIds()).isEqualTo(listOf("x", "y"))
        }
    }

    /** An entry of x with layers up to [layersEnd], or without layers. */
    private fun entry(sequence: Long?, layersEnd: Int? = null, isLeaving: Boolean = false) =
        Change.Put(
            "x",
            server(
                "x",
                isLeaving = isLeaving,
                layers = layersEnd?.let { LayerRange(0, it) },
                sequence = sequence
            )
        )

    private fun layersEnd() = directory.find(RunnerId("x"))?.layers?.until

    @Nested
    inner class `An entry of a restored store that is older than the known one` {
        /** Guards against paths through layers that the server has replaced since the copy. */
        @Test
        fun `does not change what is known of the server`() {
            directory.onSnapshot(listOf(entry(3, layersEnd = 10)), end = position(1, 1))
            directory.onChanges(listOf(entry(5, layersEnd = 20)))
            directory.onSnapshot(listOf(entry(3, layersEnd = 10)), end = position(2, 1))
            expectThat(layersEnd()).isEqualTo(20)
            directory.onChanges(listOf(entry(4, layersEnd = 15)))
            expectThat(layersEnd()).isEqualTo(20)
            directory.onChanges(listOf(entry(6, layersEnd = 30)))
            expectThat(layersEnd()).isEqualTo(30)
        }

        /** Guards against an older entry that looks new since a copy repeated an even older one. */
        @Test
        fun `does not lower the known sequence if it has the known content`() {
            directory.onSnapshot(listOf(entry(3, layersEnd = 10)), end = position(1, 1))
            directory.onChanges(listOf(entry(5, layersEnd = 20), entry(9, layersEnd = 10)))
            directory.onSnapshot(listOf(entry(3, layersEnd = 10)), end = position(2, 1))
            directory.onChanges(listOf(entry(5, layersEnd = 20)))
            expectThat(layersEnd()).isEqualTo(10)
        }

        @Test
        fun `shows that the server is still listed`() {
            directory.onSnapshot(listOf(entry(5)), end = position(1, 1))
            directory.onRecovered(downMillis = 1_000)
            directory.onChanges(listOf(Change.Removed("x")))
            directory.onChanges(listOf(entry(3, layersEnd = 10)))
            clock.nowMillis += 10_000
            directory.expire()
            expectThat(usableIds()).isEqualTo(listOf("x"))
            expectThat(layersEnd()).isEqualTo(null)
        }

        /** Guards against an older state that is taken over since peers state no sequence. */
        @Test
        fun `does not change what a peer reported of the server`() {
            directory.onSnapshot(listOf(entry(3, layersEnd = 10)), end = position(1, 1))
            directory.onPeerChanges(
                listOf(Change.Put("x", entry(null, layersEnd = 20).value, position(1, 5)))
            )
            directory.onSnapshot(listOf(entry(3, layersEnd = 10)), end = position(2, 1))
            expectThat(layersEnd()).isEqualTo(20)
            directory.onChanges(listOf(entry(5, layersEnd = 25)))
            expectThat(layersEnd()).isEqualTo(25)
        }

        /** Guards against a state that never returns to that of the list. */
        @Test
        fun `is in force if the list still has it six seconds later`() {
            directory.onSnapshot(listOf(entry(5, layersEnd = 20)), end = position(1, 1))
            directory.onSnapshot(listOf(entry(3, layersEnd = 10)), end = position(2, 1))
            clock.nowMillis += 6_100
            directory.onSnapshot(listOf(entry(3, layersEnd = 10)), end = position(2, 3))
            expectThat(layersEnd()).isEqualTo(10)
        }
    }

    @Nested
    inner class `A server that was gone before a restore` {
        private fun restoredWith(entry: Change.Put<BackendServer>, knownSequence: Long? = 5) {
            directory.onSnapshot(listOf(entry(knownSequence)), end = position(1, 1))
            directory.onChanges(listOf(Change.Removed("x", position(1, 2))))
            directory.onSnapshot(listOf(entry, put("y")), end = position(2, 2))
        }

        /** Guards against work for a server that has left and stands in the copy again. */
        @Test
        fun `gets no work while it may be listed only by the copy`() {
            restoredWith(entry(5))
            expectThat(usableIds()).isEqualTo(listOf("y"))
            clock.nowMillis += 3_600
            directory.onChanges(listOf(Change.Removed("x", position(2, 3))))
            clock.nowMillis += 10_000
            directory.expire()
            expectThat(usableIds()).isEqualTo(listOf("y"))
        }

        @Test
        fun `gets work if its entry is newer than the last known one`() {
            restoredWith(entry(6))
            expectThat(usableIds()).isEqualTo(listOf("x", "y"))
        }

        @Test
        fun `gets work after a restart`() {
            restoredWith(put("x", startedAt = 6))
            expectThat(usableIds()).isEqualTo(listOf("x", "y"))
        }

        /** Guards against a running server that is never used again. */
        @Test
        fun `gets work if it is still listed six seconds later`() {
            var checks = 0
            directory.onConfirmationDue = { checks++ }
            restoredWith(entry(null), knownSequence = null)
            clock.nowMillis += 5_000
            directory.expire()
            expectThat(checks).isEqualTo(0)
            clock.nowMillis += 1_100
            directory.expire()
            directory.expire()
            expectThat(checks).isEqualTo(1)
            expectThat(usableIds()).isEqualTo(listOf("y"))
            directory.onSnapshot(listOf(entry(null), put("y")), end = position(2, 4))
            expectThat(usableIds()).isEqualTo(listOf("x", "y"))
        }

        /**
         * Guards against a running server that is never used again, since each heartbeat changes
         * the sequence of its entry.
         */
        @Test
        fun `gets work six seconds later although its sequence has changed`() {
            restoredWith(entry(7), knownSequence = null)
            clock.nowMillis += 6_100
            directory.onSnapshot(listOf(entry(12), put("y")), end = position(2, 9))
            expectThat(usableIds()).isEqualTo(listOf("x", "y"))
        }

        /** Guards against a removal that another instance saw and did not report. */
        @Test
        fun `gets no work if it is not listed six seconds later`() {
            restoredWith(entry(5))
            clock.nowMillis += 6_100
            directory.expire()
            directory.onSnapshot(listOf(put("y")), end = position(2, 4))
            expectThat(usableIds()).isEqualTo(listOf("y"))
        }

        @Test
        fun `gets no work after a second restore until it is confirmed`() {
            restoredWith(entry(5))
            clock.nowMillis += 5_000
            directory.onSnapshot(listOf(entry(5), put("y")), end = position(3, 2))
            clock.nowMillis += 2_000
            directory.onSnapshot(listOf(entry(5), put("y")), end = position(3, 2))
            expectThat(usableIds()).isEqualTo(listOf("y"))
        }

        @Test
        fun `gets no work in the same start if it was leaving`() {
            directory.onSnapshot(listOf(entry(5, isLeaving = true)), end = position(1, 1))
            directory.onChanges(listOf(Change.Removed("x", position(1, 2))))
            directory.onSnapshot(listOf(entry(4)), end = position(2, 1))
            clock.nowMillis += 6_100
            directory.onSnapshot(listOf(entry(4)), end = position(2, 1))
            expectThat(usableIds()).isEqualTo(emptyList())
        }

        @Test
        fun `gets work at once if it is written after it was removed in the new epoch`() {
            restoredWith(entry(5))
            directory.onChanges(listOf(Change.Removed("x", position(2, 3))))
            directory.onChanges(listOf(Change.Put("x", entry(5).value, position(2, 4))))
            expectThat(usableIds()).isEqualTo(listOf("x", "y"))
        }
    }

    /** Guards against losing servers that appeared shortly before a restore. */
    @Test
    fun `a server that the copy lacks is kept for a while without a recognised outage`() {
        directory.onSnapshot(listOf(put("x"), put("y")), end = position(1, 2))
        directory.onSnapshot(listOf(put("y")), end = position(2, 1))
        expectThat(usableIds()).isEqualTo(listOf("x", "y"))
        clock.nowMillis += 2_600
        directory.expire()
        expectThat(usableIds()).isEqualTo(listOf("y"))
    }

    /** Guards against peer changes that are compared across epochs by their offsets. */
    @Test
    fun `peer changes of the new epoch apply and late ones of the old do not`() {
        directory.onSnapshot(listOf(put("x")), end = position(1, 90))
        directory.onPeerChanges(listOf(Change.Put("x", server("x"), position(1, 95))))
        directory.onSnapshot(listOf(put("x")), end = position(2, 80))
        directory.onPeerChanges(
            listOf(
                Change.Removed("x", position(1, 99)),
                Change.Put("z", server("z"), position(2, 81))
            )
        )
        expectThat(usableIds()).isEqualTo(listOf("x", "z"))
        clock.nowMillis += 3_000
        directory.onPeerChanges(listOf(Change.Removed("x", position(2, 82))))
        expectThat(usableIds()).isEqualTo(listOf("z"))
    }

    /** Guards against a report to all peers for each renewal of an entry. */
    @Test
    fun `an entry that differs only in its sequence is no change`() {
        var changes = 0
        directory.onChanged = { _, _, _ -> changes++ }
        directory.onChanges(listOf(entry(3), entry(4), entry(null)))
        expectThat(changes).isEqualTo(1)
        expectThat(directory.find(RunnerId("x"))?.sequence).isEqualTo(4)
    }

    private fun position(epoch: Long, offset: Long) = EpochNumber.of(epoch, offset)

    @Test
    fun `is not loaded before the first snapshot`() {
        expectThat(directory.isLoaded).isFalse()
    }
}
