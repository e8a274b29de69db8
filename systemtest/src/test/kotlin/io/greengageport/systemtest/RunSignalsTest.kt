package io.greengageport.systemtest

import io.greengageport.bench.LocalFleet
import io.greengageport.bench.PlainSpec
import io.greengageport.bench.ProgramProcess
import java.io.IOException
import java.net.ServerSocket
import java.net.Socket
import java.nio.file.Files
import java.nio.file.Path
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue

/** Guards against signals that end an entry instance at once, with the requests that it has read. */
internal class RunSignalsTest {
    private fun ProgramProcess.signal(vararg names: String) {
        val script = names.joinToString(";") { "kill -$it $pid" }
        ProcessBuilder("sh", "-c", script).start().waitFor()
    }

    @Nested
    inner class `While a call is in flight` {
        /**
         * Guards against a signal that overtakes the drain under way, and an end on SIGHUP, which
         * the JVM handles by ending the process.
         */
        @Test
        fun `signals start one drain, which answers it, and SIGHUP has no effect`() {
            TestFleet(instances = 1, plain = listOf(PlainSpec("shop", "parts"))).use { fleet ->
                fleet.awaitLedgers()
                fleet.fault("shop", "\"delay_ms\":1500")
                val process = fleet.process("entry-1")
                val before = fleet.receivedCalls("shop")
                val order = fleet.startOrder("entry-1", "signals")
                LocalFleet.await("the order at the shop") { fleet.receivedCalls("shop") > before }
                process.signal("HUP", "TERM")
                // Signals that are pending at once have no order, and the first one sets the code.
                LocalFleet.await("a drain") { process.output.any { "entry-1 drains" in it } }
                process.signal("HUP", "INT", "TERM")
                expectThat(order.join().status).isEqualTo(201)
                expectThat(process.awaitExit(EXIT_SECONDS)).isEqualTo(SIGTERM_STATUS)
                expectThat(process.output.count { it.endsWith("entry-1 drains") }).isEqualTo(1)
            }
        }

        /** Guards against operators who stop an instance when they mean to reload it. */
        @Test
        fun `SIGHUP does not stop the instance`() {
            TestFleet(instances = 1, plain = listOf(PlainSpec("shop", "parts"))).use { fleet ->
                fleet.awaitLedgers()
                val process = fleet.process("entry-1")
                process.signal("HUP")
                LocalFleet.await("a line about the signal") {
                    process.output.any { "received SIGHUP" in it }
                }
                expectThat(fleet.startOrder("entry-1", "after").join().status).isEqualTo(201)
                expectThat(process.isAlive).isTrue()
            }
        }
    }

    @Nested
    inner class `An instance that starts` {
        @TempDir
        lateinit var directory: Path

        private val root = Path.of(System.getProperty("greengageport.root"))

        /** The ports for callers, operators and peers. */
        private val ports = List(3) { ServerSocket(0).use { it.localPort } }

        private fun start(): ProgramProcess {
            val config = directory.resolve("entry.yaml")
            val (callers, admin, peers) = ports.map { "\"127.0.0.1:$it\"" }
            Files.writeString(
                config,
                """
                instance: entry
                data_centre: dc1
                listen: { callers: $callers, admin: $admin, peers: $peers }
                platform: "http://127.0.0.1:9"
                peer_secret: "loopback test secret"
                times: { drain_notice_ms: 300 }
                """.trimIndent()
            )
            val program = root.resolve("cli/target/greengageport")
            return ProgramProcess("entry", program, listOf("run", config.toString()))
        }

        /** Connects at the first moment at which the process listens. */
        private fun connect(): Socket {
            var socket: Socket? = null
            LocalFleet.await("the instance listens") {
                socket = try {
                    Socket("127.0.0.1", ports[0])
                } catch (e: IOException) {
                    // The process does not listen yet.
                    null
                }
                socket != null
            }
            return checkNotNull(socket)
        }

        /** Guards against signals between the first connection and the handlers of signals. */
        @Test
        fun `refuses a request that it read right before SIGTERM`() {
            start().use { process ->
                connect().use { socket ->
                    val request = "GET /services/parts/list HTTP/1.1\r\nHost: h\r\n\r\n"
                    socket.soTimeout = ANSWER_TIMEOUT_MILLIS
                    socket.getOutputStream().write(request.toByteArray())
                    process.signal("TERM")
                    val statusLine = try {
                        socket.getInputStream().bufferedReader().readLine()
                    } catch (e: IOException) {
                        "no answer: ${e.message}"
                    }
                    expectThat(statusLine).isEqualTo("HTTP/1.1 503 Service Unavailable")
                }
                expectThat(process.awaitExit(EXIT_SECONDS)).isEqualTo(SIGTERM_STATUS)
            }
        }
    }

    private companion object {
        const val EXIT_SECONDS = 30L
        const val ANSWER_TIMEOUT_MILLIS = 5_000

        /** The exit code after SIGTERM: 128 + 15. */
        const val SIGTERM_STATUS = 143
    }
}
