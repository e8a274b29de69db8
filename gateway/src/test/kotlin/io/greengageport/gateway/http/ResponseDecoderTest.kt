package io.greengageport.gateway.http

import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.util.ReferenceCountUtil
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
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
        channel.writeInbound(Unpooled.wrappedBuffer(text.toByteArray()))
    }

    /** The status codes of the heads received so far that are valid. */
    private fun takeStatuses(): List<Int> =
        generateSequence { channel.readInbound<HttpObject>() }.toList()
            .onEach { ReferenceCountUtil.release(it) }
            .filterIsInstance<HttpResponse>()
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

    private companion object {
        const val FIRST = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
        const val EXCESS = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-Digest: s\r\n"
        const val FAILURE = "HTTP/1.1 500 Failed\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nno"
    }
}
