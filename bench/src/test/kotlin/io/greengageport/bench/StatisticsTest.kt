package io.greengageport.bench

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards against statistics that omit failed requests or count from the wrong time. */
class StatisticsTest {
    private val group = CallerGroup(name = "help", keys = listOf("a"), rank = "urgent", rate = 1.0)

    private fun arrival(second: Double, g: CallerGroup = group) =
        Arrival(0, (second * 1e9).toLong(), g, "a", "prompt", 0)

    private fun answered(a: Arrival, firstMillis: Long, vararg gapsMillis: Long): CallResult {
        val first = a.atNanos + firstMillis * 1_000_000
        val times = gapsMillis.scan(first) { t, g -> t + g * 1_000_000 }
        val attempt = Attempt(
            CallEnd.ANSWERED,
            200,
            execution = "ran",
            tokens = times.size,
            tokenNanos = times
        )
        return CallResult(a, listOf(attempt), times.last())
    }

    private fun refused(a: Arrival, code: String, execution: String, count: Int = 1) = CallResult(
        a,
        List(count) { Attempt(CallEnd.REFUSED, 503, code, execution) },
        a.atNanos
    )

    private val results = listOf(
        answered(arrival(0.1), 100, 10, 30),
        answered(arrival(1.2), 200, 20),
        refused(arrival(1.5), "overloaded", "not_run", count = 2),
        answered(arrival(1.7, group.copy(rank = "batch", organisationClass = "large")), 900)
    )
    private val statistics = Statistics(results, seconds = 2)

    @Test
    fun `rows count every request of a rank and class once`() {
        val rows = statistics.rows().map {
            listOf(it.rank, it.organisationClass, it.offered, it.answered, it.refused, it.resent)
        }
        expectThat(rows).isEqualTo(
            listOf(
                listOf("batch", "large", 1, 1, 0, 0),
                listOf("urgent", "small", 3, 2, 1, 1)
            )
        )
    }

    @Test
    fun `latency counts from the scheduled send time`() {
        val row = statistics.rows().last()
        // HdrHistogram keeps three significant digits.
        expectThat(row.firstToken.p50.toInt()).isEqualTo(100)
        expectThat(row.firstToken.max.toInt()).isEqualTo(200)
        expectThat(row.betweenTokens.count).isEqualTo(3)
        expectThat(row.tokensPerSecond).isEqualTo(2.5)
    }

    @Test
    fun `tokens that arrive after the run do not count towards the rate`() {
        val late = answered(arrival(1.9), 50, 10, 100, 10)
        expectThat(Statistics(listOf(late), seconds = 2).rows().single().tokensPerSecond)
            .isEqualTo(1.0)
    }

    @Test
    fun `failures are counted by code and reported execution`() {
        expectThat(statistics.failures()).isEqualTo(mapOf("overloaded (not_run)" to 2))
    }

    @Test
    fun `requests count in the second of their scheduled time`() {
        expectThat(statistics.seconds().filter { it.rank == "urgent" }).isEqualTo(
            listOf(
                SecondRow("urgent", 0, 1, 1, 100.0),
                SecondRow("urgent", 1, 2, 1, 200.0)
            )
        )
    }

    @Test
    fun `percentiles without values are zero`() {
        expectThat(Percentiles.ofNanos(emptyList())).isEqualTo(Percentiles(0, 0.0, 0.0, 0.0, 0.0))
    }

    /** Guards against overlooking an order that ran twice or after "not_run" was reported. */
    @Nested
    inner class `the check of orders` {
        private fun order(key: String, execution: String) = CallResult(
            arrival(0.0, group.copy(kind = CallKind.ORDER)),
            listOf(Attempt(CallEnd.REFUSED, 503, "x", execution)),
            0,
            key
        )

        @Test
        fun `counts a key with two effects`() {
            expectThat(OrderCheck.of(listOf(order("k", "unknown")), listOf("k", "k")))
                .isEqualTo(OrderCheck(orders = 1, effects = 2, ranTwice = 1))
        }

        @Test
        fun `counts an effect of an order that was reported as not run`() {
            val orders = listOf(order("k", "not_run"), order("l", "not_run"))
            expectThat(OrderCheck.of(orders, listOf("k")))
                .isEqualTo(OrderCheck(orders = 2, effects = 1, wronglyNotRun = 1))
        }
    }

    /** Guards against reading the wrong fields when the command name contains the separator. */
    @Test
    fun `process usage is parsed if the command name contains spaces`() {
        val stat = "7 (a (b) c) S 1 1 1 0 -1 4194560 1 0 0 0 250 50 0 0 20 0 1 0 1 1 1"
        expectThat(ProcessUsage.parse(stat, "Name:\tx\nVmRSS:\t  20480 kB\n"))
            .isEqualTo(ProcessUsage(cpuSeconds = 3.0, residentMebibytes = 20.0))
    }
}
