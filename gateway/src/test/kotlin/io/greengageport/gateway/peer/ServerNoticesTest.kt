package io.greengageport.gateway.peer

import io.greengageport.common.RunnerId
import io.greengageport.gateway.RecordedLog
import io.greengageport.gateway.SteppedClock
import io.greengageport.gateway.port.Change
import io.greengageport.gateway.server
import io.greengageport.gateway.state.BackendDirectory
import io.greengageport.gateway.state.ServerPauses
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

/** Guards against notices that peers miss, that concern another start or are repeated for ever. */
class ServerNoticesTest {
    private val clock = SteppedClock()
    private val log = RecordedLog().log
    private val directory = BackendDirectory(clock, log)
    private val pauses = ServerPauses(clock, log)
    private var reports = 0
    private var isRelay = false
    private val notices =
        ServerNotices(directory, pauses, { isRelay }, clock, log) { reports++ }
    private val server = server("s")
    private val id = RunnerId("s")

    init {
        directory.onSnapshot(listOf(Change.Put("s", server, 1)), 2)
    }

    private fun notice(startedAt: Long = 5, isLeaving: Boolean = true, pause: Long? = null) =
        ServerNotice("s", startedAt, isLeaving, pause)

    @Test
    fun `A notice is reported at once and for three seconds, with what is left of the pause`() {
        notices.record(server, isLeaving = false, pauseMillis = 5_000)
        notices.record(server, isLeaving = false, pauseMillis = 5_010)
        expectThat(reports).isEqualTo(1)
        clock.nowMillis += 2_000
        expectThat(notices.toReport().map { it.pauseMillis }).containsExactly(3_000L)
        notices.record(server, isLeaving = true, pauseMillis = null)
        expectThat(notices.toReport().map { it.isLeaving to it.pauseMillis })
            .containsExactly(true to 3_000L)
        clock.nowMillis += 3_001
        expectThat(notices.toReport()).isEmpty()
        expectThat(reports).isEqualTo(2)
    }

    @Test
    fun `A notice of a peer is applied once`() {
        notices.onPeerNotices("p", listOf(notice(pause = 4_000)))
        expectThat(directory.find(id)?.isLeaving).isEqualTo(true)
        expectThat(pauses.isPaused(id)).isTrue()
        expectThat(reports).isEqualTo(0)
        clock.nowMillis += 4_000
        expectThat(pauses.isPaused(id)).isFalse()
    }

    @Test
    fun `A notice about another start of the server has no effect`() {
        notices.onPeerNotices("p", listOf(notice(startedAt = 4, pause = 4_000), notice(6)))
        expectThat(directory.find(id)?.isLeaving).isEqualTo(false)
        expectThat(pauses.isPaused(id)).isFalse()
    }

    @Test
    fun `A relay passes a notice on once`() {
        isRelay = true
        repeat(3) { notices.onPeerNotices("p", listOf(notice(pause = 4_000L + it))) }
        expectThat(notices.toReport()).hasSize(1)
        expectThat(reports).isEqualTo(1)
    }
}
