package io.greengageport.gateway.forward

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import java.util.Locale

/** Removes the headers that apply to a single connection only (RFC 9110, section 7.6.1). */
public object EndToEndHeaders {
    private val hopByHop = setOf(
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
        "content-length"
    )

    /**
     * Returns a copy of [headers] without hop-by-hop headers, headers that Connection names, and
     * Content-Length.
     */
    public fun of(headers: HttpHeaders): HttpHeaders {
        val named = headers.getAll(HttpHeaderNames.CONNECTION)
            .flatMap { it.split(',') }
            .map { it.trim().lowercase(Locale.ROOT) }
        val copy = DefaultHttpHeaders()
        for ((name, value) in headers.iteratorAsString().asSequence().map { it.key to it.value }) {
            val key = name.lowercase(Locale.ROOT)
            if (key !in hopByHop && key !in named) copy.add(name, value)
        }
        return copy
    }
}
