package io.greengageport.gateway.state

import io.greengageport.common.RunnerId
import io.greengageport.gateway.PLAIN
import io.greengageport.gateway.RecordedLog
import io.greengageport.gateway.SteppedClock
import io.greengageport.gateway.configuration
import io.greengageport.gateway.http.EventLoop
import io.greengageport.gateway.http.HttpConnector
import io.greengageport.gateway.port.Change
import io.greengageport.gateway.server
import java.net.ServerSocket
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

/** Guards against servers that stay ejected because an instance had lost its own network path. */
class ServerHealthWithoutPathTest {
    private class ScriptedPath : ServerPath {
        override var isCutOff = false
        var isFailure = true

        override suspend fun isFailureOfServer(server: RunnerId) = isFailure
    }

    private val clock = SteppedClock()
    private val recorded = RecordedLog()
    private val loop = EventLoop()
    private val directory = BackendDirectory(clock, recorded.log)
    private val index = FleetIndex(directory) { configuration() }
    private val path = ScriptedPath()
    private val ids = listOf("a", "b", "c", "d").map(::RunnerId)
    private val a = ids[0]
    private val b = ids[1]
    private val c = ids[2]
    private val health = ServerHealth(
        fleet = index.fleet,
        directory = directory,
        connector = HttpConnector(loop),
        healthPath = { "/" },
        unreachableByPeers = { emptySet() },
        isPaused = { false },
        log = recorded.log,
        clock = clock,
        path = path
    )

    init {
        val closed = ServerSocket(0).use { it.localPort }
        directory.onChanges(ids.map { Change.Put(it.value, server(it.value, port = closed)) })
        index.rebuild(configuration())
    }

    @AfterEach
    fun close(): Unit = loop.close()

    @Test
    fun `a withdrawal readmits servers ejected since then and no others`() {
        health.markUnreachable(PLAIN, a)
        health.recordFailure(PLAIN, listOf(c))
        clock.nowMillis += 500
        val since = clock.nowMillis
        health.markUnreachable(PLAIN, b)
        health.recordFailure(PLAIN, listOf(c))
        expectThat(health.ejectedServers()).isEqualTo(setOf(a, b, c))
        health.withdrawSince(since)
        expectThat(health.ejectedServers()).isEqualTo(setOf(a))
        expectThat(health.unreachableServers()).isEqualTo(setOf(a))
        // The errors from before the cut have been cleared too, so one more ejects nothing.
        health.recordFailure(PLAIN, listOf(c))
        expectThat(health.ejectedServers()).isEqualTo(setOf(a))
    }

    @Test
    fun `nothing is recorded while cut off`() {
        path.isCutOff = true
        health.markUnreachable(PLAIN, a)
        repeat(3) { health.recordFailure(PLAIN, listOf(b)) }
        expectThat(health.ejectedServers()).isEmpty()
        expectThat(health.unreachableServers()).isEmpty()
        expectThat(runBlocking { health.acceptsConnections(PLAIN, a) }).isNull()
    }

    @Test
    fun `a refused connection without confirmation says nothing about the server`() {
        path.isFailure = false
        val result = runBlocking { health.acceptsConnections(PLAIN, a) }
        expectThat(result).isNull()
        expectThat(health.unreachableServers()).isEmpty()
    }

    /** Guards against ejections that get longer with each health check during a cut. */
    @Test
    fun `a failed health check counts only if it is confirmed`() {
        health.markUnreachable(PLAIN, a)
        clock.nowMillis += 1_000
        path.isFailure = false
        runHealthChecks()
        expectThat(recorded.lines.filter { "event=probed" in it }).isEmpty()
        path.isFailure = true
        runHealthChecks()
        expectThat(recorded.lines.filter { "event=probed" in it }.size).isEqualTo(1)
    }

    private fun runHealthChecks() = runBlocking {
        withContext(loop.dispatcher) {
            withTimeoutOrNull(700) { health.run() }
        }
    }
}
