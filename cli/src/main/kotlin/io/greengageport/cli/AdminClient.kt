package io.greengageport.cli

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import java.io.IOException
import java.net.URI
import java.net.URLEncoder
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
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
}

/** Speaks HTTP to the admin port of an instance. */
internal class AdminClient(private val address: String, private val key: String) {
    private val http = HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(2)).build()

    /** The body of the answer to a GET, whose status has to be 200. */
    fun get(path: String, vararg query: Pair<String, String>): Result<String, AdminError> =
        exchange(request(path, query.toList()).GET().build(), setOf(OK))

    /** The body of the answer to a POST, for any status that carries a typed body. */
    fun post(path: String, body: String): Result<String, AdminError> = exchange(
        request(path, emptyList()).POST(HttpRequest.BodyPublishers.ofString(body)).build(),
        TYPED
    )

    private fun request(path: String, query: List<Pair<String, String>>): HttpRequest.Builder {
        val q = query.joinToString("&") { (k, v) -> "$k=${URLEncoder.encode(v, Charsets.UTF_8)}" }
        val uri = URI("http://$address$path" + if (q.isEmpty()) "" else "?$q")
        return HttpRequest.newBuilder(uri)
            .timeout(Duration.ofSeconds(TIMEOUT_SECONDS))
            .header("Authorization", "Bearer $key")
    }

    private fun exchange(r: HttpRequest, expected: Set<Int>): Result<String, AdminError> = try {
        val answer = http.send(r, HttpResponse.BodyHandlers.ofString())
        if (answer.statusCode() in expected) {
            Ok(answer.body())
        } else {
            Err(AdminError.Refused(answer.statusCode(), answer.body()))
        }
    } catch (e: IOException) {
        Err(AdminError.Unreachable(address, e.toString()))
    }

    private companion object {
        const val OK = 200
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

/** Prints why a call failed and returns the exit code. */
internal fun report(e: AdminError): Int {
    System.err.println(
        when (e) {
            is AdminError.Unreachable -> "instance ${e.address} cannot be reached: ${e.reason}"
            is AdminError.Refused -> "the instance answered ${e.status}: ${e.text}"
        }
    )
    return ExitCodes.UNREACHABLE
}

internal inline fun <reified T> printJson(value: T): Unit = println(cliJson.encodeToString(value))
