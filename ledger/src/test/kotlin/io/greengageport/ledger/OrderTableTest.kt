package io.greengageport.ledger

import io.greengageport.common.InstanceId
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan

class OrderTableTest {
    private val table = OrderTable(maxClockSkewMillis = 30)
    private val key = OrderSimulation.key("k")
    private val outcome = OrderSimulation.outcome(1)
    private val a = InstanceId("a")
    private val b = InstanceId("b")

    private fun claim(id: Long, claimant: InstanceId = a, issuedAt: Long = 100) =
        OrderRecord.Claim(key, id, claimant, Digest(id, id), issuedAt)

    private fun released(id: Long) = OrderRecord.Released(key, id, 100)

    private fun applyAll(vararg records: OrderRecord) = records.map { table.apply(it, 100) }

    @Nested
    inner class Claims {
        /** Guards against a claim that wins after its owner was told that it lost. */
        @Test
        fun `the first claim wins, and a lost claim does not win when the first is released`() {
            expectThat(applyAll(claim(1), claim(2, b), released(1)))
                .isEqualTo(listOf(ApplyResult.WON, ApplyResult.LOST, ApplyResult.WON))
            expectThat(table.keyState(key, 100)).isEqualTo(KeyState.Free)
            applyAll(claim(3, b))
            expectThat(table.keyState(key, 100)).isEqualTo(KeyState.Claimed(Digest(3, 3), 3, b))
        }

        /** Guards against a late append that takes a key whose owner gave the claim up. */
        @Test
        fun `a claim that arrives after its release never wins`() {
            expectThat(applyAll(released(1), claim(1), claim(2)))
                .isEqualTo(listOf(ApplyResult.WON, ApplyResult.LOST, ApplyResult.WON))
        }

        /**
         * Guards against the outcome of a claim that lost, and against a release after the outcome.
         */
        @Test
        fun `only the outcome of the current claim completes the call`() {
            applyAll(claim(1), claim(2), OrderRecord.Outcome(key, 2, OrderSimulation.outcome(2)))
            applyAll(OrderRecord.Outcome(key, 1, outcome), released(1))
            expectThat(table.keyState(key, 100)).isEqualTo(KeyState.Done(Digest(1, 1), outcome))
        }
    }

    @Nested
    inner class Takeovers {
        /** Guards against two takeovers of a claim, and a release that frees a key still in use. */
        @Test
        fun `one takeover of the current claim wins, and its release restores that claim`() {
            applyAll(claim(1))
            val second = OrderRecord.Takeover(key, 2, b, previous = 1)
            expectThat(applyAll(second, OrderRecord.Takeover(key, 3, b, previous = 1)))
                .isEqualTo(listOf(ApplyResult.WON, ApplyResult.LOST))
            applyAll(released(2))
            // The first claimant may have sent the call, so the key is not free.
            expectThat(table.keyState(key, 100)).isEqualTo(KeyState.Claimed(Digest(1, 1), 1, b))
            applyAll(OrderRecord.Outcome(key, 1, outcome))
            expectThat(table.keyState(key, 100)).isEqualTo(KeyState.Done(Digest(1, 1), outcome))
        }
    }

    @Nested
    inner class Expiry {
        /** Guards against a second execution once the first is forgotten. */
        @Test
        fun `an expired key cannot be claimed again`() {
            applyAll(claim(1, issuedAt = 100), OrderRecord.Outcome(key, 1, outcome))
            table.expireIssuedBefore(101)
            expectThat(listOf(table.keyCount.toLong(), table.bytes)).isEqualTo(listOf(0L, 0L))
            expectThat(table.keyState(key, 100)).isEqualTo(KeyState.Expired)
            expectThat(applyAll(claim(2, issuedAt = 100))).isEqualTo(listOf(ApplyResult.EXPIRED))
        }

        /** Guards against keys that stay valid after the records of their calls were truncated. */
        @Test
        fun `a claim issued ahead of the log's clock by more than the skew never wins`() {
            expectThat(applyAll(claim(1, issuedAt = 131), claim(2, issuedAt = 130)))
                .isEqualTo(listOf(ApplyResult.ISSUED_IN_FUTURE, ApplyResult.WON))
        }

        /** Guards against unbounded memory, and keys that are dropped although bodies suffice. */
        @Test
        fun `shrinking drops outcome bodies first and then the oldest keys`() {
            val keys = List(100) { OrderSimulation.key("k$it") }
            keys.forEachIndexed { i, k ->
                val big = CallOutcome(200, emptyMap(), ByteArray(1_000))
                table.apply(OrderRecord.Claim(k, i.toLong(), a, Digest(0, 0), i.toLong()), 100)
                table.apply(OrderRecord.Outcome(k, i.toLong(), big), 100)
            }
            table.shrink(maxBytes = 90_000)
            val oldest = table.keyState(keys[0], 0) as KeyState.Done
            expectThat(listOf(table.keyCount, oldest.outcome.body.size)).isEqualTo(listOf(100, 0))
            table.shrink(maxBytes = 30_000)
            expectThat(table.bytes).isLessThan(30_001)
            expectThat(table.keyState(keys[0], 0)).isEqualTo(KeyState.Expired)
            expectThat((table.keyState(keys[99], 99) as KeyState.Done).outcome.status)
                .isEqualTo(200)
        }
    }

    @Nested
    inner class Codec {
        /** Guards against one malformed record that hides the other records of its append. */
        @Test
        fun `malformed records are skipped and the other records of the append are read`() {
            val good = RecordCodec.encode(OrderRecord.serializer(), claim(1))
            val payload =
                RecordCodec.encodeBatch(listOf(byteArrayOf(1, 2, 3), good, good.copyOf(20)))
            expectThat(RecordCodec.decodeOrders(payload)).isEqualTo(listOf(claim(1)) to 2)
            for (n in payload.indices) RecordCodec.decodeOrders(payload.copyOf(n))
            expectThat(RecordCodec.decodeOrders(byteArrayOf()).second).isEqualTo(1)
        }
    }
}
