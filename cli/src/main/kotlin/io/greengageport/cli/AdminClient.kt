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

/** Options of all commands that talk to an instance. */
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
        description = ["A team's key; better given in the variable GREENGAGEPORT_KEY."],
        defaultValue = "\${env:GREENGAGEPORT_KEY:-}"
    )
    lateinit var key: String

    @Option(names = ["--json"], description = ["Prints JSON."])
    var json: Boolean = false

    fun client(address: String = admin): AdminClient = AdminClient(address, key)
}

/** Why a call to an instance's admin port failed. */
internal sealed interface AdminError {
    data class Unreachable(val address: String, val reason: String) : AdminError

    data class Refused(val status: Int, val text: String) : AdminError

    /** The address is not of the form host:port. */
    data class BadAddress(val address: String) : AdminError
}

/** Speaks HTTP to the admin port of an instance. */
internal class AdminClient(private val address: String, private val key: String) {
    private val http = HttpClient.newBuilder().connectTimeout(
        Duration.ofSeconds(CONNECT_SECONDS)
    ).build()

    /** The body of the answer to a GET, whose status has to be 200. */
    fun get(path: String, vararg query: Pair<String, String>): Result<String, AdminError> =
        request(path, query.toList()).andThen { exchange(it.GET().build(), setOf(OK)) }

    /** The body of the answer to a POST, for any status that carries a typed body. */
    fun post(path: String, body: String): Result<String, AdminError> =
        request(path, emptyList()).andThen {
            exchange(it.POST(HttpRequest.BodyPublishers.ofString(body)).build(), TYPED)
        }

    private fun request(
        path: String,
        query: List<Pair<String, String>>
    ): Result<HttpRequest.Builder, AdminError> = try {
        val q = query.joinToString("&") { (k, v) -> "$k=${encoded(v)}" }
        val uri = URI("http://$address$path" + if (q.isEmpty()) "" else "?$q")
        if (uri.port == NO_PORT || uri.host == null) {
            Err(AdminError.BadAddress(address))
        } else {
            Ok(
                HttpRequest.newBuilder(uri)
                    .timeout(Duration.ofSeconds(TIMEOUT_SECONDS))
                    .header("Authorization", "Bearer $key")
            )
        }
    } catch (e: URISyntaxException) {
        Err(AdminError.BadAddress(address))
    }

    private fun exchange(r: HttpRequest, expected: Set<Int>): Result<String, AdminError> = try {
        val answer = http.send(r, HttpResponse.BodyHandlers.ofString())
        if (answer.statusCode() in expected) {
            Ok(answer.body())
        } else {
            Err(AdminError.Refused(answer.statusCode(), answer.body()))
        }
    } catch (e: IOException) {
        Err(AdminError.Unreachable(address, reason(e)))
    }

    private fun reason(e: IOException): String = when (e) {
        is HttpConnectTimeoutException -> "no connection within $CONNECT_SECONDS s"
        is HttpTimeoutException -> "no answer within $TIMEOUT_SECONDS s"
        is ConnectException -> "no connection" + e.message?.let { ", $it" }.orEmpty()
        else -> e.toString()
    }

    private companion object {
        const val OK = 200
        const val NO_PORT = -1
        const val CONNECT_SECONDS = 2L
        const val TIMEOUT_SECONDS = 60L

        /** Statuses of a publish: accepted, undecided, malformed, rejected and not appended. */
        val TYPED = setOf(200, 202, 400, 409, 503)
    }
}

internal val cliJson: Json = Json {
    ignoreUnknownKeys = true
    prettyPrint = true
    encodeDefaults = true
}

/** [value] as one segment of a path or as a value of a query. */
internal fun encoded(value: String): String =
    URLEncoder.encode(value, Charsets.UTF_8).replace("+", "%20")

/** Prints why a call failed and returns the exit code. */
internal fun report(e: AdminError): Int {
    System.err.println(describe(e))
    return if (e is AdminError.BadAddress) ExitCodes.USAGE else ExitCodes.UNREACHABLE
}

internal fun describe(e: AdminError): String = when (e) {
    is AdminError.BadAddress -> "an admin address is HOST:PORT, not '${e.address}'"

    is AdminError.Unreachable -> "instance ${e.address} cannot be reached: ${e.reason}"

    is AdminError.Refused -> when (e.status) {
        UNAUTHORIZED ->
            "the instance refuses the key; give a team's key with --key or GREENGAGEPORT_KEY"

        NOT_FOUND -> "the instance answered 404; is this its admin port?"

        else -> "the instance answered ${e.status}: ${e.text}"
    }
}

private const val UNAUTHORIZED = 401
private const val NOT_FOUND = 404

/** Why [file] cannot be read. */
internal fun describe(file: Path, e: IOException): String = "$file cannot be read: " + when (e) {
    is NoSuchFileException -> "there is no such file"
    is CharacterCodingException -> "it is not UTF-8 text"
    else -> e.message ?: e.toString()
}

/** Prints [rows] with aligned columns. */
internal fun printTable(rows: List<List<String>>) {
    val widths = rows.first().indices.map { c -> rows.maxOf { it[c].length } }
    for (r in rows) {
        println(r.zip(widths).joinToString("  ") { (text, w) -> text.padEnd(w) }.trimEnd())
    }
}

internal inline fun <reified T> printJson(value: T): Unit = println(cliJson.encodeToString(value))
