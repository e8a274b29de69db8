package io.greengageport.systemtest

import java.io.IOException
import java.net.http.HttpResponse
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonPrimitive

/**
 * The result of a call as its caller sees it.
 *
 * Status 0 means that the connection was cut or could not be opened.
 */
internal data class CallEnd(
    val status: Int,
    val execution: String,
    val code: String = "",
    val body: String = "",
    val isReplayed: Boolean = false,
    val retryAfterSeconds: Long? = null
) {
    /** Whether the response states that the call did not run and will not run later. */
    val isNotRun: Boolean get() = execution == "not_run"

    companion object {
        /** Runs [call]; an I/O error yields status 0, code `cut` and an unknown execution. */
        fun of(call: () -> HttpResponse<String>): CallEnd = try {
            of(call())
        } catch (e: IOException) {
            CallEnd(status = 0, execution = "unknown", code = "cut", body = e.toString())
        }

        /** Reads status, code and the Greengage headers of the response [r]. */
        fun of(r: HttpResponse<String>): CallEnd {
            val headers = r.headers()
            return CallEnd(
                status = r.statusCode(),
                execution = headers.firstValue("Greengage-Execution").orElse(""),
                code = codeOf(r.body()),
                body = r.body(),
                isReplayed = headers.firstValue("Greengage-Replayed").orElse("") == "true",
                retryAfterSeconds =
                    headers.firstValue("Retry-After").map { it.toLong() }.orElse(null)
            )
        }

        /** Returns the error code in [body], or an empty text. */
        private fun codeOf(body: String): String {
            if (!body.startsWith("""{"error"""")) return ""
            val obj = Json.parseToJsonElement(body) as? JsonObject
            return (obj?.get("error") as? JsonObject)?.get("code")?.jsonPrimitive?.content.orEmpty()
        }
    }
}
