package io.greengageport.routing

import io.greengageport.common.RankName
import io.greengageport.common.RunnerId
import io.greengageport.testkit.ManualClock
import kotlin.random.Random
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo

class EstimatorTest {
    private val a = RunnerId("a")

    @Nested
    inner class Load {
        private val loads = LoadEstimator(drainShare = 0.0)

        private fun queued(now: Long = 0) = loads.load(a, 100.0, now).queuedTokens

        /** Guards against counting own work twice, in the report and in the correction. */
        @Test
        fun `adds own work sent after the report but no earlier work`() {
            loads.recordSent(a, 10.0, atMillis = 100)
            loads.recordSent(a, 20.0, atMillis = 200)
            loads.recordSent(a, 40.0, atMillis = 300)
            loads.recordFinished(a, 10.0, atMillis = 400)
            val before = queued()
            loads.report(RunnerLoad(a, reportedAtMillis = 200, queuedTokens = 500.0))
            expectThat(listOf(before, queued())).isEqualTo(listOf(60.0, 530.0))
        }

        /** Guards against reports out of order, and against a lower clock after a restart. */
        @Test
        fun `ignores an older report unless the runner restarted`() {
            loads.report(RunnerLoad(a, 300, 30.0, bootId = "x"))
            loads.report(RunnerLoad(a, 200, 20.0, bootId = "x"))
            val afterOld = queued()
            loads.report(RunnerLoad(a, 100, 10.0, bootId = "y"))
            expectThat(listOf(afterOld, queued())).isEqualTo(listOf(30.0, 10.0))
        }

        /**
         * Guards against runners that are avoided because of a queue that they have worked off
         * since.
         */
        @Test
        fun `reduces the queue of an old report by a share of the possible work`() {
            val draining = LoadEstimator(drainShare = 0.5)
            draining.report(RunnerLoad(a, 0, queuedTokens = 300.0, tokensPerSecond = 100.0))
            expectThat(listOf(0L, 2_000L, 9_000L).map { draining.load(a, 1.0, it).queuedTokens })
                .isEqualTo(listOf(300.0, 200.0, 0.0))
        }

        /** Guards against unbounded memory while no report arrives, and against lost changes. */
        @Test
        fun `matches the sum over a list of all changes`() {
            val random = Random(5)
            val changes = ArrayList<Pair<Long, Double>>()
            var reported = 0L to 0.0
            for (now in 1L..5_000L) {
                val tokens = random.nextInt(1, 50).toDouble()
                loads.recordSent(a, tokens, now)
                changes += now to tokens
                if (now % 700 == 0L) {
                    reported = (now - random.nextLong(500)) to 100.0
                    loads.report(RunnerLoad(a, reported.first, reported.second))
                }
                val expected =
                    reported.second +
                        changes.filter { it.first > reported.first }.sumOf { it.second }
                expectThat(queued()).isEqualTo(expected)
            }
        }
    }

