package io.greengageport.gateway.state

import io.greengageport.common.HostPort
import io.greengageport.common.RunnerId
import io.greengageport.gateway.PLAIN
import io.greengageport.gateway.RecordedLog
import io.greengageport.gateway.SteppedClock
import io.greengageport.gateway.port.Change
import io.greengageport.gateway.server
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

/** Guards against work for servers that left, and against servers forgotten with the store. */
class BackendDirectoryTest {
    private val clock = SteppedClock()
    private val directory = BackendDirectory(clock, RecordedLog().log)

    private fun usable() = directory.usable(PLAIN).map { it.id.value }.sorted()

    private fun put(id: String, isLeaving: Boolean = false, startedAt: Long = 5) =
        Change.Put(id, server(id, isLeaving = isLeaving, startedAtMillis = startedAt))

    @Nested
    inner class `A server` {
        @Test
        fun `that announces its end gets no more work`() {
            directory.onChanges(listOf(put("x"), put("y"), put("x", isLeaving = true)))
            expectThat(usable()).isEqualTo(listOf("y"))
        }

        @Test
        fun `that is removed gets no more work at once`() {
            directory.onChanges(listOf(put("x"), Change.Removed("x")))
            expectThat(usable()).isEqualTo(emptyList())
        }

        @Test
        fun `whose entry became unreadable gets no more work, and others do`() {
            directory.onChanges(listOf(put("x"), put("y"), Change.Unreadable("x", "no address")))
            expectThat(usable()).isEqualTo(listOf("y"))
        }

        @Test
        fun `is known by its last start, and a late entry of an earlier one is ignored`() {
            directory.onChanges(listOf(put("x", startedAt = 9), put("x", true, startedAt = 5)))
            expectThat(usable()).isEqualTo(listOf("x"))
        }

        @Test
        fun `at an address that is used again is the one that started last`() {
            directory.onChanges(listOf(put("old", startedAt = 5), put("new", startedAt = 9)))
            expectThat(directory.at(HostPort("127.0.0.1", 1))?.id).isEqualTo(RunnerId("new"))
        }
    }

    @Nested
    inner class `After an outage of the store` {
        @Test
        fun `an entry that lapsed meanwhile is kept until it is renewed`() {
            directory.onChanges(listOf(put("x")))
            directory.onRegained(downMillis = 4_000)
            directory.onChanges(listOf(Change.Removed("x")))
            expectThat(usable()).isEqualTo(listOf("x"))
            clock.nowMillis += 1_000
            directory.onChanges(listOf(put("x")))
            clock.nowMillis += 5_000
            directory.expire()
            expectThat(usable()).isEqualTo(listOf("x"))
        }

        @Test
        fun `an entry that is not renewed in time is taken as gone`() {
            directory.onChanges(listOf(put("x")))
            directory.onRegained(downMillis = 4_000)
            directory.onChanges(listOf(Change.Removed("x")))
            clock.nowMillis += 2_600
            directory.expire()
            expectThat(usable()).isEqualTo(emptyList())
        }

        @Test
        fun `a server that had announced its end is not kept`() {
            directory.onChanges(listOf(put("x", isLeaving = true)))
            directory.onRegained(downMillis = 4_000)
            directory.onChanges(listOf(Change.Removed("x")))
            expectThat(directory.find(RunnerId("x")) == null).isTrue()
        }
    }

    @Test
    fun `a snapshot removes what it lacks`() {
        directory.onChanges(listOf(put("x"), put("y")))
        directory.onSnapshot(listOf(put("y")), end = 2)
        expectThat(usable()).isEqualTo(listOf("y"))
    }

    @Test
    fun `an own read that a peer's news has overtaken changes nothing back`() {
        directory.onChanges(listOf(Change.Put("x", server("x", isLeaving = true), 20)))
        directory.onChanges(listOf(Change.Put("x", server("x"), 12)))
        expectThat(usable()).isEqualTo(emptyList())
    }

    @Nested
    inner class `An instance that has just started` {
        /** Guards against a server that left and that a peer's late report brings back for good. */
        @Test
        fun `takes no older change from a peer than its own snapshot`() {
            directory.onSnapshot(listOf(put("y")), end = 30)
            directory.onPeerChanges(listOf(Change.Put("x", server("x"), 20)))
            expectThat(usable()).isEqualTo(listOf("y"))
            directory.onPeerChanges(listOf(Change.Put("z", server("z"), 30)))
            expectThat(usable()).isEqualTo(listOf("y", "z"))
        }

        @Test
        fun `takes nothing from peers before its own snapshot`() {
            directory.onPeerChanges(listOf(Change.Put("x", server("x"), 20)))
            expectThat(usable()).isEqualTo(emptyList())
        }
    }

    @Nested
    inner class `A server that said in an answer that it leaves` {
        @Test
        fun `gets no more work, though the store lists it as ready`() {
            directory.onChanges(listOf(put("x"), put("y")))
            directory.onLeaving(RunnerId("x"), startedAtMillis = 5)
            directory.onChanges(listOf(put("x")))
            directory.onSnapshot(listOf(put("x"), put("y")), end = 9)
            expectThat(usable()).isEqualTo(listOf("y"))
        }

        @Test
        fun `gets none after its entry lapsed and came back`() {
            directory.onChanges(listOf(put("x")))
            directory.onLeaving(RunnerId("x"), startedAtMillis = 5)
            directory.onChanges(listOf(Change.Removed("x"), put("x")))
            expectThat(usable()).isEqualTo(emptyList())
        }

        @Test
        fun `gets work after it started anew`() {
            directory.onChanges(listOf(put("x")))
            directory.onLeaving(RunnerId("x"), startedAtMillis = 5)
            directory.onChanges(listOf(put("x", startedAt = 6)))
            expectThat(usable()).isEqualTo(listOf("x"))
        }

        @Test
        fun `gets work if the answer was of an earlier start`() {
            directory.onChanges(listOf(put("x", startedAt = 6)))
            directory.onLeaving(RunnerId("x"), startedAtMillis = 5)
            expectThat(usable()).isEqualTo(listOf("x"))
        }
    }

    @Test
    fun `is not known before the first snapshot`() {
        expectThat(directory.isKnown).isFalse()
    }
}
