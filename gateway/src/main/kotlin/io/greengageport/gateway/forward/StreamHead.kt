package io.greengageport.gateway.forward

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders

/** The status and headers of a streamed response of a backend server. */
internal class StreamHead(val status: Int, val headers: HttpHeaders) {
    /** The content type without its parameters, or null if there is none. */
    val mediaType: String? =
        headers[HttpHeaderNames.CONTENT_TYPE]?.substringBefore(';')?.trim()?.lowercase()
}
