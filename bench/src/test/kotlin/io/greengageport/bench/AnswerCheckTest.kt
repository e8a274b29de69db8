package io.greengageport.bench

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

/** Guards against a generator that lets a fault of the router pass. */
class AnswerCheckTest {
    private val check = AnswerCheck()
    private val expected = check.expect("a packing sheet", 6)
    private val other = check.expect("a substitution note", 6)

    private fun fault(actual: List<String>, complete: Boolean = true) =
        check.fault(expected, actual, complete)

    @Test
    fun `the expected answer has no fault`() {
        expectThat(fault(expected)).isNull()
    }

    @Test
    fun `a part of an interrupted answer has no fault`() {
        expectThat(fault(expected.take(3), complete = false)).isNull()
    }

    @Test
    fun `a part of a complete answer is truncated`() {
        expectThat(fault(expected.take(3))).isEqualTo(AnswerFault.TRUNCATED)
    }

    @Test
    fun `a token of another request is mixed`() {
        expectThat(fault(expected.take(2) + other[2] + expected.drop(3)))
            .isEqualTo(AnswerFault.MIXED)
    }

    @Test
    fun `a repeated token is duplicated`() {
        expectThat(fault(expected.take(3) + expected.drop(2))).isEqualTo(AnswerFault.DUPLICATED)
    }

    @Test
    fun `an omitted or unknown token is wrong`() {
        expectThat(fault(expected.take(2) + expected.drop(3))).isEqualTo(AnswerFault.WRONG)
        expectThat(fault(expected.take(2) + "xxxxx ")).isEqualTo(AnswerFault.WRONG)
    }

    @Test
    fun `a token after the end is not accepted`() {
        expectThat(fault(expected + "xxxxx ")).isEqualTo(AnswerFault.WRONG)
    }
}
