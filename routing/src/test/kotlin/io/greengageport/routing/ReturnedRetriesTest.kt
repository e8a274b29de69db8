package io.greengageport.routing

import io.greengageport.common.Clock
import io.greengageport.common.RankName
import kotlin.random.Random
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo

/**
 * Guards against a retry budget that is used up by attempts which reached no server, and against
 * more retries at servers than the budget allows.
 */
class ReturnedRetriesTest {
    private val clock = object : Clock {
        var now = 1_000_000L

        override fun monotonicMillis(): Long = now

        override fun wallMillis(): Long = now
    }
    private val rank = RankName("0")

    private fun budget(share: Double = 0.1, fleet: FleetRetries? = null, seed: Int = 1) =
        RetryBudget(clock, Random(seed), share = share, fleet = { fleet })

    private fun RetryBudget.take(): RetryDecision.Allowed? =
        tryRetry(1, rank) as? RetryDecision.Allowed

    private fun RetryBudget.takeAll(): List<RetryDecision.Allowed> = (1..20).mapNotNull { take() }

    /** In the failure, an instance without a path to servers used up the budget of all. */
    @Test
    fun `a returned retry can be taken again`() {
        val budget = budget()
        repeat(50) { budget.recordAdmission() }
        budget.takeAll().forEach(budget::returnRetry)
        expectThat(budget.usage().used).isEqualTo(0.0)
        expectThat(budget.takeAll().size).isEqualTo(5)
    }

    @Test
    fun `a retry is returned only once`() {
        val budget = budget()
        repeat(50) { budget.recordAdmission() }
        val taken = budget.takeAll()
        repeat(3) { budget.returnRetry(taken.first()) }
        expectThat(budget.usage().used).isEqualTo(4.0)
        expectThat(budget.takeAll().size).isEqualTo(1)
    }

    /** Guards against a return from the slot of the counter that a later retry uses again. */
    @Test
    fun `a retry that has left the window returns nothing`() {
        val budget = budget()
        repeat(50) { budget.recordAdmission() }
        val expired = budget.takeAll().first()
        clock.now += RetryBudget.WINDOW_MILLIS + 100
        repeat(50) { budget.recordAdmission() }
        budget.takeAll()
        budget.returnRetry(expired)
        expectThat(budget.usage().used).isEqualTo(5.0)
    }

    /** Guards against more than 1.1 arrivals per request in any 10 s. */
    @Test
    fun `the retries that reach servers stay within the budget`() {
        for (seed in 1..20) {
            val random = Random(seed)
            val budget = budget(seed = seed)
            val admitted = ArrayList<Long>()
            val arrived = ArrayList<Long>()
            val open = ArrayDeque<Pair<RetryDecision.Allowed, Long>>()
            repeat(4_000) {
                clock.now += random.nextLong(if (it / 500 % 2 == 0) 8 else 400)
                if (random.nextInt(3) > 0) {
                    budget.recordAdmission()
                    admitted += clock.now
                } else {
                    budget.take()?.let { open += it to clock.now }
                }
                if (open.size > 3) {
                    val (retry, atMillis) = open.removeFirst()
                    if (random.nextBoolean()) budget.returnRetry(retry) else arrived += atMillis
                }
                val since = clock.now - RetryBudget.WINDOW_MILLIS
                val used = arrived.count { it > since } + open.count { it.second > since }
                if (open.lastOrNull()?.second == clock.now) {
                    expectThat(used.toDouble()).describedAs("seed $seed")
                        .isLessThanOrEqualTo(admitted.count { it > since } * 0.1 + 1e-9)
                }
            }
            expectThat(arrived.size).describedAs("seed $seed").isGreaterThan(50)
        }
    }

    /** Guards against retries that count as unreported to the peers although none was made. */
    @Test
    fun `a returned retry does not use the part of an instance in the fleet budget`() {
        val budget = budget(fleet = FleetRetries(2, 4.0, RetryUsage.NONE))
        val taken = budget.takeAll()
        taken.forEach(budget::returnRetry)
        expectThat(budget.takeAll().size).isEqualTo(taken.size)
    }

    /** Guards against an instance of a large fleet that gets no retry after a returned one. */
    @Test
    fun `a returned retry that was drawn at random allows another draw`() {
        val second = (1..100).count { seed ->
            val budget = budget(fleet = FleetRetries(20, 10.0, RetryUsage.NONE), seed = seed)
            val taken = budget.take()
            taken?.let(budget::returnRetry)
            taken != null && budget.take() != null
        }
        expectThat(second).isGreaterThan(10)
    }
}
