package io.greengageport.gateway.forward

import io.greengageport.gateway.http.HttpReply
import io.greengageport.gateway.model.Repeatability
import io.netty.handler.codec.http.EmptyHttpHeaders
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isFalse
import strikt.assertions.isTrue

/**
 * Guards against a second run of a request that must run at most once, and against runs on more
 * servers than the route allows.
 */
class AttemptLimitTest {
    private val broken = AttemptEnd.Broken("closed")
    private val refused = AttemptEnd.NotRun(503, null)
    private val failed =
        AttemptEnd.Answered(HttpReply(500, EmptyHttpHeaders.INSTANCE, ByteArray(0)))

    private fun after(
        repeatability: Repeatability,
        maxRuns: Int,
        vararg ends: AttemptEnd
    ): AttemptLimit {
        val limit = AttemptLimit(repeatability, maxRuns)
        ends.forEach(limit::recordEnd)
        return limit
    }

    /** Guards against an overflow, after which no request is retried. */
    @Test
    fun `The largest number of runs allows retries`() {
        val limit = after(Repeatability.IDEMPOTENT, Int.MAX_VALUE, broken, refused)
        expectThat(limit.canRetry()).isTrue()
    }

    @Nested
    inner class `A request that must run at most once` {
        @Test
        fun `is not retried after its connection failed`() {
            expectThat(after(Repeatability.AT_MOST_ONCE, 3, broken).canRetry()).isFalse()
        }

        @Test
        fun `is not retried after a server error`() {
            expectThat(after(Repeatability.AT_MOST_ONCE, 3, failed).canRetry()).isFalse()
        }

        /** Guards against a second run because the first server is gone. */
        @Test
        fun `is not retried after its server crashed`() {
            val limit = AttemptLimit(Repeatability.AT_MOST_ONCE, maxRuns = 3)
            limit.recordServerLost()
            limit.recordEnd(broken)
            expectThat(limit.canRetry()).isFalse()
        }

        @Test
        fun `is retried after a server refused it`() {
            expectThat(after(Repeatability.AT_MOST_ONCE, 1, refused).canRetry()).isTrue()
        }

        @Test
        fun `is retried after a failure to connect`() {
            val limit = after(Repeatability.AT_MOST_ONCE, 1, AttemptEnd.NotConnected("refused"))
            expectThat(limit.canRetry()).isTrue()
            expectThat(limit.hasPossiblyRun).isFalse()
        }
    }

    @Nested
    inner class `An idempotent request` {
        @Test
        fun `runs on no more servers than its route allows`() {
            expectThat(after(Repeatability.IDEMPOTENT, 2, broken).canRetry()).isTrue()
            expectThat(after(Repeatability.IDEMPOTENT, 2, broken, failed).canRetry()).isFalse()
        }

        /** Guards against streams that end because two servers crashed one after the other. */
        @Test
        fun `does not count one server that crashed, as it may be the cause of more`() {
            val limit = AttemptLimit(Repeatability.IDEMPOTENT, maxRuns = 2)
            repeat(2) {
                limit.recordServerLost()
                limit.recordEnd(broken)
                expectThat(limit.canRetry()).isTrue()
            }
            limit.recordServerLost()
            limit.recordEnd(broken)
            expectThat(limit.canRetry()).isFalse()
            expectThat(limit.hasPossiblyRun).isTrue()
        }

        /** Guards against sends without end to a server whose connections are all stale. */
        @Test
        fun `is sent again after stale connections as often as after refusals`() {
            val limit = AttemptLimit(Repeatability.IDEMPOTENT, maxRuns = 2)
            repeat(3) {
                expectThat(limit.canResend()).isTrue()
                limit.recordStaleConnection()
            }
            expectThat(limit.canResend()).isFalse()
            val once = AttemptLimit(Repeatability.AT_MOST_ONCE, maxRuns = 2)
            expectThat(once.canResend()).isFalse()
        }

        @Test
        fun `is not retried after repeated refusals by a full service`() {
            val limit = after(Repeatability.IDEMPOTENT, 2, refused, refused, refused, refused)
            expectThat(limit.canRetry()).isFalse()
        }
    }
}
