package io.greengageport.ports

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.ktor.client.HttpClient
import io.ktor.client.plugins.timeout
import io.ktor.client.request.get
import io.ktor.client.request.header
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsBytes
import io.ktor.http.HttpHeaders
import java.io.IOException
import java.util.concurrent.atomic.AtomicReference
import java.util.zip.GZIPInputStream
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/**
 * Client for the platform's instance list (`GET /v1/instances`) and load reports (`GET /v1/load`).
 *
 * Requests send the entity tag of the cached page and accept gzip. A platform that supports neither
 * returns whole pages; a 304 response saves the transfer and the decoding.
 */
public class HttpPlatform(
    private val client: HttpClient,
    private val baseUrl: String,
    private val callTimeout: Duration = 2.seconds
) : InstanceList,
    LoadReports {
    /** A decoded page and the entity tag that it was sent with. */
    private class Page<T>(val entityTag: String, val value: T)

    private val listing = AtomicReference<Page<InstanceListing>>()
    private val loads = AtomicReference<Page<List<LoadReport>>>()

    override suspend fun list(): Result<InstanceListing, PlatformError> =
        fetch("/v1/instances", listing) { json.decodeFromString<InstanceListing>(it) }

    override suspend fun latest(): Result<List<LoadReport>, PlatformError> =
        fetch("/v1/load", loads) { json.decodeFromString<List<LoadReport>>(it) }

    private suspend fun <T> fetch(
        path: String,
        cached: AtomicReference<Page<T>>,
        decode: (String) -> T
    ): Result<T, PlatformError> = try {
        val cachedPage = cached.get()
        val response = client.get("$baseUrl$path") {
            timeout { requestTimeoutMillis = callTimeout.inWholeMilliseconds }
            header(HttpHeaders.AcceptEncoding, GZIP)
            cachedPage?.let { header(HttpHeaders.IfNoneMatch, it.entityTag) }
        }
        if (response.status.value == HTTP_OK) {
            val value = decode(readBody(response))
            cached.set(response.headers[HttpHeaders.ETag]?.let { Page(it, value) })
            Ok(value)
        } else if (response.status.value == HTTP_NOT_MODIFIED && cachedPage != null) {
            Ok(cachedPage.value)
        } else {
            Err(PlatformError.Unavailable("platform answered ${response.status.value}"))
        }
    } catch (e: IOException) {
        Err(PlatformError.Unavailable(e.toString()))
    } catch (e: SerializationException) {
        Err(PlatformError.Malformed(e.toString()))
    } catch (e: TimeoutCancellationException) {
        Err(PlatformError.Unavailable(e.toString()))
    } catch (e: CancellationException) {
        currentCoroutineContext().ensureActive()
        Err(PlatformError.Unavailable(e.toString()))
    }

    private suspend fun readBody(response: HttpResponse): String {
        val body = response.bodyAsBytes()
        if (response.headers[HttpHeaders.ContentEncoding] != GZIP) return body.decodeToString()
        return GZIPInputStream(body.inputStream()).use { it.readBytes() }.decodeToString()
    }

    private companion object {
        const val GZIP = "gzip"
        const val HTTP_OK = 200
        const val HTTP_NOT_MODIFIED = 304
        val json = Json { ignoreUnknownKeys = true }
    }
}
