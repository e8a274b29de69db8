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
    public data class NotConnected(
        val reason: String,
        val observer: ConnectionObserver = ConnectionObserver.THIS_INSTANCE
    ) : HttpFailure

    /** The connection failed or timed out after at least part of the request was sent. */
    public data class Broken(val reason: String) : HttpFailure
}

/** Who observed that no connection could be opened, which decides what it says about the server. */
public enum class ConnectionObserver {
    /** This instance, which may have no path to servers itself. */
    THIS_INSTANCE,

    /** A peer that has a path to servers and did not reach this one. */
    PEER,

    /** Nobody: no tunnel to a peer was opened, which says nothing about the server. */
    NOBODY
}
