package io.greengageport.cli

import com.sun.net.httpserver.HttpServer
import java.io.ByteArrayOutputStream
import java.io.PrintStream
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.nio.file.Path
import kotlin.concurrent.thread
import kotlin.io.path.writeText
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Tag
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import picocli.CommandLine
import picocli.CommandLine.Model.CommandSpec
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.startsWith

class CommandLineTest {
    @TempDir
    lateinit var directory: Path

    private val answers = mutableMapOf<String, Pair<Int, String>>()
    private val server = HttpServer.create(InetSocketAddress("127.0.0.1", 0), 0).apply {
        createContext("/") { x ->
            val (status, body) = answers[x.requestURI.rawPath] ?: (404 to "")
            val bytes = body.encodeToByteArray()
            x.sendResponseHeaders(status, if (bytes.isEmpty()) -1 else bytes.size.toLong())
            x.responseBody.use { it.write(bytes) }
        }
        start()
    }
    private val address = "127.0.0.1:${server.address.port}"

    @AfterEach
    fun stop() = server.stop(0)

    /** Runs a command; returns its exit code followed by its output. */
    private fun run(vararg args: String): String {
        val output = ByteArrayOutputStream()
        val before = System.out to System.err
        val code = PrintStream(output, true).use { p ->
            System.setOut(p)
            System.setErr(p)
            try {
                commandLine().execute(*args)
            } finally {
                System.setOut(before.first)
                System.setErr(before.second)
            }
        }
        return "$code ${output.toString().replace(address, "ADDRESS").trim()}"
    }

    @Nested
    inner class Failures {
        /** Guards against a stack trace for a mistyped address. */
        @Test
        fun `an invalid address is a usage error`() {
            expectThat(
                listOf("foo bar", "", "localhost").map { run("status", "--admin", it) }
            ).isEqualTo(
                listOf("foo bar", "", "localhost").map {
                    "2 an admin address is HOST:PORT, not '$it'"
                }
            )
        }

        /** Guards against ids that change the path or result in an invalid URL. */
        @Test
        fun `an id may contain any characters`() {
            answers["/admin/settings/changes/a%20b%2Fc"] =
                200 to """{"fate":{"type":"accepted","version":7}}"""
            expectThat(run("settings", "fate", "a b/c", "--admin", address))
                .isEqualTo("0 accepted as version 7")
        }

        /** Guards against an error message that does not tell how to authenticate. */
        @Test
        fun `the message about a rejected key explains how to set one`() {
            answers["/admin/status"] = 401 to "a team's key is required"
            expectThat(run("status", "--admin", address)).isEqualTo(
                "4 the instance rejected the key; " +
                    "set a team's key with --key or GREENGAGEPORT_KEY"
            )
        }

        /** Guards against a stack trace if the address is the port of another program. */
        @Test
        fun `a response of another program does not print a stack trace`() {
            answers["/admin/status"] = 200 to "hello"
            val text = run("status", "--admin", address)
            expectThat(text.lines().first().take(23)).isEqualTo("1 greengageport failed:")
            expectThat(text.lines().filter { it.trimStart().startsWith("at ") }).isEmpty()
            expectThat(run("drain", "--admin", address))
                .isEqualTo("4 the instance returned status 404; is this its admin port?")
        }

        /** Expects that a response that begins with [head] counts as no response. */
        private fun expectNoResult(head: String) {
            val body = """{"fate":{"type":"accepted","version":7}}"""
            val answer = "$head\r\nContent-Length: ${body.length}\r\n\r\n$body"
            ServerSocket(0, 10, InetAddress.getLoopbackAddress()).use { listener ->
                thread(isDaemon = true) {
                    listener.accept().use {
                        it.getInputStream().read(ByteArray(REQUEST_BYTES))
                        it.getOutputStream().write(answer.toByteArray())
                    }
                }
                val malformed = "127.0.0.1:${listener.localPort}"
                expectThat(run("settings", "fate", "a", "--admin", malformed))
                    .startsWith("4 instance $malformed cannot be reached")
            }
        }

        /** Guards against a result that is read from a response that is no HTTP. */
        @ParameterizedTest
        @ValueSource(
            strings = [
                "HTTP/1.1 000 OK",
                "HTTP/1.1 099 OK",
                "HTTP/1.1 20 OK",
                "HTTP/1.1 +20 OK",
                "HTTP/1.1 0200 OK",
                "HTTP/9.9 200 OK",
                "HTTP/1.1 200 OK\r\nX Note: a",
                "HTTP/1.1 200 OK\r\nX-Note : a",
                "HTTP/1.1 200 OK\r\nX\u0001Note: a"
            ]
        )
        fun `a response with a malformed head is no result`(head: String) = expectNoResult(head)

        /** The library reads three digits of a status, and drops fields without a name. */
        @ParameterizedTest
        @Tag("known-red")
        @ValueSource(strings = ["HTTP/1.1 2000 OK", "HTTP/1.1 200 OK\r\n: a"])
        fun `a response that the library misreads is no result`(head: String) = expectNoResult(head)

        /** Guards against a stack trace or a message without the path for a mistyped file name. */
        @Test
        fun `a missing file is reported with its path`() {
            val f = directory.resolve("none.yaml")
            expectThat(run("check", "$f")).isEqualTo("3 $f cannot be read: there is no such file")
            expectThat(run("settings", "publish", "/", "$f"))
                .isEqualTo("3 $f cannot be read: there is no such file")
        }
    }

