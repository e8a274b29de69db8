package io.greengageport.ledger

import io.greengageport.common.InstanceId
import net.jqwik.api.EdgeCasesMode
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.ShrinkingMode
import net.jqwik.api.statistics.Statistics
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan

/** Runs random interleavings of three instances with crashes, pauses, outages and lost appends. */
class OrderPropertyTest {
    /** Guards against a second execution, and against an executed call reported as not run. */
    @Property(
        tries = 300,
        seed = SEED,
        edgeCases = EdgeCasesMode.NONE,
        shrinking = ShrinkingMode.OFF
    )
    fun callRunsAtMostOnceAndNotAfterItWasReportedNotRun(
        @ForAll seed: Long,
        @ForAll truncate: Boolean
    ) {
        val s = OrderSimulation(seed, truncate).run(naive = false)
        s.attemptResults.values.forEach { Statistics.label("attempt result").collect(it) }
        Statistics.label("executed keys").collect(s.executions.size)
        expectThat(s.violations()).isEmpty()
    }

    /** Guards against shards, expiry or waiters that change the state built from the log. */
    @Property(
        tries = 100,
        seed = SEED,
        edgeCases = EdgeCasesMode.NONE,
        shrinking = ShrinkingMode.OFF
    )
    fun everyInstanceEndsWithTheStateOfOneCopy(@ForAll seed: Long) {
        val s = OrderSimulation(seed).run(naive = false)
        val records = s.log.orderRecords()
        val reference = ReferenceTable().apply { records.forEach { apply(it) } }
        val table = OrderTable(maxClockSkewMillis = 1_000)
        records.forEach { table.apply(it, appendedAtMillis = Long.MAX_VALUE / 2) }
        val keys = records.map { it.key }.distinct()
        expectThat(keys.associateWith { reference.keyState(it) })
            .isEqualTo(keys.associateWith { table.keyState(it, Long.MAX_VALUE) })
        val statuses = s.instances.map { it.ledger.status() }
        expectThat(statuses.map { Triple(it.isReady, it.keyCount, it.queuedRecords) })
            .isEqualTo(statuses.map { Triple(true, keys.size, 0) })
    }

    /** Checks that the property can fail: the baseline without claims violates it. */
    @Property(tries = 1, seed = SEED, edgeCases = EdgeCasesMode.NONE)
    fun naiveVariantWithoutClaimsRunsCallsTwice() {
        val violating = (1L..50L).count { OrderSimulation(it).run(naive = true).violations().any() }
        println("ledger: $violating of 50 runs without claims (seeds 1 to 50) violate the property")
        expectThat(violating).isGreaterThan(0)
    }

    /** Reference implementation: a single map without shards, locks, expiry or compact form. */
    private class ReferenceTable {
        private class State(
            var claims: List<Pair<Long, InstanceId>> = emptyList(),
            var hash: Digest? = null,
            var outcome: CallOutcome? = null,
            val released: MutableSet<Long> = mutableSetOf()
        )

        private val states = mutableMapOf<OrderKey, State>()

        fun apply(r: OrderRecord) {
            val s = states.getOrPut(r.key) { State() }
            val isOwnClaim = s.claims.any { it.first == r.claimId }
            when {
                s.outcome != null -> Unit

                r is OrderRecord.Released -> {
                    s.released += r.claimId
                    s.claims = s.claims.filter { it.first != r.claimId }
                }

                r is OrderRecord.Outcome -> if (isOwnClaim) s.outcome = r.outcome

                r.claimId in s.released -> Unit

                r is OrderRecord.Claim -> if (s.claims.isEmpty()) {
                    s.claims = listOf(r.claimId to r.claimant)
                    s.hash = r.bodyHash
                }

                r is OrderRecord.Takeover -> if (s.claims.lastOrNull()?.first == r.previous) {
                    s.claims += r.claimId to r.claimant
                }
            }
        }

        fun keyState(key: OrderKey): KeyState {
            val s = states.getValue(key)
            val (id, claimant) = s.claims.lastOrNull() ?: (0L to InstanceId(""))
            return when {
                s.outcome != null -> KeyState.Done(s.hash, checkNotNull(s.outcome))
                s.claims.isEmpty() -> KeyState.Free
                else -> KeyState.Claimed(s.hash, id, claimant)
            }
        }
    }

    private companion object {
        const val SEED = "20261204"
    }
}
