package io.greengageport.gateway.forward

import io.greengageport.gateway.port.ResponseHeaders
import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders

/** Consumes the response of a backend server as it arrives. */
internal interface ResponseReader {
    /** Handles the status line and headers. */
    fun onHead(status: Int, headers: HttpHeaders, responseHeaders: ResponseHeaders): PartResult

    /** Handles the next part of the body. Does not release [part]; the calling code does that. */
    suspend fun onPart(part: ByteBuf): PartResult
}

/** The result of handling a part of a response body. */
internal sealed interface PartResult {
    /** The part advanced the response; the next one must arrive within [timeoutMillis]. */
    data class Progress(val timeoutMillis: Long) : PartResult

    /** The part did not advance the response; the current timeout keeps running. */
    data object NoProgress : PartResult

    /** The part is not valid or exceeds a size limit. */
    data class Malformed(val reason: String) : PartResult

    /** The caller closed its connection. */
    data object CallerGone : PartResult

    /** Another attempt of the request has begun or advanced the response. */
    data object Superseded : PartResult
}
