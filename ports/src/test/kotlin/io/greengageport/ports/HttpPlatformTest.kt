package io.greengageport.ports

import com.github.michaelbull.result.fold
import com.sun.net.httpserver.HttpExchange
import com.sun.net.httpserver.HttpServer
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.plugins.HttpTimeout
import java.io.ByteArrayOutputStream
import java.net.InetAddress
import java.net.InetSocketAddress
import java.util.zip.GZIPOutputStream
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class HttpPlatformTest {
    private var answer: (HttpExchange) -> Unit = {}
    private val server =
        HttpServer.create(InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0).apply {
            createContext("/") { answer(it) }
            start()
        }
    private val client = HttpClient(CIO) { install(HttpTimeout) }
    private val platform = HttpPlatform(client, "http://127.0.0.1:${server.address.port}")

    @AfterEach
    fun stop() {
        client.close()
        server.stop(0)
    }

    private fun HttpExchange.reply(
        status: Int,
        body: ByteArray,
        vararg headers: Pair<String, String>
    ) {
        headers.forEach { (name, value) -> responseHeaders.add(name, value) }
        sendResponseHeaders(status, if (body.isEmpty()) -1 else body.size.toLong())
        responseBody.use { it.write(body) }
    }

    private fun page(runner: String) =
        """[{"runner":"$runner","service":"s"}]""".encodeToByteArray()

    private fun loads() = runBlocking {
        platform.latest().fold({ all -> all.joinToString { it.runner.value } }, { "$it" })
    }

    @Test
    fun `an unchanged page is taken from the last answer and a changed one is not`() {
        val asked = mutableListOf<String?>()
        var current = "a"
        answer = {
            asked += it.requestHeaders.getFirst("If-None-Match")
            if (asked.last() == current) {
                it.reply(304, ByteArray(0), "ETag" to current)
            } else {
                it.reply(200, page(current), "ETag" to current)
            }
        }
        val seen = mutableListOf(loads(), loads())
        current = "b"
        seen += listOf(loads(), loads())
        expectThat(seen).isEqualTo(mutableListOf("a", "a", "b", "b"))
        expectThat(asked).isEqualTo(mutableListOf(null, "a", "a", "b"))
    }

    @Test
    fun `a page without tag is not kept, so that no old page is taken for a later one`() {
        val asked = mutableListOf<String?>()
        answer = {
            asked += it.requestHeaders.getFirst("If-None-Match")
            val headers = if (asked.size == 1) arrayOf("ETag" to "t") else emptyArray()
            if (asked.size < 3) it.reply(200, page("a"), *headers) else it.reply(304, ByteArray(0))
        }
        expectThat(List(3) { loads() })
            .isEqualTo(listOf("a", "a", "Unavailable(reason=platform answered 304)"))
        expectThat(asked).isEqualTo(mutableListOf(null, "t", null))
    }

    @Test
    fun `a compressed page is read, and a damaged one is an error`() {
        val packed = ByteArrayOutputStream()
            .also { out -> GZIPOutputStream(out).use { it.write(page("a")) } }.toByteArray()
        var body = packed
        answer = { it.reply(200, body, "Content-Encoding" to "gzip") }
        val whole = loads()
        body = packed.copyOf(packed.size / 2)
        expectThat(
            listOf(whole, loads().substringBefore('('))
        ).isEqualTo(listOf("a", "Unavailable"))
    }
}
