package io.greengageport.gateway.state

import io.greengageport.common.RunnerId
import io.greengageport.gateway.PLAIN
import io.greengageport.gateway.RecordedLog
import io.greengageport.gateway.SteppedClock
import io.greengageport.gateway.http.EventLoop
import io.greengageport.gateway.http.HttpConnector
import io.greengageport.gateway.port.Change
import io.greengageport.gateway.server
import io.greengageport.routing.Fleet
import java.net.ServerSocket
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

/**
 * Guards against a large fleet in which each instance loses requests to a crashed server until it
 * detects the crash itself.
 */
class ServerHealthTest {
    private val clock = SteppedClock()
    private val recorded = RecordedLog()
    private val loop = EventLoop()
    private var reportedByPeers = emptySet<RunnerId>()
    private val a = RunnerId("a")
    private val directory = BackendDirectory(clock, recorded.log)
    private val health = ServerHealth(
        fleet = Fleet(),
        directory = directory,
        connector = HttpConnector(loop),
        healthPath = { "/" },
        unreachableByPeers = { reportedByPeers },
        isPaused = { false },
        log = recorded.log,
        clock = clock
    )

    @AfterEach
    fun close(): Unit = loop.close()

    @Nested
    inner class `A server that peers report as unreachable` {
        @Test
        fun `gets no new work from this instance`() {
            reportedByPeers = setOf(a)
            expectThat(health.ejectedServers()).isEqualTo(setOf(a))
            reportedByPeers = emptySet()
            expectThat(health.ejectedServers()).isEmpty()
        }

        @Test
        fun `stays usable for a while after a successful attempt`() {
            reportedByPeers = setOf(a)
            health.recordSuccess(listOf(a), 10)
            expectThat(health.ejectedServers()).isEmpty()
            clock.nowMillis += 600
            expectThat(health.ejectedServers()).isEqualTo(setOf(a))
        }
    }

    /**
     * Guards against mistaking a crashed stage for one without free memory, which is retried
     * repeatedly.
     */
    @Nested
    inner class `A stage that caused the refusal of an attempt` {
        private fun checkStage(port: Int) {
            directory.onChanges(listOf(Change.Put("a", server("a", port = port))))
            runBlocking { health.recordStageRefusal(PLAIN, a) }
        }

        @Test
        fun `is unreachable if it accepts no connection`() {
            checkStage(ServerSocket(0).use { it.localPort })
            expectThat(health.unreachableServers()).isEqualTo(setOf(a))
        }

        @Test
        fun `stays reachable if it accepts a connection`() {
            ServerSocket(0).use { checkStage(it.localPort) }
            expectThat(health.unreachableServers()).isEmpty()
        }
    }

    @Test
    fun `an unreachable server is a first report unless a peer has reported it`() {
        val found = mutableListOf<Pair<RunnerId, Boolean>>()
        health.onServerUnreachable = { id, isFirstReport -> found += id to isFirstReport }
        health.markUnreachable(PLAIN, a)
        health.markUnreachable(PLAIN, a)
        val b = RunnerId("b")
        reportedByPeers = setOf(b)
        health.markUnreachable(PLAIN, b)
        expectThat(found).isEqualTo(mutableListOf(a to true, b to false))
    }
}
