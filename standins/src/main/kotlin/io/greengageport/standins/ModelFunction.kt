package io.greengageport.standins

/**
 * The arithmetic that stands in for a model.
 *
 * The activation of a token depends on the prompt, the token's index, the token before it and on
 * every layer in order, so a layer that is skipped, repeated or swapped, or a token that belongs
 * to another request, changes the text.
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

    /** Activation that enters layer 0 for token [index] after the token [previous]. */
    public fun start(prompt: String, index: Int, previous: String): Long =
        mix(mix(hash(prompt), index.toLong()), hash(previous))

    /** Runs the layers [from] until [until]. */
    public fun run(activation: Long, from: Int, until: Int): Long {
        var a = activation
        for (layer in from until until) a = mix(a, layer + 1L)
        return a
    }

    /** Text of the token whose activation left the last layer. */
    public fun text(activation: Long): String {
        var a = activation ushr 1
        val word = StringBuilder(WORD_LENGTH + 1)
        repeat(WORD_LENGTH) {
            word.append('a' + (a % LETTERS).toInt())
            a /= LETTERS
        }
        return word.append(' ').toString()
    }

    /** The complete answer of a model with [layers] layers. */
    public fun answer(prompt: String, tokens: Int, layers: Int): List<String> {
        val out = ArrayList<String>(tokens)
        for (i in 0 until tokens) {
            val a = start(prompt, i, out.lastOrNull().orEmpty())
            out += text(run(a, 0, layers))
        }
        return out
    }

    /** Number of prompt tokens as the stand-in counts them. */
    public fun promptTokens(prompt: String): Int = prompt.split(' ').count { it.isNotEmpty() }

    internal fun hash(text: String): Long = text.fold(text.length.toLong()) { h, c ->
        mix(h, c.code.toLong())
    }

    private fun mix(a: Long, b: Long): Long {
        val x = (a xor b) * MULTIPLIER
        return x xor (x ushr SHIFT) xor b.rotateLeft(SHIFT)
    }
}
