package io.greengageport.gateway.forward

import io.greengageport.common.RankName
import io.greengageport.gateway.SteppedClock
import io.greengageport.routing.RetryBudget
import io.greengageport.routing.RetryDecision
import kotlin.random.Random
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNull
import strikt.assertions.isTrue

/**
 * Guards against attempts that use up the retry budget without reaching a server, and against
 * attempts that reach one without having been charged.
 */
class RequestRetriesTest {
    private val budget = RetryBudget(SteppedClock(), Random(1), allowance = { 2 })
    private val retries = RequestRetries({ budget }, RankName("0"))

    private fun used() = budget.usage().used

    @Test
    fun `a retry that an attempt has used is not returned`() {
        retries.tryRetry(1)
        retries.use()
        retries.close()
        expectThat(used()).isEqualTo(1.0)
    }

    @Test
    fun `a retry without an attempt is returned at the end of the request`() {
        retries.tryRetry(1)
        retries.close()
        retries.close()
        expectThat(used()).isEqualTo(0.0)
    }

    @Test
    fun `the next attempt uses the retry of one that reached no server`() {
        retries.tryRetry(1)
        retries.onUnsent(retries.use(), isLast = true)
        expectThat(retries.isHeld).isTrue()
        retries.use()
        retries.close()
        expectThat(used()).isEqualTo(1.0)
    }

    /** Guards against a budget that is occupied while the other attempt goes on. */
    @Test
    fun `the retry of a replacement that reached no server is returned at once`() {
        retries.tryRetry(1)
        retries.onUnsent(retries.use(), isLast = false)
        expectThat(retries.isHeld).isFalse()
        expectThat(used()).isEqualTo(0.0)
    }

    @Test
    fun `a retry that is held is not charged twice`() {
        retries.tryRetry(1)
        expectThat(retries.tryRetry(2)).isA<RetryDecision.Allowed>()
        expectThat(used()).isEqualTo(1.0)
    }

    @Test
    fun `the first attempt uses no retry`() {
        expectThat(retries.use()).isNull()
        retries.onUnsent(null, isLast = true)
        expectThat(retries.isHeld).isFalse()
    }
}
