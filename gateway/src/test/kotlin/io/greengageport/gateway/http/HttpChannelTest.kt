package io.greengageport.gateway.http

import io.greengageport.gateway.logging.DecisionLog
import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.HttpClientCodec
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import java.io.IOException
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.any
import strikt.assertions.isA
import strikt.assertions.none

class HttpChannelTest {
    private val channel = EmbeddedChannel(HttpClientCodec())
    private val connection = HttpChannel(channel, DecisionLog())

    /** Starts a response without length, of which a part of the body has arrived. */
    private fun startResponse() {
        channel.pipeline().addLast(connection)
        channel.writeInbound(Unpooled.wrappedBuffer("HTTP/1.1 200 OK\r\n\r\npart".toByteArray()))
    }

    private fun receiveAll(): List<HttpObject> {
        channel.runPendingTasks()
        return generateSequence { runBlocking { connection.receive() } }.toList()
            .onEach { ReferenceCountUtil.release(it) }
    }

    /** Guards against a part of a response that is taken for the whole one. */
    @Nested
    inner class `A response without length` {
        @Test
        fun `ends when the peer closes the connection`() {
            startResponse()
            channel.close()
            expectThat(receiveAll()).any { isA<LastHttpContent>() }
        }

        @Test
        fun `has no end when the connection fails`() {
            for (cause in listOf(IOException("reset"), IllegalStateException("bug"))) {
                HttpChannelTest().run {
                    startResponse()
                    channel.pipeline().fireExceptionCaught(cause)
                    expectThat(receiveAll()).any { isA<HttpResponse>() }
                        .none { isA<LastHttpContent>() }
                }
            }
        }
    }
}
