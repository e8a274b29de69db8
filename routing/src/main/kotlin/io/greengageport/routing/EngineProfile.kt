package io.greengageport.routing

import kotlinx.collections.immutable.ImmutableMap

/**
 * Performance profile of the engines of a model: the time, memory and transfer cost of a token.
 *
 * Times apply to all [layers] on an accelerator with factor 1; a stage takes a share of them in
 * proportion to its layers. The link rate is in Mbit/s, sizes of weights are in MB, sizes of tokens
 * in bytes.
 */
public data class EngineProfile(
    /** Number of requests that an engine accepts from instances at a time. */
    val slots: Int,
    val layers: Int,
    /** Size of the weights of one layer. */
    val layerMegabytes: Double,
    /** Memory that one token occupies in all layers together. */
    val tokenBytes: Double,
    /** Size of the activations that a stage sends to the next one per token. */
    val activationBytes: Double,
    /** Time of a decoding step, without the additions per request and per token. */
    val stepMillis: Double,
    /** Additional time of a step per request in the batch. */
    val stepMillisPerRequest: Double,
    /** Additional time of a step per thousand tokens in the memory of the engine. */
    val stepMillisPerThousandTokens: Double,
    /** Rate at which the tokens of a prompt are computed. */
    val promptTokensPerMillisecond: Double,
    val tokensPerEvent: Int,
    /** Rate of the link between two data centres, shared by all transfers; null if unlimited. */
    val linkMegabitsPerSecond: Double?,
    val typicalPromptTokens: Int,
    val typicalAnswerTokens: Int,
    val accelerators: ImmutableMap<String, Accelerator>
) {
    init {
        require(layers > 0) { "the number of layers must be positive, but is $layers" }
        require(layerMegabytes > 0) { "the layer size must be positive, but is $layerMegabytes MB" }
        require(promptTokensPerMillisecond > 0) { "the prompt token rate must be positive" }
    }

    /** Memory that one token occupies in one layer, in MB. */
    public val tokenLayerMegabytes: Double get() = tokenBytes / layers / BYTES_PER_MEGABYTE

    /**
     * Number of tokens that fit on [accelerator] in addition to the weights of [heldLayers] layers.
     */
    public fun tokenCapacity(accelerator: Accelerator, heldLayers: Int): Double {
        require(heldLayers > 0) { "the number of held layers must be positive, but is $heldLayers" }
        val freeMegabytes = accelerator.memoryMegabytes - heldLayers * layerMegabytes
        return maxOf(0.0, freeMegabytes) / (heldLayers * tokenLayerMegabytes)
    }

    /**
     * The largest number of layers that [accelerator] can hold together with [tokens]; 0 if none.
     */
    public fun maxLayers(accelerator: Accelerator, tokens: Double): Int =
        (accelerator.memoryMegabytes / (layerMegabytes + tokens * tokenLayerMegabytes)).toInt()
            .coerceAtMost(layers)

    /** Time to transfer the activations of [tokens] between data centres, in ms. */
    public fun transferMillis(tokens: Int): Double {
        val rate = linkMegabitsPerSecond ?: return 0.0
        return tokens * activationBytes * BITS_PER_BYTE / (rate * BITS_PER_MILLI_AT_ONE_MEGABIT)
    }

    private companion object {
        const val BYTES_PER_MEGABYTE = 1e6
        const val BITS_PER_BYTE = 8
        const val BITS_PER_MILLI_AT_ONE_MEGABIT = 1_000
    }
}

/** A type of accelerator; larger time factors mean a slower accelerator. */
public data class Accelerator(
    val name: String,
    val memoryMegabytes: Double,
    val stepFactor: Double,
    val promptFactor: Double
)
