package io.greengageport.standins

/**
 * Deterministic arithmetic in place of a model.
 *
 * The activation of a token depends on the prompt, the token's index, the previous token and every
 * layer in order. A skipped, repeated or swapped layer, or a token of another request, therefore
 * changes the text.
 *
 * ```
 * val answer = ModelFunction.answer("parts list", tokens = 3, layers = 12)
 * ```
 */
public object ModelFunction {
    private const val MULTIPLIER = -0x61c8864680b583ebL
    private const val SHIFT = 29
    private const val LETTERS = 26
    private const val WORD_LENGTH = 5

    /** Returns the input activation of layer 0 for token [index], which follows [previous]. */
    public fun start(prompt: String, index: Int, previous: String): Long =
        mix(mix(hash(prompt), index.toLong()), hash(previous))

    /** Applies the layers from [from], inclusive, to [until], exclusive. */
    public fun run(activation: Long, from: Int, until: Int): Long {
        var a = activation
        for (layer in from until until) a = mix(a, layer + 1L)
        return a
    }

    /** Returns the text of the token for the output [activation] of the last layer. */
    public fun text(activation: Long): String {
        var a = activation ushr 1
        val word = StringBuilder(WORD_LENGTH + 1)
        repeat(WORD_LENGTH) {
            word.append('a' + (a % LETTERS).toInt())
            a /= LETTERS
        }
        return word.append(' ').toString()
    }

    /** Returns the first [tokens] tokens that a model with [layers] layers answers to [prompt]. */
    public fun answer(prompt: String, tokens: Int, layers: Int): List<String> {
        val texts = ArrayList<String>(tokens)
        for (i in 0 until tokens) {
            val a = start(prompt, i, texts.lastOrNull().orEmpty())
            texts += text(run(a, 0, layers))
        }
        return texts
    }

    /** Counts prompt tokens: words separated by spaces. */
    public fun promptTokens(prompt: String): Int = prompt.split(' ').count { it.isNotEmpty() }

    internal fun hash(text: String): Long = text.fold(text.length.toLong()) { h, c ->
        mix(h, c.code.toLong())
    }

    private fun mix(a: Long, b: Long): Long {
        val x = (a xor b) * MULTIPLIER
        return x xor (x ushr SHIFT) xor b.rotateLeft(SHIFT)
    }
}
