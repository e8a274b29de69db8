package io.greengageport.routing

import kotlinx.collections.immutable.ImmutableMap

/**
 * How the engines of a model compute: what a token costs in time, memory and transfer.
 *
 * Times hold for all [layers] on a card of factor 1; a stage takes its share of them. The rate of
 * the pipe is in Mbit/s, sizes of weights are in MB, sizes of tokens in bytes.
 */
public data class EngineProfile(
    val slots: Int,
    val layers: Int,
    val layerMegabytes: Double,
    /** Memory of one token over all layers. */
    val tokenBytes: Double,
    /** What one stage passes to the next for each token. */
    val activationBytes: Double,
    val stepMillis: Double,
    val stepMillisPerRequest: Double,
    val stepMillisPerThousandTokens: Double,
    val promptTokensPerMilli: Double,
    val tokensPerEvent: Int,
    /** The pipe between two data centres, which all transfers share; null if there is none. */
    val pipeMegabits: Double?,
    val usualPromptTokens: Int,
    val usualAnswerTokens: Int,
    val cards: ImmutableMap<String, Card>
) {
    init {
        require(layers > 0) { "a model has layers, not $layers" }
        require(layerMegabytes > 0) { "a layer has a size: $layerMegabytes MB" }
        require(promptTokensPerMilli > 0) { "prompts are read at some rate" }
    }

    /** Memory of one token in one layer, in MB. */
    public val tokenLayerMegabytes: Double get() = tokenBytes / layers / BYTES_PER_MEGABYTE

    /** Tokens that a [card] has room for beside the weights of [heldLayers] layers. */
    public fun tokenRoom(card: Card, heldLayers: Int): Double {
        require(heldLayers > 0) { "a stage holds layers, not $heldLayers" }
        val free = card.memoryMegabytes - heldLayers * layerMegabytes
        return maxOf(0.0, free) / (heldLayers * tokenLayerMegabytes)
    }

    /** The most layers with which a [card] has room for [tokens]; 0 if not even one. */
    public fun layersWithRoom(card: Card, tokens: Double): Int =
        (card.memoryMegabytes / (layerMegabytes + tokens * tokenLayerMegabytes)).toInt()
            .coerceAtMost(layers)

    /** Time that the transfer of [tokens] activations between data centres takes, in ms. */
    public fun pipeMillis(tokens: Int): Double {
        val rate = pipeMegabits ?: return 0.0
        return tokens * activationBytes * BITS_PER_BYTE / (rate * BITS_PER_MILLI_AT_ONE_MEGABIT)
    }

    private companion object {
        const val BYTES_PER_MEGABYTE = 1e6
        const val BITS_PER_BYTE = 8
        const val BITS_PER_MILLI_AT_ONE_MEGABIT = 1_000
    }
}

/** A kind of accelerator card; larger factors are slower. */
public data class Card(
    val name: String,
    val memoryMegabytes: Double,
    val stepFactor: Double,
    val promptFactor: Double
)
