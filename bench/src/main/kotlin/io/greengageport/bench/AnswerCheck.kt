package io.greengageport.bench

import io.greengageport.standins.ModelFunction
import java.util.concurrent.ConcurrentHashMap

/** Error in the text of an answer. */
internal enum class AnswerFault { WRONG, MIXED, TRUNCATED, DUPLICATED }

/**
 * Compares answers with the output of [ModelFunction], which depends on every token of the prompt.
 *
 * An unexpected token counts as [AnswerFault.MIXED] if it belongs to the answer of another request
 * that was registered with [expectAnswer] before.
 */
internal class AnswerCheck(private val layers: Int = LAYERS) {
    private val knownTokens = ConcurrentHashMap.newKeySet<String>()

    /** Returns the correct answer to [prompt] and registers its tokens for [findFault]. */
    fun expectAnswer(prompt: String, tokens: Int): List<String> =
        ModelFunction.answer(prompt, tokens, layers).also { knownTokens += it }

    /**
     * Returns the fault of [actual], or null if there is none.
     *
     * If [isComplete] is false, [actual] may end before [expected] does.
     */
    fun findFault(expected: List<String>, actual: List<String>, isComplete: Boolean): AnswerFault? {
        val at = actual.indices.firstOrNull { actual[it] != expected.getOrNull(it) }
        return when {
            at != null && isRepeat(actual, at) -> AnswerFault.DUPLICATED
            at != null && actual[at] in knownTokens && actual[at] !in expected -> AnswerFault.MIXED
            at != null -> AnswerFault.WRONG
            isComplete && actual.size < expected.size -> AnswerFault.TRUNCATED
            else -> null
        }
    }

    private fun isRepeat(actual: List<String>, at: Int) = actual[at] in actual.subList(0, at)

    private companion object {
        const val LAYERS = 12
    }
}
