package io.greengageport.gateway.http

import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod

/** A request with its complete body; [path] includes the query. */
public class OutgoingRequest(
    public val method: HttpMethod,
    public val path: String,
    public val headers: HttpHeaders,
    public val body: ByteArray = NO_BYTES
) {
    public companion object {
        public val NO_BYTES: ByteArray = ByteArray(0)
    }
}

/** A response with its complete body. */
public class HttpReply(
    public val status: Int,
    public val headers: HttpHeaders,
    public val body: ByteArray
)

/** Why a call returned no complete response. */
public sealed interface HttpFailure {
    /** No connection could be opened, so nothing was sent. */
    public data class NotConnected(val reason: String) : HttpFailure

    /** The connection failed or timed out after at least part of the request was sent. */
    public data class Broken(val reason: String) : HttpFailure
}
