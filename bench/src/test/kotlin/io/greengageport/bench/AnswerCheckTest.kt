package io.greengageport.bench

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

/** Guards against a load generator that accepts a wrong answer from the router. */
class AnswerCheckTest {
    private val check = AnswerCheck()
    private val expected = check.expectAnswer("a packing sheet", 6)
    private val other = check.expectAnswer("a substitution note", 6)

    private fun findFault(actual: List<String>, isComplete: Boolean = true) =
        check.findFault(expected, actual, isComplete)

    @Test
    fun `the expected answer has no fault`() {
        expectThat(findFault(expected)).isNull()
    }

    @Test
    fun `a prefix of an interrupted answer has no fault`() {
        expectThat(findFault(expected.take(3), isComplete = false)).isNull()
    }

    @Test
    fun `a complete answer without its last tokens is truncated`() {
        expectThat(findFault(expected.take(3))).isEqualTo(AnswerFault.TRUNCATED)
    }

    @Test
    fun `a token of another request makes the answer mixed`() {
        expectThat(findFault(expected.take(2) + other[2] + expected.drop(3)))
            .isEqualTo(AnswerFault.MIXED)
    }

    @Test
    fun `a repeated token makes the answer duplicated`() {
        expectThat(findFault(expected.take(3) + expected.drop(2))).isEqualTo(AnswerFault.DUPLICATED)
    }

    @Test
    fun `an omitted or unknown token makes the answer wrong`() {
        expectThat(findFault(expected.take(2) + expected.drop(3))).isEqualTo(AnswerFault.WRONG)
        expectThat(findFault(expected.take(2) + "xxxxx ")).isEqualTo(AnswerFault.WRONG)
    }

    @Test
    fun `a token after the end of the expected answer makes it wrong`() {
        expectThat(findFault(expected + "xxxxx ")).isEqualTo(AnswerFault.WRONG)
    }
}
