package io.greengageport.ports

import io.greengageport.common.LayerRange
import io.greengageport.common.RequestId
import io.greengageport.common.RunnerId
import io.greengageport.common.ServiceName
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/*
 * The HTTP protocol of model engines. `POST /v1/generate` at the first stage of a chain streams the
 * answer, one TokenFrame per line. `POST /v1/step` passes a token from one stage to the next.
 */

/** One stage of a route: the sub-range of layers that [runner] runs. */
@Serializable
public data class RouteHop(
    val runner: RunnerId,
    val address: String,
    val from: Int,
    val until: Int
) {
    /** The layers of this stage. */
    public val layers: LayerRange get() = LayerRange(from, until)
}

/**
 * Requests an answer from the first stage of [route].
 *
 * [delivered] contains the tokens that the caller has already received, and [firstIndex] is their
 * number; they are empty and 0 unless an answer is resumed. A lower [priority] value is more
 * urgent.
 */
@Serializable
public data class GenerateRequest(
    val request: RequestId,
    val attempt: Int,
    val service: ServiceName,
    val prompt: String,
    @SerialName("max_tokens") val maxTokens: Int,
    @SerialName("first_index") val firstIndex: Int = 0,
    val delivered: List<String> = emptyList(),
    val priority: Int = 0,
    val version: String = "",
    val route: List<RouteHop>
)

/** The layers that one stage ran for a token. */
@Serializable
public data class StageTrace(val runner: RunnerId, val from: Int, val until: Int)

/** One token of an answer; [layers] lists what each stage ran, in order. */
@Serializable
public data class TokenFrame(
    val request: RequestId,
    val attempt: Int,
    val index: Int,
    val text: String,
    val layers: List<StageTrace>,
    val last: Boolean = false,
    /** Time from sending a token to each stage after the first until its reply, in microseconds. */
    @SerialName("hop_us") val hopMicros: List<Long> = emptyList(),
    /** Processing time of each stage for the token, in microseconds. */
    @SerialName("stage_us") val stageMicros: List<Long> = emptyList()
)

/** Passes a token to stage [position] of the route. */
@Serializable
public data class StepRequest(
    val request: RequestId,
    val attempt: Int,
    val index: Int,
    /** Input of the stage: the output of the previous one, or at the first the input of layer 0. */
    val activation: Long,
    @SerialName("prompt_tokens") val promptTokens: Int,
    val priority: Int = 0,
    val route: List<RouteHop>,
    val position: Int,
    /** Length of the whole answer, from which a stage computes its remaining work. */
    @SerialName("max_tokens") val maxTokens: Int = 0
)

/** Combined reply of the stages from [StepRequest.position] to the end of the route. */
@Serializable
public data class StepReply(
    val request: RequestId,
    val attempt: Int,
    val index: Int,
    val activation: Long,
    val layers: List<StageTrace>,
    @SerialName("hop_us") val hopMicros: List<Long> = emptyList(),
    @SerialName("stage_us") val stageMicros: List<Long> = emptyList()
)

/** Asks an engine to stop the answer stream of [request]. */
@Serializable
public data class CancelRequest(val request: RequestId)

/** The desired state of an engine: the model, layers and adapters to load, and its role. */
@Serializable
public data class EngineOrder(
    val service: ServiceName,
    val version: String = "",
    val layers: LayerRange? = null,
    val adapters: List<String> = emptyList(),
    val role: String = ""
)

/** An order with the fencing token of the lease under which it is sent. */
@Serializable
public data class OrderRequest(val order: EngineOrder, val fencing: Long)

/** Answer to an order; [fencing] is the highest token that the engine has seen. */
@Serializable
public data class OrderReply(val accepted: Boolean, val fencing: Long)

/**
 * An event of an engine's prefix cache: the prompt block with hash [block] was stored or evicted.
 *
 * Sequence numbers increase by one. Events can arrive late, and some are lost.
 */
@Serializable
public data class CacheEvent(val sequence: Long, val block: Long, val evicted: Boolean = false)
