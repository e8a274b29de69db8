package io.greengageport.entry

import io.greengageport.common.RequestError
import io.greengageport.common.RequestId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json

/** The JSON body of an error response to a caller. */
@Serializable
internal data class ErrorBody(val error: Detail) {
    @Serializable
    data class Detail(
        val code: String,
        val message: String,
        val execution: String,
        @SerialName("request_id") val requestId: String,
        @SerialName("retry_after_ms") val retryAfterMillis: Long? = null
    )

    companion object {
        private val json = Json { encodeDefaults = false }

        /** Returns the body for the error [e] of the request [id]. */
        fun text(e: RequestError, id: RequestId): String = json.encodeToString(
            ErrorBody(Detail(e.code, e.message, e.execution.wireName, id.value, e.retryAfterMillis))
        )
    }
}
