package io.greengageport.systemtest

import java.io.IOException
import java.net.http.HttpResponse
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonPrimitive

/** How a call ended for its caller; status 0 says that the connection was cut. */
internal data class CallEnd(
    val status: Int,
    val execution: String,
    val code: String = "",
    val body: String = "",
    val isReplayed: Boolean = false,
    val retryAfterSeconds: Long? = null
) {
    val isNotRun: Boolean get() = execution == "not_run"

    companion object {
        /** Runs [call]; a connection that is cut leaves the execution unknown. */
        fun of(call: () -> HttpResponse<String>): CallEnd = try {
            of(call())
        } catch (e: IOException) {
            CallEnd(status = 0, execution = "unknown", code = "cut", body = e.toString())
        }

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

        private fun codeOf(body: String): String {
            if (!body.startsWith("""{"error"""")) return ""
            val o = Json.parseToJsonElement(body) as? JsonObject
            return (o?.get("error") as? JsonObject)?.get("code")?.jsonPrimitive?.content.orEmpty()
        }
    }
}
