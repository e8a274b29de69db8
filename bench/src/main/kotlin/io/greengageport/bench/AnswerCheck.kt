package io.greengageport.bench

import io.greengageport.standins.ModelFunction
import java.util.concurrent.ConcurrentHashMap

/** What is wrong with the text of an answer. */
internal enum class AnswerFault { WRONG, MIXED, TRUNCATED, DUPLICATED }

/**
 * Compares answers with [ModelFunction], which each token of a prompt determines.
 *
 * A foreign token counts as [AnswerFault.MIXED] if it belongs to another request that was
 * expected here before.
 */
internal class AnswerCheck(private val layers: Int = LAYERS) {
    private val known = ConcurrentHashMap.newKeySet<String>()

    /** The answer to [prompt]; remembers its tokens. */
    fun expect(prompt: String, tokens: Int): List<String> =
        ModelFunction.answer(prompt, tokens, layers).also { known += it }

    /** The fault of [actual], or null; an incomplete answer may be a proper prefix. */
    fun fault(expected: List<String>, actual: List<String>, complete: Boolean): AnswerFault? {
        val at = actual.indices.firstOrNull { actual[it] != expected.getOrNull(it) }
        return when {
            at != null && isRepeat(actual, at) -> AnswerFault.DUPLICATED
            at != null && actual[at] in known && actual[at] !in expected -> AnswerFault.MIXED
            at != null -> AnswerFault.WRONG
            complete && actual.size < expected.size -> AnswerFault.TRUNCATED
            else -> null
        }
    }

    private fun isRepeat(actual: List<String>, at: Int) = actual[at] in actual.subList(0, at)

    private companion object {
        const val LAYERS = 12
    }
}
