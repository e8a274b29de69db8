package io.greengageport.cli

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import java.io.IOException
import java.net.ConnectException
import java.net.URI
import java.net.URISyntaxException
import java.net.URLEncoder
import java.net.http.HttpClient
import java.net.http.HttpConnectTimeoutException
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.net.http.HttpTimeoutException
import java.nio.charset.CharacterCodingException
import java.nio.file.NoSuchFileException
import java.nio.file.Path
import java.time.Duration
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import picocli.CommandLine.Option

/** Options of all commands that call the admin API of an instance. */
internal class AdminOptions {
    @Option(
        names = ["--admin"],
        paramLabel = "HOST:PORT",
        description = ["Admin address of an instance (default: \${DEFAULT-VALUE})."],
        defaultValue = "\${env:GREENGAGEPORT_ADMIN:-127.0.0.1:8081}"
    )
    lateinit var admin: String

    @Option(
        names = ["--key"],
        paramLabel = "KEY",
        description = ["A team's key; prefer the environment variable GREENGAGEPORT_KEY."],
        defaultValue = "\${env:GREENGAGEPORT_KEY:-}"
    )
    lateinit var key: String

    @Option(names = ["--json"], description = ["Prints JSON."])
    var isJson: Boolean = false

    /** Creates a client for the instance at [address], by default that of the option. */
    fun client(address: String = admin): AdminClient = AdminClient(address, key)
}

/** The error of a call to the admin API. */
internal sealed interface AdminError {
    /** The instance could not be reached or did not respond in time. */
    data class Unreachable(val address: String, val reason: String) : AdminError

    /** The instance responded with an unexpected status and the body [text]. */
    data class ErrorStatus(val status: Int, val text: String) : AdminError

    /** The address is not of the form host:port. */
    data class InvalidAddress(val address: String) : AdminError
}

/** HTTP client for the admin API of the instance at [address]. */
internal class AdminClient(private val address: String, private val key: String) {
    private val http = HttpClient.newBuilder().connectTimeout(
        Duration.ofSeconds(CONNECT_SECONDS)
    ).build()

    /** Sends a GET request and returns the response body; any status but 200 is an error. */
    fun get(path: String, vararg query: Pair<String, String>): Result<String, AdminError> =
        request(path, query.toList()).andThen { exchange(it.GET().build(), setOf(OK)) }

    /** Sends a POST request and returns the response body of any [PUBLISH_STATUSES]. */
    fun post(path: String, body: String): Result<String, AdminError> =
        request(path, emptyList()).andThen {
            exchange(it.POST(HttpRequest.BodyPublishers.ofString(body)).build(), PUBLISH_STATUSES)
        }

    private fun request(
        path: String,
        query: List<Pair<String, String>>
    ): Result<HttpRequest.Builder, AdminError> = try {
        val q = query.joinToString("&") { (k, v) -> "$k=${urlEncoded(v)}" }
        val uri = URI("http://$address$path" + if (q.isEmpty()) "" else "?$q")
        if (uri.port == NO_PORT || uri.host == null) {
            Err(AdminError.InvalidAddress(address))
        } else {
            Ok(
                HttpRequest.newBuilder(uri)
                    .timeout(Duration.ofSeconds(TIMEOUT_SECONDS))
                    .header("Authorization", "Bearer $key")
            )
        }
    } catch (e: URISyntaxException) {
        Err(AdminError.InvalidAddress(address))
    }

    private fun exchange(r: HttpRequest, expected: Set<Int>): Result<String, AdminError> = try {
        val answer = http.send(r, HttpResponse.BodyHandlers.ofString())
        if (answer.statusCode() in expected) {
            Ok(answer.body())
        } else {
            Err(AdminError.ErrorStatus(answer.statusCode(), answer.body()))
        }
    } catch (e: IOException) {
        Err(AdminError.Unreachable(address, reason(e)))
    }

    private fun reason(e: IOException): String = when (e) {
        is HttpConnectTimeoutException -> "connect timeout after $CONNECT_SECONDS s"
        is HttpTimeoutException -> "no response within $TIMEOUT_SECONDS s"
        is ConnectException -> "connection failed" + e.message?.let { ", $it" }.orEmpty()
        else -> e.toString()
    }

    private companion object {
        const val OK = 200
        const val NO_PORT = -1
        const val CONNECT_SECONDS = 2L
        const val TIMEOUT_SECONDS = 60L

        /** Statuses of a publish: accepted, undecided, malformed, rejected, not appended. */
        val PUBLISH_STATUSES = setOf(200, 202, 400, 409, 503)
    }
}

internal val cliJson: Json = Json {
    ignoreUnknownKeys = true
    prettyPrint = true
    encodeDefaults = true
}

/** Percent-encodes [value] as a path segment or query value. */
internal fun urlEncoded(value: String): String =
    URLEncoder.encode(value, Charsets.UTF_8).replace("+", "%20")

/** Prints the error of a failed call and returns the exit code. */
internal fun reportError(e: AdminError): Int {
    System.err.println(describe(e))
    return if (e is AdminError.InvalidAddress) ExitCodes.USAGE else ExitCodes.UNREACHABLE
}

internal fun describe(e: AdminError): String = when (e) {
    is AdminError.InvalidAddress -> "an admin address is HOST:PORT, not '${e.address}'"

    is AdminError.Unreachable -> "instance ${e.address} cannot be reached: ${e.reason}"

    is AdminError.ErrorStatus -> when (e.status) {
        UNAUTHORIZED ->
            "the instance rejected the key; set a team's key with --key or GREENGAGEPORT_KEY"

        NOT_FOUND -> "the instance returned status 404; is this its admin port?"

        else -> "the instance returned status ${e.status}: ${e.text}"
    }
}

private const val UNAUTHORIZED = 401
private const val NOT_FOUND = 404

/** Returns the error message for a [file] that cannot be read. */
internal fun describe(file: Path, e: IOException): String = "$file cannot be read: " + when (e) {
    is NoSuchFileException -> "there is no such file"
    is CharacterCodingException -> "not valid UTF-8"
    else -> e.message ?: e.toString()
}

/** Prints [rows] as a table with aligned columns. */
internal fun printTable(rows: List<List<String>>) {
    val widths = rows.first().indices.map { c -> rows.maxOf { it[c].length } }
    for (r in rows) {
        println(r.zip(widths).joinToString("  ") { (text, w) -> text.padEnd(w) }.trimEnd())
    }
}

internal inline fun <reified T> printJson(value: T): Unit = println(cliJson.encodeToString(value))
