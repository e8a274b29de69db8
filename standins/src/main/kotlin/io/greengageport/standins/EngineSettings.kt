package io.greengageport.standins

import io.greengageport.common.DataCentre
import io.greengageport.common.LayerRange
import io.greengageport.common.RequestId
import io.greengageport.common.RunnerId
import io.greengageport.common.ServiceName
import io.greengageport.ports.TokenFrame
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What a model engine stand-in is and how fast it works. */
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

/** Faults that a test sets with `PUT /control` of an engine; absent fields stay as they are. */
@Serializable
internal data class EngineControl(
    /** Neither answers nor closes connections while true. */
    val frozen: Boolean? = null,
    val slowdown: Double? = null,
    @SerialName("hop_ms") val hopMillis: Long? = null,
    val leaving: Boolean? = null,
    /** Sends no load reports while true, so that the platform shows an old one. */
    @SerialName("reports_stopped") val reportsStopped: Boolean? = null,
    val crash: Boolean = false,
    /** Puts one wrong frame into the next answer. */
    @SerialName("wrong_frame") val wrongFrame: WrongFrame? = null
)

/** A frame that doesn't belong at its place in the answer. */
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

    /** Says that the first stage of the chain didn't run. */
    @SerialName("wrong_layers")
    WRONG_LAYERS;

    /** The wrong frame to send before [frame]. */
    fun before(frame: TokenFrame): TokenFrame = when (this) {
        REPEATED -> frame.copy(index = frame.index - 1)
        SKIPPED -> frame.copy(index = frame.index + 1)
        OTHER_REQUEST -> frame.copy(request = RequestId("other"))
        OTHER_ATTEMPT -> frame.copy(attempt = frame.attempt + 1)
        WRONG_LAYERS -> frame.copy(layers = frame.layers.drop(1))
    }.copy(text = "wrong ")
}

/** What an engine stand-in did so far. */
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
    /** Batches that were run, and the time that this took. */
    val batches: Long = 0,
    @SerialName("busy_ms") val busyMillis: Long = 0
)
