package io.greengageport.bench

import io.greengageport.common.RequestId
import io.greengageport.common.RunnerId
import io.greengageport.common.ServiceName
import io.greengageport.ports.GenerateRequest
import io.greengageport.ports.RouteHop
import io.greengageport.ports.TokenFrame
import io.ktor.client.HttpClient
import io.ktor.client.request.preparePost
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsChannel
import io.ktor.utils.io.readLine
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json

/** Calls a single-stage engine directly, without an entry instance in between. */
internal class DirectEngineClient(
    private val http: HttpClient,
    private val engine: String,
    private val address: String,
    private val layers: Int
) {
    /**
     * Returns the token texts of the answer to [prompt], [tokens] if it is complete.
     *
     * The list is empty if the engine refuses the request.
     */
    suspend fun generate(id: String, service: String, prompt: String, tokens: Int): List<String> {
        val call = GenerateRequest(
            request = RequestId(id),
            attempt = 1,
            service = ServiceName(service),
            prompt = prompt,
            maxTokens = tokens,
            firstIndex = 0,
            delivered = emptyList(),
            priority = 0,
            version = "v1",
            route = listOf(RouteHop(RunnerId(engine), address, 0, layers))
        )
        return http.preparePost("http://$address/v1/generate") {
            setBody(Json.encodeToString(call))
        }.execute { response ->
            val channel = response.bodyAsChannel()
            val texts = ArrayList<String>(tokens)
            while (response.status.value == OK) {
                val line = channel.readLine() ?: break
                texts += json.decodeFromString<TokenFrame>(line).text
            }
            texts
        }
    }

    private companion object {
        const val OK = 200
        val json = Json { ignoreUnknownKeys = true }
    }
}
