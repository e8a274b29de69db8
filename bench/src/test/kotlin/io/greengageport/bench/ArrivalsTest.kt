package io.greengageport.bench

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isIn
import strikt.assertions.isLessThan
import strikt.assertions.isNotEqualTo

class ArrivalsTest {
    private val seed = 42L
    private val group = CallerGroup(
        name = "help",
        keys = listOf("a", "b"),
        rank = "urgent",
        rate = 50.0,
        surges = listOf(Surge(fromSeconds = 40.0, untilSeconds = 60.0, rate = 200.0))
    )

    /** Guards against variants that receive different load. */
    @Nested
    inner class `the same seed` {
        @Test
        fun `gives the same arrivals`() {
            expectThat(Arrivals.generate(listOf(group), 60, seed))
                .isEqualTo(Arrivals.generate(listOf(group), 60, seed))
        }

        @Test
        fun `keeps a group's arrivals when a group is added after it`() {
            val other = group.copy(name = "other")
            val both = Arrivals.generate(listOf(group, other), 10, seed)
            expectThat(both.filter { it.group == group }.map { it.atNanos })
                .isEqualTo(Arrivals.generate(listOf(group), 10, seed).map { it.atNanos })
        }
    }

    /** Guards against a seed that has no effect, so that all runs have the same load. */
    @Test
    fun `another seed gives other arrivals`() {
        expectThat(Arrivals.generate(listOf(group), 10, seed))
            .isNotEqualTo(Arrivals.generate(listOf(group), 10, seed + 1))
    }

    /** Guards against a wrong rate and against a surge at the wrong time. */
    @Nested
    inner class `the rate` {
        private val counts = Arrivals.generate(listOf(group), 60, seed)
            .groupingBy { if (it.atNanos < 40_000_000_000) "before" else "surge" }.eachCount()

        @Test
        fun `matches the number of arrivals within four standard deviations`() {
            expectThat(counts.getValue("before")).isIn(2_000 - 179..2_000 + 179)
        }

        @Test
        fun `rises during a surge`() {
            expectThat(counts.getValue("surge")).isIn(4_000 - 253..4_000 + 253)
        }

        @Test
        fun `gives gaps whose standard deviation equals their mean`() {
            val gaps = Arrivals.generate(listOf(group), 40, seed).map { it.atNanos }
                .zipWithNext { a, b -> (b - a).toDouble() }
            val mean = gaps.average()
            val deviation = Math.sqrt(gaps.sumOf { (it - mean) * (it - mean) } / gaps.size)
            expectThat(Math.abs(deviation / mean - 1)).isLessThan(0.1)
        }

        @Test
        fun `of zero gives no arrivals`() {
            expectThat(
                Arrivals.generate(listOf(group.copy(rate = 0.0, surges = listOf())), 60, seed)
            )
                .isEmpty()
        }
    }

    /** Guards against two requests with the same answer. */
    @Test
    fun `prompts differ from each other and have the configured length`() {
        val prompts = Arrivals.generate(listOf(group), 20, seed).map { it.prompt }
        expectThat(prompts.toSet()).hasSize(prompts.size)
        expectThat(prompts).all { get { split(' ') }.hasSize(group.promptWords) }
    }

    /** Guards against requests that are sent late because they are not in the order of time. */
    @Test
    fun `arrivals are numbered in the order of time`() {
        val a = Arrivals.generate(listOf(group, group.copy(name = "other")), 20, seed)
        expectThat(a.map { it.number }).isEqualTo(a.indices.toList())
        expectThat(a.sortedBy { it.atNanos }).isEqualTo(a)
    }
}
