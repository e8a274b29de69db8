package io.greengageport.ledger

import io.greengageport.common.InstanceId
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan

class OrderTableTest {
    private val table = OrderTable(skewMillis = 30)
    private val key = OrderSimulation.key("k")
    private val outcome = OrderSimulation.outcome(1)
    private val a = InstanceId("a")
    private val b = InstanceId("b")

    private fun claim(id: Long, by: InstanceId = a, issuedAt: Long = 100) =
        OrderRecord.Claim(key, id, by, Digest(id, id), issuedAt)

    private fun released(id: Long) = OrderRecord.Released(key, id, 100)

    private fun fold(vararg records: OrderRecord) = records.map { table.apply(it, 100) }

    @Nested
    inner class Claims {
        @Test
        fun `the first claim wins and a lost claim stays void after a release`() {
            expectThat(fold(claim(1), claim(2, b), released(1)))
                .isEqualTo(listOf(Verdict.WON, Verdict.LOST, Verdict.WON))
            expectThat(table.view(key, 100)).isEqualTo(KeyView.Free)
            fold(claim(3, b))
            expectThat(table.view(key, 100)).isEqualTo(KeyView.Claimed(Digest(3, 3), 3, b))
        }

        @Test
        fun `a claim that arrives after its release never wins`() {
            expectThat(fold(released(1), claim(1), claim(2)))
                .isEqualTo(listOf(Verdict.WON, Verdict.LOST, Verdict.WON))
        }

        @Test
        fun `only the claim in force completes the call`() {
            fold(claim(1), claim(2), OrderRecord.Outcome(key, 2, OrderSimulation.outcome(2)))
            fold(OrderRecord.Outcome(key, 1, outcome), released(1))
            expectThat(table.view(key, 100)).isEqualTo(KeyView.Done(Digest(1, 1), outcome))
        }
    }

    @Nested
    inner class Takeovers {
        @Test
        fun `a takeover of the claim in force wins once, and its release restores that claim`() {
            fold(claim(1))
            val second = OrderRecord.Takeover(key, 2, b, previous = 1)
            expectThat(fold(second, OrderRecord.Takeover(key, 3, b, previous = 1)))
                .isEqualTo(listOf(Verdict.WON, Verdict.LOST))
            fold(released(2))
            // The first claimant may have sent the call, so the key is not free.
            expectThat(table.view(key, 100)).isEqualTo(KeyView.Claimed(Digest(1, 1), 1, b))
            fold(OrderRecord.Outcome(key, 1, outcome))
            expectThat(table.view(key, 100)).isEqualTo(KeyView.Done(Digest(1, 1), outcome))
        }
    }

    @Nested
    inner class Expiry {
        @Test
        fun `a forgotten key cannot be claimed again`() {
            fold(claim(1, issuedAt = 100), OrderRecord.Outcome(key, 1, outcome))
            table.raiseFloor(101)
            expectThat(listOf(table.keys.toLong(), table.bytes)).isEqualTo(listOf(0L, 0L))
            expectThat(table.view(key, 100)).isEqualTo(KeyView.Expired)
            expectThat(fold(claim(2, issuedAt = 100))).isEqualTo(listOf(Verdict.EXPIRED))
        }

        @Test
        fun `a claim issued further ahead of the log's clock than the skew never wins`() {
            expectThat(fold(claim(1, issuedAt = 131), claim(2, issuedAt = 130)))
                .isEqualTo(listOf(Verdict.ISSUED_IN_FUTURE, Verdict.WON))
        }

        @Test
        fun `a full table drops bodies first and then the oldest keys`() {
            val keys = List(100) { OrderSimulation.key("k$it") }
            keys.forEachIndexed { i, k ->
                val big = CallOutcome(200, emptyMap(), ByteArray(1_000))
                table.apply(OrderRecord.Claim(k, i.toLong(), a, Digest(0, 0), i.toLong()), 100)
                table.apply(OrderRecord.Outcome(k, i.toLong(), big), 100)
            }
            table.shrink(maxBytes = 90_000)
            val oldest = table.view(keys[0], 0) as KeyView.Done
            expectThat(listOf(table.keys, oldest.outcome.body.size)).isEqualTo(listOf(100, 0))
            table.shrink(maxBytes = 30_000)
            expectThat(table.bytes).isLessThan(30_001)
            expectThat(table.view(keys[0], 0)).isEqualTo(KeyView.Expired)
            expectThat((table.view(keys[99], 99) as KeyView.Done).outcome.status).isEqualTo(200)
        }
    }

    @Nested
    inner class Codec {
        @Test
        fun `damaged records are skipped and the others of the append are read`() {
            val good = RecordCodec.encode(OrderRecord.serializer(), claim(1))
            val payload = RecordCodec.join(listOf(byteArrayOf(1, 2, 3), good, good.copyOf(20)))
            expectThat(RecordCodec.orders(payload)).isEqualTo(listOf(claim(1)) to 2)
            for (n in payload.indices) RecordCodec.orders(payload.copyOf(n))
            expectThat(RecordCodec.orders(byteArrayOf()).second).isEqualTo(1)
        }
    }
}
