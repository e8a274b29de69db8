package io.greengageport.gateway.state

import io.greengageport.common.HostPort
import io.greengageport.common.RunnerId
import io.greengageport.gateway.PLAIN
import io.greengageport.gateway.RecordedLog
import io.greengageport.gateway.SteppedClock
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
            directory.onSnapshot(listOf(put("x", startedAt = 6)), end = position(2, 1))
            expectThat(usableIds()).isEqualTo(listOf("x"))
        }
    }

    private fun position(epoch: Long, offset: Long) = EpochNumber.of(epoch, offset)

    @Test
    fun `is not loaded before the first snapshot`() {
        expectThat(directory.isLoaded).isFalse()
    }
}
