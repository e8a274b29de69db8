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

/** Random interleavings of three instances with crashes, pauses, outages and lost appends. */
class OrderPropertyTest {
    /** Guards against a second execution and against a false "not run". */
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
        s.told.values.forEach { Statistics.label("told").collect(it) }
        Statistics.label("keys that ran").collect(s.effects.size)
        expectThat(s.violations()).isEmpty()
    }

    /** Guards against a fold whose shards, expiry or waiters change the result. */
    @Property(
        tries = 100,
        seed = SEED,
        edgeCases = EdgeCasesMode.NONE,
        shrinking = ShrinkingMode.OFF
    )
    fun everyInstanceEndsWithTheStateOfOneCopy(@ForAll seed: Long) {
        val s = OrderSimulation(seed).run(naive = false)
        val records = s.log.orders()
        val reference = SingleCopy().apply { records.forEach { apply(it) } }
        val table = OrderTable(skewMillis = 1_000)
        records.forEach { table.apply(it, appendedAt = Long.MAX_VALUE / 2) }
        val keys = records.map { it.key }.distinct()
        expectThat(keys.associateWith { reference.view(it) })
            .isEqualTo(keys.associateWith { table.view(it, Long.MAX_VALUE) })
        val live = s.instances.map { it.ledger.status() }
        expectThat(live.map { Triple(it.ready, it.keys, it.queuedRecords) })
            .isEqualTo(live.map { Triple(true, keys.size, 0) })
    }

    /** Shows that the property finds faults: the baseline without claims breaks it. */
    @Property(tries = 1, seed = SEED, edgeCases = EdgeCasesMode.NONE)
    fun naiveVariantWithoutClaimsRunsCallsTwice() {
        val broken = (1L..50L).count { OrderSimulation(it).run(naive = true).violations().any() }
        println("ledger: without claims $broken of 50 runs (seeds 1 to 50) break the property")
        expectThat(broken).isGreaterThan(0)
    }

    /** One map and no shards, locks, expiry or compact form. */
    private class SingleCopy {
        private class State(
            var claims: List<Pair<Long, InstanceId>> = emptyList(),
            var hash: Digest? = null,
            var outcome: CallOutcome? = null,
            val released: MutableSet<Long> = mutableSetOf()
        )

        private val states = mutableMapOf<OrderKey, State>()

        fun apply(r: OrderRecord) {
            val s = states.getOrPut(r.key) { State() }
            val mine = s.claims.any { it.first == r.claimId }
            when {
                s.outcome != null -> Unit

                r is OrderRecord.Released -> {
                    s.released += r.claimId
                    s.claims = s.claims.filter { it.first != r.claimId }
                }

                r is OrderRecord.Outcome -> if (mine) s.outcome = r.outcome

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

        fun view(key: OrderKey): KeyView {
            val s = states.getValue(key)
            val (id, claimant) = s.claims.lastOrNull() ?: (0L to InstanceId(""))
            return when {
                s.outcome != null -> KeyView.Done(s.hash, checkNotNull(s.outcome))
                s.claims.isEmpty() -> KeyView.Free
                else -> KeyView.Claimed(s.hash, id, claimant)
            }
        }
    }

    private companion object {
        const val SEED = "20261204"
    }
}
