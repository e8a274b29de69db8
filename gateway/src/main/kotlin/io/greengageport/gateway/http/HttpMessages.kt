package io.greengageport.gateway.http

import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod

/** A request that is sent whole; [path] includes the query. */
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

/** An answer that was read whole. */
public class HttpReply(
    public val status: Int,
    public val headers: HttpHeaders,
    public val body: ByteArray
)

/** Why there is no whole answer. */
public sealed interface HttpFailure {
    /** No connection was made, so nothing was sent. */
    public data class NotConnected(val reason: String) : HttpFailure

    /** The connection ended or fell silent after the request had been sent at least in part. */
    public data class Broken(val reason: String) : HttpFailure
}
