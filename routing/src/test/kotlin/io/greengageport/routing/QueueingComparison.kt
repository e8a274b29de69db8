package io.greengageport.routing

import io.greengageport.common.DataCentre
import io.greengageport.common.LayerRange
import io.greengageport.common.RequestId
import io.greengageport.common.RunnerId
import io.greengageport.testkit.ManualClock
import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.random.Random

/**
 * Compares planners on the same seeded arrivals with a simple queueing simulation.
 *
 * Each runner is a queue of work that drains at its rate. A request adds its work to every stage of
 * its chain; its latency is the sum of wait, service and hop times. Each of [instances] entry
 * instances plans with its own estimates. Reports arrive with a delay of [LAG_MILLIS], and those of
 * a fifth of the runners with [STALE_MILLIS].
 */
internal class QueueingComparison(
    private val seed: Int,
    private val load: Double,
    private val instances: Int = 8,
    private val seconds: Int = 60,
    private val ranges: List<LayerRange> = OVERLAPPING
) {
    data class Outcome(val share: Double, val p50: Double, val p95: Double) {
        override fun toString() = "share=%.3f p50=%.0fms p95=%.0fms".format(share, p50, p95)
    }

    private class Arrival(val atMillis: Double, val instance: Int, val output: Int)

    private class Finish(val atMillis: Double, val instance: Int, val stages: List<PlannedStage>)

    private val runners = Random(seed).let { random ->
        List(PER_RANGE * ranges.size) { i ->
            val rate = RATES[random.nextInt(RATES.size)]
            runner("e%02d".format(i), ranges[i % ranges.size], rate, centres.random(random))
        }
    }
    private val fleet = fleet(LAYERS, runners)
    private val bound = FleetBound.of(fleet).tokensPerSecond
    private val arrivals = arrivals(Random(seed + 1))

    fun run(planner: (CostModel, Random) -> ChainPlanner): Outcome = Run(planner).outcome()

    private fun arrivals(random: Random): List<Arrival> {
        val perMillis = load * bound / MEAN_OUTPUT / 1_000
        return generateSequence(0.0) { it - ln(1 - random.nextDouble()) / perMillis }
            .drop(1).takeWhile { it < seconds * 1_000.0 }
            .map { at ->
                val output = random.nextInt(20, 2 * MEAN_OUTPUT - 19)
                Arrival(at, random.nextInt(instances), output)
            }.toList()
    }

    private inner class Run(planner: (CostModel, Random) -> ChainPlanner) {
        private val clock = ManualClock(wall = 0)
        private val instanceInputs = List(instances) { i ->
            PlannerInputs(clock).also { observeLinks(it.links) } to Random(seed + 10 + i)
        }
        private val planners =
            instanceInputs.map { (inputs, random) -> planner(inputs.costs, random) }
        private val freeAt = HashMap<RunnerId, Double>()
        private val finishes = PriorityQueue<Finish>(compareBy { it.atMillis })
        private val reports = ArrayDeque<Pair<Long, List<RunnerLoad>>>()
        private val latencies = ArrayList<Double>()
        private var finishedTokens = 0.0
        private var nextReport = 0L

        fun outcome(): Outcome {
            arrivals.forEachIndexed { i, arrival ->
                advanceTo(arrival.atMillis)
                dispatch(i, arrival)
            }
            latencies.sort()
            val quantile = { q: Double -> latencies[(latencies.size * q).toInt()] }
            return Outcome(finishedTokens / seconds / bound, quantile(0.5), quantile(0.95))
        }

        private fun advanceTo(now: Double) {
            while (nextReport <= now) report(nextReport).also { nextReport += REPORT_MILLIS }
            while (finishes.isNotEmpty() && finishes.peek().atMillis <= now) {
                val finish = finishes.poll()
                val loads = instanceInputs[finish.instance].first.loads
                finish.stages.forEach {
                    loads.recordFinished(it.id, it.workTokens, finish.atMillis.toLong())
                }
            }
            clock.advance(now.toLong() - clock.wallMillis())
        }

        private fun report(now: Long) {
            reports += now to runners.map { r ->
                val queued = maxOf(0.0, freeAt.getOrDefault(r.id, 0.0) - now) / 1_000
                RunnerLoad(r.id, now, queued * r.tokensPerSecond, r.tokensPerSecond)
            }
            if (reports.size > STALE_MILLIS / REPORT_MILLIS + 1) reports.removeFirst()
            runners.indices.forEach { i ->
                val lag = if (i % 5 == 0) STALE_MILLIS else LAG_MILLIS
                val visible = reports.lastOrNull { it.first <= now - lag } ?: return@forEach
                instanceInputs.forEach { it.first.loads.report(visible.second[i]) }
            }
        }

        private fun dispatch(i: Int, arrival: Arrival) {
            val request = RoutingRequest(
                RequestId("q$i"),
                service,
                centres[arrival.instance % centres.size],
                outputTokens = arrival.output
            )
            val plan = planners[arrival.instance].plan(fleet, request).value
            val now = arrival.atMillis
            var latency = 0.0
            for (stage in plan.stages) {
                val start = maxOf(now, freeAt.getOrDefault(stage.id, 0.0))
                val service = stage.workTokens / stage.runner.tokensPerSecond * 1_000
                freeAt[stage.id] = start + service
                latency += start - now + service + stage.linkMillis
                instanceInputs[arrival.instance].first.loads
                    .recordSent(stage.id, stage.workTokens, now.toLong())
            }
            latencies += latency
            if (now + latency <= seconds * 1_000.0) finishedTokens += arrival.output
            finishes += Finish(now + latency, arrival.instance, plan.stages)
        }
    }

    private fun observeLinks(links: LinkEstimator) {
        for (a in centres) for (b in centres) links.observe(a, b, hop(a, b))
    }

    private fun hop(a: DataCentre, b: DataCentre) = when {
        a == b -> 0.05
        centres.last() in listOf(a, b) -> 5.0
        else -> 0.25
    }

    companion object {
        private const val LAYERS = 48
        private const val PER_RANGE = 6
        private const val MEAN_OUTPUT = 200
        private const val REPORT_MILLIS = 250L
        private const val LAG_MILLIS = 500L
        private const val STALE_MILLIS = 5_000L
        private val RATES = listOf(400.0, 700.0, 1_000.0, 1_600.0, 2_500.0, 4_000.0)
        val DISJOINT = List(6) { LayerRange(it * 8, it * 8 + 8) }
        val OVERLAPPING = DISJOINT + List(5) { LayerRange(it * 8 + 4, it * 8 + 12) }
    }
}
