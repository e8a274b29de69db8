package io.greengageport.entry

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.greengageport.common.RequestError
import io.greengageport.common.RequestId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull

/** The two forms of completion calls, with the object types of their answers. */
internal enum class CompletionForm(val streamObject: String, val answerObject: String) {
    TEXT("text_completion", "text_completion"),
    CHAT("chat.completion.chunk", "chat.completion")
}

/** A parsed completion call of either form. [stream] tells whether the answer is streamed. */
internal data class CompletionCall(
    val form: CompletionForm,
    val model: String,
    val prompt: String,
    val maxTokens: Int,
    val stream: Boolean
) {
    /** The service that [model] names: `guide` in `guide` and in `guide:v2`. */
    val service: String get() = model.substringBefore(VERSION_MARK)

    /** The version that [model] names, `v2` in `guide:v2`, or null if it names none. */
    val version: String? get() = if (VERSION_MARK in model) {
        model.substringAfter(VERSION_MARK)
    } else {
        null
    }

    companion object {
        /** Separates service and version. Names of services cannot contain it. */
        const val VERSION_MARK = ':'
    }
}

/** Parses and writes the completion formats that common client libraries use. */
internal object CompletionFormat {
    private const val DEFAULT_MAX_TOKENS = 64
    private const val MAX_MAX_TOKENS = 32_768
    private val json = Json { ignoreUnknownKeys = true }

    @Serializable
    private data class Message(val role: String = "user", val content: JsonElement? = null)

    @Serializable
    private data class Body(
        val model: String,
        val prompt: JsonElement? = null,
        val messages: List<Message> = emptyList(),
        @SerialName("max_tokens") val maxTokens: Int? = null,
        @SerialName("max_completion_tokens") val maxCompletionTokens: Int? = null,
        val stream: Boolean = false,
        val n: Int = 1
    )

    /** Parses the JSON body [text] of a call; an error names the invalid field. */
    fun parse(form: CompletionForm, text: String): Result<CompletionCall, RequestError> {
        val body = try {
            json.decodeFromString<Body>(text)
        } catch (e: SerializationException) {
            val line = e.message.orEmpty().lineSequence().first()
            return Err(RequestError.Invalid("the body is not a completion call: $line"))
        }
        val prompt = when (form) {
            CompletionForm.TEXT -> promptText(body.prompt)
            CompletionForm.CHAT -> chatPrompt(body.messages)
        }
        val tokens = body.maxCompletionTokens ?: body.maxTokens ?: DEFAULT_MAX_TOKENS
        return when {
            prompt.isNullOrEmpty() -> Err(RequestError.Invalid("the prompt is missing or empty"))

            tokens !in 1..MAX_MAX_TOKENS ->
                Err(RequestError.Invalid("max_tokens is from 1 to $MAX_MAX_TOKENS, not $tokens"))

            body.n != 1 -> Err(RequestError.Invalid("n is 1; other values are not offered"))

            else -> Ok(CompletionCall(form, body.model, prompt, tokens, body.stream))
        }
    }

    private fun chatPrompt(messages: List<Message>): String? =
        messages.mapNotNull { m -> promptText(m.content)?.let { "${m.role}: $it" } }
            .joinToString("\n")
            .ifEmpty { null }

    private fun promptText(e: JsonElement?): String? = when (e) {
        is JsonPrimitive -> e.contentOrNull

        is JsonArray -> e.mapNotNull { part ->
            if (part is JsonObject) promptText(part["text"]) else promptText(part)
        }.joinToString("\n")

        else -> null
    }

    /**
     * Returns a server-sent event with the token [text]. [createdAtSeconds] is the time of the call
     * in seconds of the wall clock; [finishReason] is null except for the last token.
     */
    fun event(
        id: RequestId,
        call: CompletionCall,
        createdAtSeconds: Long,
        text: String,
        finishReason: String?
    ) = buildString(EVENT_CAPACITY_CHARS) {
        append("data: {\"id\":\"").append(id.value)
        append("\",\"object\":\"").append(call.form.streamObject)
        append("\",\"created\":").append(createdAtSeconds)
        append(",\"model\":").append(jsonString(call.model))
        append(",\"choices\":[{\"index\":0,")
        when (call.form) {
            CompletionForm.TEXT -> append("\"text\":").append(jsonString(text))

            CompletionForm.CHAT ->
                append("\"delta\":{\"content\":").append(jsonString(text)).append('}')
        }
        append(",\"finish_reason\":")
            .append(if (finishReason == null) "null" else jsonString(finishReason))
        append("}]}\n\n")
    }

    /** Returns the complete answer to a call without streaming. */
    fun answer(
        id: RequestId,
        call: CompletionCall,
        createdAtSeconds: Long,
        text: String,
        usage: Usage
    ) = buildString {
        append("{\"id\":\"").append(id.value)
        append("\",\"object\":\"").append(call.form.answerObject)
        append("\",\"created\":").append(createdAtSeconds)
        append(",\"model\":").append(jsonString(call.model))
        append(",\"choices\":[{\"index\":0,")
        when (call.form) {
            CompletionForm.TEXT -> append("\"text\":").append(jsonString(text))

            CompletionForm.CHAT ->
                append("\"message\":{\"role\":\"assistant\",\"content\":")
                    .append(jsonString(text)).append('}')
        }
        append(",\"finish_reason\":\"length\"}],\"usage\":")
        append(json.encodeToString(usage)).append('}')
    }

    private fun jsonString(text: String): String = json.encodeToString(text)

    private const val EVENT_CAPACITY_CHARS = 224
}

/** Token counts of an answer. */
@Serializable
internal data class Usage(
    @SerialName("prompt_tokens") val promptTokens: Int,
    @SerialName("completion_tokens") val completionTokens: Int,
    @SerialName("total_tokens") val totalTokens: Int = promptTokens + completionTokens
)
