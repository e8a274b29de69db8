package io.greengageport.ports

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.ktor.client.HttpClient
import io.ktor.client.plugins.timeout
import io.ktor.client.request.get
import io.ktor.client.request.parameter
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.contentType
import java.io.IOException
import java.net.ConnectException
import java.util.Base64
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/**
 * Client for the platform's log service over HTTP and JSON.
 *
 * `POST /v1/log/{stream}` appends the body as a record and returns `{"offset": n}`.
 * `GET /v1/log/{stream}?from=n&max=n&wait_ms=n` returns a page of records, or 410 with the earliest
 * retained offset.
 */
public class HttpLogService(
    private val client: HttpClient,
    private val baseUrl: String,
    private val callTimeout: Duration = 3.seconds
) : LogService {
    override suspend fun append(stream: String, payload: ByteArray): Result<Long, LogError> = try {
        val response = client.post("$baseUrl/v1/log/$stream") {
            timeout { requestTimeoutMillis = callTimeout.inWholeMilliseconds }
            contentType(ContentType.Application.OctetStream)
            setBody(payload)
        }
        when (response.status.value) {
            HTTP_OK -> Ok(json.decodeFromString<AppendReply>(response.bodyAsText()).offset)
            HTTP_UNAVAILABLE -> Err(LogError.Unavailable("log service answered 503"))
            in CLIENT_ERRORS -> Err(LogError.Rejected(response.bodyAsText()))
            else -> Err(LogError.Uncertain("log service answered ${response.status.value}"))
        }
    } catch (e: ConnectException) {
        Err(LogError.Unavailable(e.toString()))
    } catch (e: IOException) {
        Err(LogError.Uncertain(e.toString()))
    } catch (e: SerializationException) {
        Err(LogError.Uncertain(e.toString()))
    } catch (e: TimeoutCancellationException) {
        Err(LogError.Uncertain(e.toString()))
    } catch (e: CancellationException) {
        currentCoroutineContext().ensureActive()
        Err(LogError.Uncertain(e.toString()))
    }

    override suspend fun read(
        stream: String,
        from: Long,
        max: Int,
        wait: Duration
    ): Result<LogBatch, LogError> = try {
        val response = client.get("$baseUrl/v1/log/$stream") {
            timeout { requestTimeoutMillis = (wait + callTimeout).inWholeMilliseconds }
            parameter("from", from)
            parameter("max", max)
            parameter("wait_ms", wait.inWholeMilliseconds)
        }
        decodePage(response)
    } catch (e: IOException) {
        Err(LogError.Unavailable(e.toString()))
    } catch (e: SerializationException) {
        Err(LogError.Unavailable(e.toString()))
    } catch (e: TimeoutCancellationException) {
        Err(LogError.Unavailable(e.toString()))
    } catch (e: CancellationException) {
        currentCoroutineContext().ensureActive()
        Err(LogError.Unavailable(e.toString()))
    }

    private suspend fun decodePage(response: HttpResponse): Result<LogBatch, LogError> =
        when (response.status.value) {
            HTTP_OK -> Ok(json.decodeFromString<LogPage>(response.bodyAsText()).toBatch())

            HTTP_GONE ->
                Err(
                    LogError.Truncated(
                        json.decodeFromString<TruncatedReply>(response.bodyAsText()).earliest
                    )
                )

            in CLIENT_ERRORS -> Err(LogError.Rejected(response.bodyAsText()))

            else -> Err(LogError.Unavailable("log service answered ${response.status.value}"))
        }

    private companion object {
        const val HTTP_OK = 200
        const val HTTP_GONE = 410
        const val HTTP_UNAVAILABLE = 503
        val CLIENT_ERRORS = 400..499
        val json = Json { ignoreUnknownKeys = true }
    }
}

/** Reply to an append. */
@Serializable
public data class AppendReply(val offset: Long)

/** Reply to a read before the earliest retained record. */
@Serializable
public data class TruncatedReply(val earliest: Long)

/** Wire format of a record; [payload] is Base64-encoded. */
@Serializable
public data class WireRecord(
    val offset: Long,
    @SerialName("appended_at_ms") val appendedAtMillis: Long,
    val payload: String
)

/** Wire format of a page of records. */
@Serializable
public data class LogPage(val earliest: Long, val next: Long, val records: List<WireRecord>) {
    internal fun toBatch(): LogBatch = LogBatch(
        earliest = earliest,
        next = next,
        records = records.map {
            LogRecord(it.offset, it.appendedAtMillis, Base64.getDecoder().decode(it.payload))
        }
    )

    public companion object {
        /** Encodes [batch] as a page. */
        public fun of(batch: LogBatch): LogPage = LogPage(
            earliest = batch.earliest,
            next = batch.next,
            records = batch.records.map {
                WireRecord(
                    it.offset,
                    it.appendedAtMillis,
                    Base64.getEncoder().encodeToString(it.payload)
                )
            }
        )
    }
}
