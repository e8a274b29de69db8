package io.greengageport.gateway.forward

import io.netty.handler.codec.http.DefaultHttpHeaders
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards against hop-by-hop headers that are forwarded to another connection. */
class EndToEndHeadersTest {
    @Test
    fun `removes hop-by-hop headers and those that Connection names`() {
        val headers = DefaultHttpHeaders()
            .add("Connection", "close, X-Hop")
            .add("Keep-Alive", "timeout=5")
            .add("Transfer-Encoding", "chunked")
            .add("x-hop", "1")
            .add("X-End", "2")
        expectThat(EndToEndHeaders.of(headers).names().toSet()).isEqualTo(setOf("X-End"))
    }

    @Test
    fun `keeps repeated headers in order`() {
        val headers = DefaultHttpHeaders().add("Via", "a").add("Via", "b")
        expectThat(EndToEndHeaders.of(headers).getAll("Via")).isEqualTo(listOf("a", "b"))
    }
}
