package io.greengageport.standins

import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.header
import io.ktor.server.response.respond
import io.ktor.server.response.respondBytes
import java.io.ByteArrayOutputStream
import java.util.zip.GZIPOutputStream

/** A JSON page with its entity tag, compressed once and shared by all callers. */
internal class TaggedPage private constructor(
    private val tag: String,
    private val plain: ByteArray,
    private val compressed: ByteArray
) {
    /**
     * Responds to [call] as its `If-None-Match` and `Accept-Encoding` headers request. Returns the
     * number of body bytes sent.
     */
    suspend fun respondTo(call: ApplicationCall): Int {
        call.response.header(HttpHeaders.ETag, tag)
        if (call.request.headers[HttpHeaders.IfNoneMatch] == tag) {
            call.respond(HttpStatusCode.NotModified)
            return 0
        }
        val accepted = call.request.headers[HttpHeaders.AcceptEncoding].orEmpty()
        val body = if (GZIP in accepted) compressed else plain
        if (body === compressed) call.response.header(HttpHeaders.ContentEncoding, GZIP)
        call.respondBytes(body, ContentType.Application.Json)
        return body.size
    }

    companion object {
        private const val GZIP = "gzip"
        private const val HASH_SEED = 1469598103934665603L
        private const val FNV_PRIME = 1099511628211L

        /** Creates the page for the JSON [text]. Equal texts have equal tags. */
        fun of(text: String): TaggedPage {
            val plain = text.encodeToByteArray()
            val hash = plain.fold(HASH_SEED) { h, b -> (h xor b.toLong()) * FNV_PRIME }
            val compressed = ByteArrayOutputStream()
            GZIPOutputStream(compressed).use { it.write(plain) }
            return TaggedPage(
                "\"${hash.toULong().toString(16)}\"",
                plain,
                compressed.toByteArray()
            )
        }
    }
}
