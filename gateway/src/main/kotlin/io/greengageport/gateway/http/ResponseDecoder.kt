package io.greengageport.gateway.http

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.DecoderException
import io.netty.handler.codec.DecoderResult
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpHeaderValidationUtil
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.AsciiString

/**
 * Decodes the responses on one connection and detects bytes that belong to none of them.
 *
 * The library parses more than the grammar of HTTP/1.1 (RFC 9112, sections 4 and 5) allows: any
 * number as the status code, any version, and blanks in a field name, which it ends at the first
 * one, so that `Content-Length : 3` shortens the body. Such a head or trailer is marked as a
 * decoder failure.
 *
 * A faulty server may send additional bytes after a complete response. If they are the start of
 * another response, the decoder would take the next one for their continuation, and a failure could
 * become a success. Bytes that arrive before the next request is sent show in [hasExcessBytes]. A
 * head that contains a second status line consists of two, and is marked as a decoder failure.
 */
internal class ResponseDecoder(config: HttpDecoderConfig) : HttpResponseDecoder(config) {
    private var isHeadRequest = false
    private var isInformational = false
    private var isComplete = false
    private var hasDecodedExcess = false

    /** Whether the connection waits for its next request; any byte from the peer closes it. */
    var isIdle = false

    /** Whether bytes arrived after the end of a response and before the next request. */
    val hasExcessBytes: Boolean
        get() = hasDecodedExcess || (isComplete && actualReadableBytes() > 0)

    /** Expects the response to a request with [method]. */
    fun expectResponse(method: HttpMethod) {
        isHeadRequest = method == HttpMethod.HEAD
        isComplete = false
        isIdle = false
    }

    override fun isContentAlwaysEmpty(msg: HttpMessage): Boolean =
        isHeadRequest || super.isContentAlwaysEmpty(msg)

    override fun createMessage(initialLine: Array<String>): HttpMessage {
        val (version, status) = initialLine
        require(VERSION.matches(version)) { "not an HTTP/1 response" }
        require(STATUS_CODE.matches(status)) { "status code is not three digits from 100" }
        return super.createMessage(initialLine)
    }

    override fun splitHeaderName(line: ByteArray, start: Int, length: Int): AsciiString {
        val name = super.splitHeaderName(line, start, length)
        // The library ends the name at a blank or at the colon, and drops what is between them.
        val isToken = name.isNotEmpty() && HttpHeaderValidationUtil.validateToken(name) == VALID
        require(isToken && line[start + length] == COLON) { "field name is not a token" }
        return name
    }

    override fun decode(ctx: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) {
        if (isComplete) {
            hasDecodedExcess = true
            if (isIdle) {
                buffer.skipBytes(buffer.readableBytes())
                ctx.close()
                return
            }
        }
        super.decode(ctx, buffer, out)
        for (part in out) {
            if (part is HttpResponse) {
                isInformational = part.status().codeClass() == HttpStatusClass.INFORMATIONAL
                if (hasStatusLineWithin(part)) {
                    part.decoderResult =
                        DecoderResult.failure(DecoderException("two heads joined to one"))
                }
            }
            if (part is LastHttpContent && !isInformational) isComplete = true
        }
    }

    private fun hasStatusLineWithin(response: HttpResponse) =
        STATUS_LINE.containsMatchIn(response.status().reasonPhrase()) ||
            response.headers().any {
                STATUS_LINE.containsMatchIn(it.key) || STATUS_LINE.containsMatchIn(it.value)
            }

    private companion object {
        const val COLON = ':'.code.toByte()

        /** The result of the library's validation of a valid text; others are positions in it. */
        const val VALID = -1
        val VERSION = Regex("""HTTP/1\.\d""")
        val STATUS_CODE = Regex("[1-9][0-9]{2}")
        val STATUS_LINE = Regex("""HTTP/1\.\d \d{3}""")
    }
}