    @Nested
    inner class AllInstances {
        private fun answer(admin: String) = """{"instance":"e1","data_centre":"dc1","ready":true,
            "not_ready_because":[],"draining":false,"requests_in_flight":0,
            "settings":{"version":3,"hash":"","current":true,"seconds_since_proof":0.5},
            "members":[{"id":"e1","peer_address":"p","admin_address":"a","data_centre":"dc1",
            "leaving":false},{"id":"entry-2","peer_address":"p","admin_address":"$admin",
            "data_centre":"dc2","leaving":false}],"runners":[],"services":[],
            "ledger":{"ready":true,"keys":0,"open_claims":0,"queued_records":0,"outage_ms":null}}"""

        /** Guards against a crash while gossip has not yet delivered a new instance's address. */
        @Test
        fun `an instance without a known admin address is shown as unreachable`() {
            answers["/admin/status"] = 200 to answer(admin = "")
            expectThat(run("status", "--all", "--admin", address).lines().take(3)).isEqualTo(
                listOf(
                    "4 INSTANCE  DATA CENTRE  READY  SETTINGS  CURRENT  IN FLIGHT  MEMBERS",
                    "e1        dc1          true   3         true     0          2",
                    "entry-2   unreachable"
                )
            )
        }
    }

    /** Guards against operators relying on a setting of a rank that has no effect. */
    @Test
    fun `the check warns that the weight of a rank has no effect`() {
        val f = directory.resolve("s.yaml")
        val rank = "firstTokenMillis: 340, betweenTokensMillis: 57, deadlineMillis: 10000"
        f.writeText(
            "ranks:\n  urgent: { priority: 0, $rank, weight: 100 }\n  low: { priority: 1, $rank }\n"
        )
        expectThat(run("check", "$f")).isEqualTo(
            "0 $f: warning: ranks/urgent weight: has no effect; priority and floorShare decide " +
                "between ranks\n$f: 2 documents, no errors"
        )
    }

    /** Guards against options and parameters without a description in `--help`. */
    @Test
    fun `each option and parameter has a help text`() {
        val missing = all(commandLine()).filterNot { it.name() == "generate-completion" }
            .flatMap { c -> (c.args().filter { it.description().isEmpty() }.map { "$c $it" }) }
        expectThat(missing).isEmpty()
    }

    /** Guards against a command line for which picocli cannot generate shell completion. */
    @Test
    fun `a completion script is generated`() {
        expectThat(run("generate-completion").lines().first()).isEqualTo("0 #!/usr/bin/env bash")
    }

    private fun all(c: CommandLine): List<CommandSpec> =
        listOf(c.commandSpec) + c.subcommands.values.flatMap(::all)

    private companion object {
        /** More bytes than a request of a command has. */
        const val REQUEST_BYTES = 4_096
    }
}
