package io.greengageport.gateway.http

import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

/**
 * Guards against bytes after a complete response that become part of the next one, and against
 * heads that do not follow the grammar of HTTP and are taken for valid ones.
 */
class ResponseDecoderTest {
    private val decoder = ResponseDecoder(HttpDecoderConfig())
    private val channel = EmbeddedChannel(decoder)

    private fun receive(text: String) {
        channel.writeInbound(Unpooled.wrappedBuffer(text.toByteArray(Charsets.ISO_8859_1)))
    }

    private fun takeParts(): List<HttpObject> =
        generateSequence { channel.readInbound<HttpObject>() }.toList()
            .onEach { ReferenceCountUtil.release(it) }

    /** The status codes of the heads received so far that are valid. */
    private fun takeStatuses(): List<Int> = takeParts().filterIsInstance<HttpResponse>()
        .filter { it.decoderResult().isSuccess }
        .map { it.status().code() }

    private fun receiveFirst(method: HttpMethod = HttpMethod.GET, text: String = FIRST) {
        decoder.expectResponse(method)
        receive(text)
    }

    @Nested
    inner class `Excess bytes` {
        @Test
        fun `are detected wherever the start of another response ends`() {
            for (length in 1..EXCESS.length) {
                ResponseDecoderTest().run {
                    receiveFirst(text = FIRST + EXCESS.take(length))
                    expectThat(decoder.hasExcessBytes).isTrue()
                }
                ResponseDecoderTest().run {
                    receiveFirst()
                    expectThat(decoder.hasExcessBytes).isFalse()
                    receive(EXCESS.take(length))
                    expectThat(decoder.hasExcessBytes).isTrue()
                }
            }
        }

        @Test
        fun `after an informational response belong to the final one`() {
            receiveFirst(text = "HTTP/1.1 100 Continue\r\n\r\n")
            receive(FIRST)
            expectThat(decoder.hasExcessBytes).isFalse()
            expectThat(takeStatuses()).containsExactly(100, 200)
        }

        @Test
        fun `include the body of a response to HEAD`() {
            receiveFirst(HttpMethod.HEAD, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n")
            expectThat(decoder.hasExcessBytes).isFalse()
            receive("ok")
            expectThat(decoder.hasExcessBytes).isTrue()
        }

        @Test
        fun `close an idle connection`() {
            receiveFirst()
            decoder.isIdle = true
            receive("\r\n")
            expectThat(channel.isOpen).isFalse()
            expectThat(takeStatuses()).containsExactly(200)
        }
    }

    /** The additional bytes may arrive when the next request has been sent. */
    @Test
    fun `A failure does not become a success, wherever the start of another response ends`() {
        for (length in 0..EXCESS.length) {
            ResponseDecoderTest().run {
                receiveFirst()
                takeStatuses()
                decoder.expectResponse(HttpMethod.GET)
                receive(EXCESS.take(length) + FAILURE)
                channel.close()
                expectThat(takeStatuses().filter { it != 500 }).containsExactly()
            }
        }
    }

    /** The statuses of a response that begins with [statusLine], unless it is invalid. */
    private fun statusesOf(statusLine: String): List<Int> = ResponseDecoderTest().run {
        receiveFirst(text = "$statusLine\r\nContent-Length: 0\r\n\r\n")
        channel.close()
        takeStatuses()
    }

    @Nested
    inner class `A status line` {
        @Test
        fun `is valid with each status of three digits from 100`() {
            for (status in 100..999) {
                expectThat(statusesOf("HTTP/1.1 $status Reason")).containsExactly(status)
            }
            expectThat(statusesOf("HTTP/1.1 200")).containsExactly(200)
            expectThat(statusesOf("HTTP/1.1 200 ")).containsExactly(200)
            expectThat(statusesOf("HTTP/1.0 200 OK")).containsExactly(200)
        }

        @Test
        fun `is invalid with any other status`() {
            val numbers = (0..999).flatMap { listOf("$it", "%02d".format(it), "%04d".format(it)) }
            val statuses = numbers.filter { it.length != 3 } + (0..99).map { "%03d".format(it) } +
                listOf("", "+20", "-20", "+200", "2OO", "0x1", "1e2", "20\u00b2", "200,")
            for (status in statuses) {
                expectThat(statusesOf("HTTP/1.1 $status")).describedAs(status).isEmpty()
                expectThat(statusesOf("HTTP/1.1 $status OK")).describedAs(status).isEmpty()
            }
        }

        @Test
        fun `is invalid with any version but 1`() {
            val versions = listOf(
                "HTTP/0.9", "HTTP/2.0", "HTTP/9.9", "HTTP/1", "HTTP/1.", "HTTP/1.10", "HTTP/11.1",
                "HTTP/+1.1", "HTTP/1.x", "HTTP 1.1", "http/1.1", "HTTPS/1.1", "ICY", "200"
            )
            for (version in versions) {
                expectThat(statusesOf("$version 200 OK")).describedAs(version).isEmpty()
            }
        }
    }

    @Nested
    inner class `A field name` {
        /** The names of the fields of a head that begins with [line], or null if it is invalid. */
        private fun namesInHead(line: String): List<String>? = ResponseDecoderTest().run {
            receiveFirst(text = "HTTP/1.1 200 OK\r\n$line\r\n\r\n")
            channel.close()
            takeParts().filterIsInstance<HttpResponse>().singleOrNull()
                ?.takeIf { it.decoderResult().isSuccess }?.headers()?.map { it.key }
        }

        /** The same for the trailers of a chunked response. */
        private fun namesInTrailers(line: String): List<String>? = ResponseDecoderTest().run {
            val head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            receiveFirst(text = "${head}2\r\nok\r\n0\r\n$line\r\n\r\n")
            channel.close()
            takeParts().filterIsInstance<LastHttpContent>().singleOrNull()
                ?.takeIf { it.decoderResult().isSuccess }?.trailingHeaders()?.map { it.key }
        }

        private fun expectNames(line: String, names: List<String>?) {
            val bytes = line.map { it.code }
            expectThat(namesInHead(line)).describedAs("$bytes").isEqualTo(names)
            expectThat(namesInTrailers(line)).describedAs("$bytes").isEqualTo(names)
        }

        @Test
        fun `is valid only if it is a token`() {
            // A colon ends the name.
            for (c in (0..255).map { it.toChar() }.filter { it != ':' }) {
                for (name in listOf("$c", "${c}Note", "X${c}Note", "X$c", "X$c ", "X $c")) {
                    expectNames("$name: a", listOf(name).takeIf { name.all(::isTokenCharacter) })
                }
            }
        }

        @Test
        fun `may be followed by blanks only after its colon`() {
            expectNames("", emptyList())
            val valid = listOf("X:", "X:a", "X: a", "X:\t a \t", "X::a", "X: a : b", "X: a\r\n b")
            for (line in valid) expectNames(line, listOf("X"))
            val invalid = listOf("X :a", "X\t: a", "X \t : a", "X a", "X a b:", "X", ":", ": a")
            for (line in invalid) expectNames(line, null)
        }

        /** RFC 9110, section 5.6.2. */
        private fun isTokenCharacter(c: Char) =
            c in 'a'..'z' || c in 'A'..'Z' || c in '0'..'9' || c in "!#$%&'*+-.^_`|~"
    }

    private companion object {
        const val FIRST = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
        const val EXCESS = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-Digest: s\r\n"
        const val FAILURE = "HTTP/1.1 500 Failed\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nno"
    }
}
