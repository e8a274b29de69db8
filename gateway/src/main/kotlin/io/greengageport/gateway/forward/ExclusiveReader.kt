package io.greengageport.gateway.forward

import io.greengageport.gateway.port.ResponseHeaders
import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders

/**
 * Passes the response of one attempt to [relay], unless another attempt has the response.
 *
 * [tryBegin] is called with the response head and returns whether this attempt has the response
 * from then on; [hasResponse] returns whether it still has.
 */
internal class ExclusiveReader(
    private val relay: StreamRelay,
    private val tryBegin: () -> Boolean,
    private val hasResponse: () -> Boolean
) : ResponseReader {
    override fun onHead(
        status: Int,
        headers: HttpHeaders,
        responseHeaders: ResponseHeaders
    ): PartResult = if (tryBegin()) {
        relay.onHead(status, headers, responseHeaders)
    } else {
        PartResult.Superseded
    }

    override suspend fun onPart(part: ByteBuf): PartResult =
        if (hasResponse()) relay.onPart(part) else PartResult.Superseded
}
