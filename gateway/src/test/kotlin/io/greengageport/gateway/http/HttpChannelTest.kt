package io.greengageport.gateway.http

import io.greengageport.gateway.logging.DecisionLog
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelOutboundHandlerAdapter
import io.netty.channel.ChannelPromise
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpClientCodec
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpServerCodec
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import java.io.IOException
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.any
import strikt.assertions.isA
import strikt.assertions.isFalse
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

    /** Guards against chunks without their content, which corrupt the response to the caller. */
    @Test
    fun `a part that cannot be written resets the connection`() {
        val failing = object : ChannelOutboundHandlerAdapter() {
            override fun write(ctx: ChannelHandlerContext, msg: Any, promise: ChannelPromise) {
                if (msg is ByteBuf && msg.toString(Charsets.UTF_8) == "content") {
                    ReferenceCountUtil.release(msg)
                    promise.setFailure(StackOverflowError())
                } else {
                    ctx.write(msg, promise)
                }
            }
        }
        channel.pipeline().addFirst(failing)
        channel.pipeline().replace(HttpClientCodec::class.java, null, HttpServerCodec())
        channel.pipeline().addLast(connection)
        channel.writeInbound(Unpooled.wrappedBuffer("GET / HTTP/1.1\r\n\r\n".toByteArray()))
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK)
        response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
        connection.write(response)
        connection.write(DefaultHttpContent(Unpooled.wrappedBuffer("content".toByteArray())))
        expectThat(runBlocking { connection.flush() }).isFalse()
        expectThat(channel.isOpen).isFalse()
    }
}