    @Nested
    inner class Link {
        private val clock = ManualClock()
        private val links = LinkEstimator(clock, maxPairs = 2)
        private val x = runner("x")
        private val y = runner("y")
        private val z = runner("z")

        /**
         * Guards against a slow pair that goes unnoticed or makes its whole data centre look slow.
         */
        @Test
        fun `averages per data centre and detects a slow pair`() {
            links.observe(x, y, 1.0)
            repeat(50) { links.observe(y, x, 1.0) }
            repeat(50) { links.observe(x, z, 40.0) }
            repeat(200) { links.observe(centres[0], centres[0], 1.0) }
            links.observe(x, z, 40.0)
            expectThat(links.hopMillis(x, z)).isEqualTo(40.0)
            expectThat(links.hopMillis(y, x)).isLessThan(12.0)
        }

        /** Guards against avoiding a link forever because it is no longer observed. */
        @Test
        fun `retries a slow pair after a delay that grows while it stays slow`() {
            fun slow() = links.hopMillis(x, z) > 5.0

            fun observe(millis: Double): Boolean {
                links.observe(x, z, millis)
                repeat(50) { links.observe(centres[0], centres[0], 1.0) }
                return slow()
            }

            fun after(millis: Long) = clock.advance(millis).let { slow() }
            repeat(50) { links.observe(centres[0], centres[0], 1.0) }
            val r = LinkEstimator.RETRY_MILLIS
            expectThat(
                listOf(observe(20.0), after(r - 1), after(1)) +
                    listOf(observe(20.0), after(r), after(r), observe(1.0))
            ).isEqualTo(listOf(true, true, false, true, true, false, false))
        }

        /** Guards against a slow link that raises the data centre average and stays unnoticed. */
        @Test
        fun `detects a pair that becomes slow although half of the hops use it`() {
            repeat(10) { listOf(y, z).forEach { links.observe(x, it, 1.0) } }
            val slow = (1..10).map {
                links.observe(x, z, 20.0)
                links.observe(x, y, 1.0)
                links.hopMillis(x, z) > 2 * links.hopMillis(x, y)
            }
            expectThat(slow.distinct()).isEqualTo(listOf(true))
        }

        /** Guards against memory that grows with every pair of runners ever observed. */
        @Test
        fun `evicts the least recently observed pair`() {
            repeat(2) { links.observe(centres[0], centres[0], 1.0) }
            for (to in listOf(y, z, x)) links.observe(x, to, 100.0)
            val known = listOf(y, z, x).map { links.deviationsInto(it.id).isNotEmpty() }
            links.forget(x.id)
            val after = listOf(y, z, x).map { links.deviationsInto(it.id).isNotEmpty() }
            expectThat(known + after).isEqualTo(listOf(false, true, true, false, false, false))
        }
    }

    @Nested
    inner class Prefix {
        private val index = PrefixIndex()
        private val blocks = PrefixIndex.blocks("sheets", "a".repeat(1_024))

        private fun store(from: Long) = blocks.forEachIndexed { i, block ->
            index.onEvent(a, CacheEvent.Stored(from + i, block))
        }

        /** Guards against expecting blocks in the cache that the engine has evicted. */
        @Test
        fun `counts leading blocks, applies evictions and lowers confidence after a gap`() {
            store(from = 0)
            val all = index.cachedBlocks(a, blocks)
            index.onEvent(a, CacheEvent.Evicted(4, blocks[2]))
            val evicted = index.cachedBlocks(a, blocks)
            index.onEvent(a, CacheEvent.Evicted(9, 1))
            val gap = index.cachedBlocks(a, blocks)
            index.onEvent(a, CacheEvent.Cleared(10))
            expectThat(listOf(all, evicted, gap, index.cachedBlocks(a, blocks)))
                .isEqualTo(listOf(4.0, 2.0, 1.0, 0.0))
        }

        /** Guards against a late eviction event that removes a block stored since. */
        @Test
        fun `ignores a duplicate event`() {
            store(from = 0)
            index.onEvent(a, CacheEvent.Evicted(2, blocks[0]))
            expectThat(index.cachedBlocks(a, blocks)).isEqualTo(4.0)
        }

        /** Guards against block hashes that ignore earlier blocks or the service. */
        @Test
        fun `block hashes cover the service and the prompt from its start`() {
            val other = PrefixIndex.blocks("sheets", "b" + "a".repeat(1_023))
            val service = PrefixIndex.blocks("notes", "a".repeat(1_024))
            expectThat((blocks + other + service).toSet().size).isEqualTo(12)
        }
    }

