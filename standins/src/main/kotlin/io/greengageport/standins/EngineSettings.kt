package io.greengageport.standins

import io.greengageport.common.DataCentre
import io.greengageport.common.LayerRange
import io.greengageport.common.RequestId
import io.greengageport.common.RunnerId
import io.greengageport.common.ServiceName
import io.greengageport.ports.TokenFrame
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Identity, layers and speed of a model engine stand-in.
 *
 * [stepMillis] is the duration of a step over the whole layer range, [hopMillis] a delay before
 * each call to the next stage, and [loadMillis] the time to load a model version. A prompt that
 * contains [crashMarker] ends the process.
 */
internal data class EngineSettings(
    val id: RunnerId,
    val service: ServiceName,
    val dataCentre: DataCentre,
    val layers: LayerRange,
    val modelLayers: Int,
    val accelerator: String = "standard",
    val stepMillis: Long = 0,
    val batch: Int = 16,
    val prefillTokensPerStep: Int = 256,
    val hopMillis: Long = 0,
    val cacheTokens: Int = 4_096,
    val checksFencing: Boolean = true,
    val loadMillis: Long = 200,
    val crashMarker: String? = null,
    val version: String = "v1",
    val reportMillis: Long = 250
)

/** Faults that a test sets with `PUT /control` on an engine. Absent fields change nothing. */
@Serializable
internal data class EngineControl(
    /** While true, the engine neither answers requests nor closes connections. */
    val frozen: Boolean? = null,
    val slowdown: Double? = null,
    @SerialName("hop_ms") val hopMillis: Long? = null,
    val leaving: Boolean? = null,
    /** While true, the engine sends no load reports, so the platform serves a stale one. */
    @SerialName("reports_stopped") val reportsStopped: Boolean? = null,
    val crash: Boolean = false,
    /** Inserts one wrong frame into the next answer. */
    @SerialName("wrong_frame") val wrongFrame: WrongFrame? = null
)

/** Kinds of frames that are invalid at their position in an answer. */
@Serializable
internal enum class WrongFrame {
    @SerialName("repeated")
    REPEATED,

    @SerialName("skipped")
    SKIPPED,

    @SerialName("other_request")
    OTHER_REQUEST,

    @SerialName("other_attempt")
    OTHER_ATTEMPT,

    /** A frame whose layer trace lacks the first stage of the chain. */
    @SerialName("wrong_layers")
    WRONG_LAYERS;

    /** Returns a wrong frame of this kind, derived from [frame], to send ahead of it. */
    fun corrupt(frame: TokenFrame): TokenFrame = when (this) {
        REPEATED -> frame.copy(index = frame.index - 1)
        SKIPPED -> frame.copy(index = frame.index + 1)
        OTHER_REQUEST -> frame.copy(request = RequestId("other"))
        OTHER_ATTEMPT -> frame.copy(attempt = frame.attempt + 1)
        WRONG_LAYERS -> frame.copy(layers = frame.layers.drop(1))
    }.copy(text = "wrong ")
}

/** Counters of an engine stand-in since it started. */
@Serializable
public data class EngineCounters(
    val generates: Long,
    val steps: Long,
    val running: Int,
    val cancelled: Long,
    @SerialName("tokens_after_cancel") val tokensAfterCancel: Long = 0,
    val fencing: Long,
    @SerialName("orders_accepted") val ordersAccepted: Long,
    val version: String,
    /** Number of batches run; [busyMillis] is the time spent on them. */
    val batches: Long = 0,
    @SerialName("busy_ms") val busyMillis: Long = 0
)
