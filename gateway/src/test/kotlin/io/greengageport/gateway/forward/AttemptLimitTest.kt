package io.greengageport.gateway.forward

import io.greengageport.gateway.http.HttpReply
import io.greengageport.gateway.model.Repeatability
import io.netty.handler.codec.http.EmptyHttpHeaders
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isFalse
import strikt.assertions.isTrue

/** Guards against a second run of what may run once, and against runs beyond the route's bound. */
class AttemptLimitTest {
    private val broken = AttemptEnd.Broken("closed")
    private val refused = AttemptEnd.NotRun(503, null)
    private val failed =
        AttemptEnd.Answered(HttpReply(500, EmptyHttpHeaders.INSTANCE, ByteArray(0)))

    private fun after(kind: Repeatability, maxRuns: Int, vararg ends: AttemptEnd): AttemptLimit {
        val limit = AttemptLimit(kind, maxRuns)
        ends.forEach(limit::ended)
        return limit
    }

    @Nested
    inner class `A request that runs at most once` {
        @Test
        fun `is not repeated after its connection broke`() {
            expectThat(after(Repeatability.AT_MOST_ONCE, 3, broken).allowsAnother()).isFalse()
        }

        @Test
        fun `is not repeated after the server's own failure`() {
            expectThat(after(Repeatability.AT_MOST_ONCE, 3, failed).allowsAnother()).isFalse()
        }

        @Test
        fun `is repeated after a server refused it`() {
            expectThat(after(Repeatability.AT_MOST_ONCE, 1, refused).allowsAnother()).isTrue()
        }

        @Test
        fun `is repeated after no connection was made`() {
            val limit = after(Repeatability.AT_MOST_ONCE, 1, AttemptEnd.NotConnected("refused"))
            expectThat(limit.allowsAnother()).isTrue()
            expectThat(limit.mayHaveRun).isFalse()
        }
    }

    @Nested
    inner class `An idempotent request` {
        @Test
        fun `runs on no more servers than its route allows`() {
            expectThat(after(Repeatability.IDEMPOTENT, 2, broken).allowsAnother()).isTrue()
            expectThat(after(Repeatability.IDEMPOTENT, 2, broken, failed).allowsAnother()).isFalse()
        }

        @Test
        fun `stops after some refusals, which show that the service is full`() {
            val limit = after(Repeatability.IDEMPOTENT, 2, refused, refused, refused, refused)
            expectThat(limit.allowsAnother()).isFalse()
        }
    }
}
