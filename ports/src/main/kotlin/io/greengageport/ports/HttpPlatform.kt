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
 * The instance list (`GET /v1/instances`) and the load reports (`GET /v1/load`) over HTTP.
 *
 * Calls carry the entity tag of the last page and accept gzip. A platform that knows neither
 * answers whole pages; one that answers 304 saves the transfer and the decoding.
 */
public class HttpPlatform(
    private val client: HttpClient,
    private val baseUrl: String,
    private val callTimeout: Duration = 2.seconds
) : InstanceList,
    LoadReports {
    private class Page<T>(val tag: String, val value: T)

    private val listing = AtomicReference<Page<InstanceListing>>()
    private val loads = AtomicReference<Page<List<LoadReport>>>()

    override suspend fun list(): Result<InstanceListing, PlatformError> =
        fetch("/v1/instances", listing) { json.decodeFromString<InstanceListing>(it) }

    override suspend fun latest(): Result<List<LoadReport>, PlatformError> =
        fetch("/v1/load", loads) { json.decodeFromString<List<LoadReport>>(it) }

    private suspend fun <T> fetch(
        path: String,
        kept: AtomicReference<Page<T>>,
        decode: (String) -> T
    ): Result<T, PlatformError> = try {
        val last = kept.get()
        val r = client.get("$baseUrl$path") {
            timeout { requestTimeoutMillis = callTimeout.inWholeMilliseconds }
            header(HttpHeaders.AcceptEncoding, GZIP)
            last?.let { header(HttpHeaders.IfNoneMatch, it.tag) }
        }
        if (r.status.value == HTTP_OK) {
            val value = decode(text(r))
            kept.set(r.headers[HttpHeaders.ETag]?.let { Page(it, value) })
            Ok(value)
        } else if (r.status.value == HTTP_NOT_MODIFIED && last != null) {
            Ok(last.value)
        } else {
            Err(PlatformError.Unavailable("platform answered ${r.status.value}"))
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

    private suspend fun text(r: HttpResponse): String {
        val body = r.bodyAsBytes()
        if (r.headers[HttpHeaders.ContentEncoding] != GZIP) return body.decodeToString()
        return GZIPInputStream(body.inputStream()).use { it.readBytes() }.decodeToString()
    }

    private companion object {
        const val GZIP = "gzip"
        const val HTTP_OK = 200
        const val HTTP_NOT_MODIFIED = 304
        val json = Json { ignoreUnknownKeys = true }
    }
}