    @Nested
    inner class Budget {
        private val clock = ManualClock()
        private val urgent = RankName("urgent")
        private val middle = RankName("middle")
        private val lowest = RankName("lowest")

        private fun allowed(budget: RetryBudget, rank: RankName) =
            (1..20).count { budget.tryRetry(1, rank) is RetryDecision.Allowed }

        private fun rank(random: Random) = if (random.nextBoolean()) urgent else lowest

        /** Guards against more than 1.1 calls per admitted request in the 10 s up to a retry. */
        @Test
        fun `limits retries to a tenth of the requests in any 10 s`() {
            for (seed in 1..20) {
                val random = Random(seed)
                val budget = RetryBudget(clock, random, reserves = { mapOf(urgent to 0.5) })
                val admitted = ArrayList<Long>()
                val retried = ArrayList<Long>()
                repeat(4_000) {
                    clock.advance(random.nextLong(if (it / 500 % 2 == 0) 8 else 400))
                    val now = clock.monotonicMillis()
                    if (random.nextInt(3) > 0) {
                        budget.recordAdmission()
                        admitted += now
                    } else if (budget.tryRetry(1, rank(random)) is RetryDecision.Allowed) {
                        retried += now
                        val since = now - RetryBudget.WINDOW_MILLIS
                        val allowed = admitted.count { it > since } * 0.1 + 1e-9
                        expectThat(retried.count { it > since }.toDouble())
                            .describedAs("seed $seed").isLessThanOrEqualTo(allowed)
                    }
                }
                expectThat(retried.size).describedAs("seed $seed").isGreaterThan(50)
            }
        }

        /** Guards against urgent requests that fail because others have used up the budget. */
        @Test
        fun `reserves half of the budget for urgent requests`() {
            val budget = RetryBudget(clock, Random(1), reserves = { mapOf(urgent to 0.5) })
            repeat(100) { budget.recordAdmission() }
            expectThat(listOf(allowed(budget, lowest), allowed(budget, urgent)))
                .isEqualTo(listOf(5, 5))
        }

        /** Guards against a rank using up the reserved share of another rank. */
        @Test
        fun `preserves the share of each rank regardless of the use by others`() {
            val shares = mapOf(urgent to 0.5, middle to 0.2)
            val orders = listOf(listOf(lowest, middle, urgent), listOf(urgent, lowest, middle))
            val results = orders.map { order ->
                val budget = RetryBudget(clock, Random(1), reserves = { shares })
                repeat(100) { budget.recordAdmission() }
                order.map { allowed(budget, it) }
            }
            expectThat(results).isEqualTo(listOf(listOf(3, 2, 5), listOf(8, 0, 2)))
        }

        /** Guards against reserves that allow more retries than the budget. */
        @Test
        fun `scales down shares that exceed the budget`() {
            val shares = mapOf(urgent to 1.0, middle to 1.0)
            val budget = RetryBudget(clock, Random(1), reserves = { shares })
            repeat(100) { budget.recordAdmission() }
            expectThat(listOf(lowest, urgent, middle).map { allowed(budget, it) })
                .isEqualTo(listOf(0, 5, 5))
        }

        /** Guards against aborted answers because a resume is charged as a whole retry. */
        @Test
        fun `charges a resume only for the repeated work`() {
            val budget = RetryBudget(clock, Random(1))
            repeat(10) { budget.recordAdmission() }
            val resumes = (1..20).count {
                budget.tryRetry(1, urgent, cost = 0.1) is RetryDecision.Allowed
            }
            expectThat(resumes).isEqualTo(10)
        }

        /** Guards against streams that end with a crash although the fleet could resume them. */
        @Test
        fun `allows the allowance in addition to the earned retries`() {
            val budget = RetryBudget(clock, Random(1), share = 0.2, allowance = { 7 })
            repeat(50) { budget.recordAdmission() }
            val retries = (1..50).count { budget.tryRetry(1, urgent) is RetryDecision.Allowed }
            expectThat(retries).isEqualTo(17)
        }

        /** Guards against delays that overflow or exceed the maximum after many attempts. */
        @Test
        fun `draws delays below a bound that doubles up to the maximum`() {
            val backoff = Backoff(baseMillis = 10, maxMillis = 100)
            val longest = listOf(1, 2, 4, 60).map { attempt ->
                val random = Random(3)
                (1..2_000).maxOf { backoff.delayMillis(attempt, random) }
            }
            expectThat(longest).isEqualTo(listOf(10, 20, 80, 100))
        }
    }
}
