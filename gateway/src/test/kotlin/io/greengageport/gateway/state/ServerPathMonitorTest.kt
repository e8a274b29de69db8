package io.greengageport.gateway.state

import io.greengageport.common.Clock
import io.greengageport.common.RunnerId
import io.greengageport.common.ServiceName
import io.greengageport.gateway.MODEL
import io.greengageport.gateway.PLAIN
import io.greengageport.gateway.RecordedLog
import io.greengageport.gateway.SteppedClock
import io.greengageport.gateway.http.EventLoop
import io.greengageport.gateway.http.HttpConnector
import io.greengageport.gateway.port.Change
import io.greengageport.gateway.server
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

/**
 * Guards against an instance that takes the loss of its own network path for failures of all
 * servers, or failures of some servers for the loss of its path.
 */
class ServerPathMonitorTest {
    private val clock = SteppedClock()
    private val recorded = RecordedLog()
    private val loop = EventLoop()
    private val directory = BackendDirectory(clock, recorded.log)
    private var hasPeer = false
    private val changes = ArrayList<Boolean>()
    private val monitor = monitor(clock)
    private val open = ServerSocket(0, 100, InetAddress.getLoopbackAddress())
    private val closedPort = ServerSocket(0).use { it.localPort }

    private fun monitor(clock: Clock) = ServerPathMonitor(
        directory = directory,
        connector = HttpConnector(loop),
        isPaused = { false },
        hasPeerWithPath = { hasPeer },
        log = recorded.log,
        clock = clock
    ).also { it.onChanged = { isCutOff -> changes += isCutOff } }

    @AfterEach
    fun close() {
        open.close()
        loop.close()
    }

    private fun put(
        id: String,
        port: Int = closedPort,
        centre: String = "a",
        service: ServiceName = PLAIN
    ) = directory.onChanges(
        listOf(Change.Put(id, server(id, service, centre, port)))
    )

    private fun putClosed(count: Int) = repeat(count) {
        put("s$it", centre = "abc".substring(it % 3, it % 3 + 1))
    }

    private fun isFailureOf(id: String, of: ServerPathMonitor = monitor): Boolean = runBlocking {
        withContext(loop.dispatcher) { of.isFailureOfServer(RunnerId(id)) }
    }

    @Nested
    inner class `Without a path` {
        @Test
        fun `a failed connection is no failure of the server`() {
            putClosed(3)
            put("m1", service = MODEL)
            put("m2", service = MODEL, centre = "b")
            expectThat(isFailureOf("s0")).isFalse()
            expectThat(monitor.isCutOff).isTrue()
            expectThat(changes).isEqualTo(arrayListOf(true))
            expectThat(isFailureOf("s1")).isFalse()
        }

        /** Guards against a cut that is not found since connections hang. */
        @Test
        fun `hanging connections show the cut, also after the first caller has left`() {
            val full = ServerSocket(0, 1, InetAddress.getLoopbackAddress())
            val sockets = List(4) {
                Socket().also { s ->
                    runCatching {
                        s.connect(InetSocketAddress(full.inetAddress, full.localPort), 50)
                    }
                }
            }
            repeat(5) { put("s$it", full.localPort) }
            val result = runBlocking(loop.dispatcher) {
                val first = launch { monitor.isFailureOfServer(RunnerId("s0")) }
                delay(30)
                val other = async { monitor.isFailureOfServer(RunnerId("s1")) }
                delay(30)
                first.cancel()
                other.await()
            }
            sockets.forEach { it.close() }
            full.close()
            expectThat(result).isFalse()
            expectThat(monitor.isCutOff).isTrue()
        }

        @Test
        fun `what was recorded in the last seconds is withdrawn, also before a success`() {
            putClosed(5)
            put("sound", open.localPort)
            expectThat(isFailureOf("s0")).isTrue()
            clock.nowMillis += 700
            put("sound")
            isFailureOf("s0")
            expectThat(monitor.cutOffSinceMillis).isEqualTo(clock.nowMillis - 3_000)
        }

        @Test
        fun `of older observations none is withdrawn`() {
            putClosed(5)
            isFailureOf("s0")
            expectThat(monitor.cutOffSinceMillis).isEqualTo(clock.nowMillis - 3_000)
        }
    }

    @Nested
    inner class `With a path` {
        @Test
        fun `a crashed server is found`() {
            put("s0")
            (1..5).forEach { put("s$it", open.localPort) }
            expectThat(isFailureOf("s0")).isTrue()
            expectThat(monitor.isCutOff).isFalse()
        }

        @Test
        fun `the crash of all servers of a data centre is no cut`() {
            (0..9).forEach { put("s$it", service = if (it < 5) PLAIN else MODEL) }
            put("m", open.localPort, centre = "b", service = MODEL)
            val results = (0..9).map { isFailureOf("s$it") }
            expectThat(results).isEqualTo(List(10) { true })
            expectThat(monitor.isCutOff).isFalse()
        }

        @Test
        fun `the crash of a few servers is no cut unless a peer reaches servers`() {
            putClosed(3)
            expectThat(isFailureOf("s0")).isTrue()
            hasPeer = true
            expectThat(isFailureOf("s0")).isFalse()
            expectThat(monitor.isCutOff).isTrue()
        }

        @Test
        fun `the failure of the only server is its own`() {
            hasPeer = true
            putClosed(1)
            expectThat(isFailureOf("s0")).isTrue()
        }

        /** Guards against a suspended process that takes its own delay for a lost path. */
        @Test
        fun `a late thread concludes nothing`() {
            putClosed(5)
            val late = monitor(object : Clock by clock {
                override fun monotonicMillis(): Long {
                    clock.nowMillis += 1_000
                    return clock.nowMillis
                }
            })
            expectThat(isFailureOf("s0", late)).isFalse()
            expectThat(late.isCutOff).isFalse()
        }
    }

    /** Runs the monitor after a cut until [isDone]. */
    private fun runUntil(isDone: () -> Boolean) = runBlocking(loop.dispatcher) {
        val running = launch { monitor.run() }
        withTimeout(10_000) { while (!isDone()) delay(10) }
        running.cancel()
    }

    private fun lines(event: String) = recorded.lines.count { event in it }

    @Nested
    inner class `The path is back` {
        @Test
        fun `once two servers accept connections`() {
            putClosed(6)
            isFailureOf("s0")
            put("s3", open.localPort)
            put("s4", open.localPort)
            runUntil { !monitor.isCutOff }
            expectThat(changes).isEqualTo(arrayListOf(true, false))
            expectThat(monitor.wasCutOffSince(clock.nowMillis)).isTrue()
            expectThat(monitor.wasCutOffSince(clock.nowMillis + 1)).isFalse()
            expectThat(isFailureOf("s0")).isTrue()
        }

        /** Guards against an instance that never serves again since only one server is left. */
        @Test
        fun `once one server has accepted them for a second`() {
            putClosed(5)
            isFailureOf("s0")
            put("s3", open.localPort)
            // Four rounds of three servers try all five.
            var rounds = 0
            runUntil { ++rounds > 120 }
            expectThat(monitor.isCutOff).isTrue()
            clock.nowMillis += 1_000
            runUntil { !monitor.isCutOff }
        }
    }
}
