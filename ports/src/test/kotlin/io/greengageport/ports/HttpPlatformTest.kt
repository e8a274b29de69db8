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

/** Guards against outdated pages from the cache and against pages that are decoded wrongly. */
class HttpPlatformTest {
    private var respond: (HttpExchange) -> Unit = {}
    private val server =
        HttpServer.create(InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0).apply {
            createContext("/") { respond(it) }
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

    private fun fetchRunners() = runBlocking {
        platform.latest().fold({ all -> all.joinToString { it.runner.value } }, { "$it" })
    }

    @Test
    fun `an unchanged page is served from the cache and a changed page is not`() {
        val tags = mutableListOf<String?>()
        var currentTag = "a"
        respond = {
            tags += it.requestHeaders.getFirst("If-None-Match")
            if (tags.last() == currentTag) {
                it.reply(304, ByteArray(0), "ETag" to currentTag)
            } else {
                it.reply(200, page(currentTag), "ETag" to currentTag)
            }
        }
        val pages = mutableListOf(fetchRunners(), fetchRunners())
        currentTag = "b"
        pages += listOf(fetchRunners(), fetchRunners())
        expectThat(pages).isEqualTo(mutableListOf("a", "a", "b", "b"))
        expectThat(tags).isEqualTo(mutableListOf(null, "a", "a", "b"))
    }

    /** Otherwise a later 304 response would return an outdated page. */
    @Test
    fun `a page without an entity tag is not cached and clears the cached page`() {
        val tags = mutableListOf<String?>()
        respond = {
            tags += it.requestHeaders.getFirst("If-None-Match")
            val headers = if (tags.size == 1) arrayOf("ETag" to "t") else emptyArray()
            if (tags.size < 3) it.reply(200, page("a"), *headers) else it.reply(304, ByteArray(0))
        }
        expectThat(List(3) { fetchRunners() })
            .isEqualTo(listOf("a", "a", "Unavailable(reason=platform answered 304)"))
        expectThat(tags).isEqualTo(mutableListOf(null, "t", null))
    }

    @Test
    fun `a compressed page is decoded and a truncated one is an error`() {
        val compressed = ByteArrayOutputStream()
            .also { buffer -> GZIPOutputStream(buffer).use { it.write(page("a")) } }.toByteArray()
        var body = compressed
        respond = { it.reply(200, body, "Content-Encoding" to "gzip") }
        val intact = fetchRunners()
        body = compressed.copyOf(compressed.size / 2)
        expectThat(
            listOf(intact, fetchRunners().substringBefore('('))
        ).isEqualTo(listOf("a", "Unavailable"))
    }
}
