package io.greengageport.routing

import io.greengageport.common.Clock
import io.greengageport.common.RankName
import kotlin.random.Random
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThanOrEqualTo

/**
 * Guards against interrupted streams while the fleet could still retry, and against a fleet that
 * exceeds its retry budget. Either one copy is lost, so that only a few instances retry, or engines
 * of all copies are lost, so that all instances retry at once.
 */
class FleetRetriesTest {
    private val clock = object : Clock {
        var now = 1_000_000L

        override fun monotonicMillis(): Long = now

        override fun wallMillis(): Long = now
    }
    private val reportedUsage = Array(INSTANCES) { RetryUsage.NONE }
    private val budgets = List(INSTANCES) { i ->
        RetryBudget(
            clock = clock,
            random = Random(i),
            share = 0.2,
            fleet = {
                val others = reportedUsage.indices.filter { it != i }.map { reportedUsage[it] }
                FleetRetries(INSTANCES, ALLOWANCE, others.fold(RetryUsage.NONE, RetryUsage::plus))
            }
        )
    }
    private val rank = RankName("0")

    private fun admit(each: Int) = budgets.forEach { b -> repeat(each) { b.recordAdmission() } }

    /** Counts the retries allowed to [retrying] instances, which share their usage every second. */
    private fun retries(retrying: IntRange, seconds: Int): Int {
        var allowed = 0
        repeat(seconds * 10) { tick ->
            for (i in retrying) {
                if (budgets[i].tryRetry(1, rank) is RetryDecision.Allowed) allowed++
            }
            clock.now += 100
            if (tick % 10 == 9) budgets.forEachIndexed { i, b -> reportedUsage[i] = b.usage() }
        }
        return allowed
    }

    /** Guards against instances that are limited to an equal part of the budget. */
    @Test
    fun `a few retrying instances use the budget left by the others`() {
        admit(each = 12)
        val staticPart = (12 * 0.2 + ALLOWANCE / INSTANCES).toInt()
        expectThat(retries(0..1, seconds = 6)).isGreaterThan(2 * 2 * staticPart)
    }

    /**
     * Guards against instances that each use up the whole budget before they know of each other.
     */
    @Test
    fun `all instances retrying at once stay within the fleet budget`() {
        admit(each = 12)
        val bound = (INSTANCES * 12 * 0.2 + ALLOWANCE).toInt()
        val used = retries(0 until INSTANCES, seconds = 6)
        expectThat(used).isLessThanOrEqualTo(bound)
        expectThat(used).isGreaterThanOrEqualTo(bound * 3 / 4)
    }

    /** Guards against a budget that stays used up after a burst of retries. */
    @Test
    fun `retries expire with the window`() {
        admit(each = 12)
        retries(0 until INSTANCES, seconds = 6)
        clock.now += 10_100
        expectThat(budgets[0].usage()).isEqualTo(RetryUsage.NONE)
    }

    private companion object {
        const val INSTANCES = 21
        const val ALLOWANCE = 45.0
    }
}
