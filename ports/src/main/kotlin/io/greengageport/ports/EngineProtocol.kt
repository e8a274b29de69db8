package io.greengageport.ports

import io.greengageport.common.LayerRange
import io.greengageport.common.RequestId
import io.greengageport.common.RunnerId
import io.greengageport.common.ServiceName
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/*
 * The HTTP protocol of model engines: `POST /v1/generate` at the first stage of a chain streams
 * one TokenFrame a line; `POST /v1/step` passes a token from stage to stage.
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
 * Asks the first stage of [route] for an answer.
 *
 * [delivered] holds the tokens that the caller already has and [firstIndex] their number; they
 * are empty and 0 unless an answer is resumed. A lower [priority] value is more urgent.
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

/** Layers that a stage ran for a token. */
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
    /** Time that each stage itself spent on the token, in microseconds. */
    @SerialName("stage_us") val stageMicros: List<Long> = emptyList()
)

/** Passes a token to stage [position] of the route. */
@Serializable
public data class StepRequest(
    val request: RequestId,
    val attempt: Int,
    val index: Int,
    val activation: Long,
    @SerialName("prompt_tokens") val promptTokens: Int,
    val priority: Int = 0,
    val route: List<RouteHop>,
    val position: Int,
    /** Length of the whole answer, from which a stage knows its work not yet done. */
    @SerialName("max_tokens") val maxTokens: Int = 0
)

/** Answer of the stages from [StepRequest.position] on. */
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

/** Names the request whose stream an engine shall stop. */
@Serializable
public data class CancelRequest(val request: RequestId)

/** A declarative order to an engine: what it shall hold from now on. */
@Serializable
public data class EngineOrder(
    val service: ServiceName,
    val version: String = "",
    val layers: LayerRange? = null,
    val adapters: List<String> = emptyList(),
    val role: String = ""
)

/** An order with the fencing token of the lease under which it is given. */
@Serializable
public data class OrderRequest(val order: EngineOrder, val fencing: Long)

/** Answer to an order; [fencing] is the highest token that the engine has seen. */
@Serializable
public data class OrderReply(val accepted: Boolean, val fencing: Long)

/**
 * An event of an engine's prefix cache: it stored or evicted the prompt block with hash [block].
 *
 * Sequence numbers grow by one; events come late, and some are missing.
 */
@Serializable
public data class CacheEvent(val sequence: Long, val block: Long, val evicted: Boolean = false)
