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
 * has found out by itself.
 */
class ServerHealthTest {
    private val clock = SteppedClock()
    private val recorded = RecordedLog()
    private val loop = EventLoop()
    private var told = emptySet<RunnerId>()
    private val a = RunnerId("a")
    private val directory = BackendDirectory(clock, recorded.log)
    private val health = ServerHealth(
        fleet = Fleet(),
        directory = directory,
        connector = HttpConnector(loop),
        healthPath = { "/" },
        unreachableByPeers = { told },
        isPaused = { false },
        log = recorded.log,
        clock = clock
    )

    @AfterEach
    fun close(): Unit = loop.close()

    @Nested
    inner class `A server that peers found unreachable` {
        @Test
        fun `gets no new work here`() {
            told = setOf(a)
            expectThat(health.ejected()).isEqualTo(setOf(a))
            told = emptySet()
            expectThat(health.ejected()).isEmpty()
        }

        @Test
        fun `goes on where an attempt has just ended well`() {
            told = setOf(a)
            health.succeeded(listOf(a), 10)
            expectThat(health.ejected()).isEmpty()
            clock.nowMillis += 600
            expectThat(health.ejected()).isEqualTo(setOf(a))
        }
    }

    /** Guards against a dead stage that is taken for a full one, and so is tried again and again. */
    @Nested
    inner class `A stage because of which an attempt was refused` {
        private fun listed(port: Int) {
            directory.onChanges(listOf(Change.Put("a", server("a", port = port))))
            runBlocking { health.refusedBy(PLAIN, a) }
        }

        @Test
        fun `is unreachable if it takes no connection`() {
            listed(ServerSocket(0).use { it.localPort })
            expectThat(health.unreachable()).isEqualTo(setOf(a))
        }

        @Test
        fun `is only short of room if it does`() {
            ServerSocket(0).use { listed(it.localPort) }
            expectThat(health.unreachable()).isEmpty()
        }
    }

    @Test
    fun `a server that is found unreachable is news unless a peer has told of it`() {
        val found = mutableListOf<Pair<RunnerId, Boolean>>()
        health.onFound = { id, isNews -> found += id to isNews }
        health.unreachable(PLAIN, a)
        health.unreachable(PLAIN, a)
        val b = RunnerId("b")
        told = setOf(b)
        health.unreachable(PLAIN, b)
        expectThat(found).isEqualTo(mutableListOf(a to true, b to false))
    }
}
