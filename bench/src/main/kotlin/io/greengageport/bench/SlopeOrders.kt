package io.greengageport.bench

import java.util.concurrent.Callable
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import picocli.CommandLine.Command
import picocli.CommandLine.Mixin
import picocli.CommandLine.Option

/** Measures claims, log appends and latency by the rate of non-idempotent calls. */
@Command(name = "orders", description = ["Log appends and latency of non-idempotent calls."])
internal class SlopeOrders : Callable<Int> {
    @Mixin
    lateinit var options: SlopeOptions

    @Option(names = ["--instances"], defaultValue = "9")
    var instances: Int = 0

    @Option(
        names = ["--rates"],
        split = ",",
        defaultValue = "18,45,90,180",
        description = ["Orders per second of the fleet; lookups are sent at the same rate."]
    )
    lateinit var rates: List<Double>

    override fun call(): Int = runBlocking {
        println("seed ${options.seed}, $instances instances, heap ${options.heapMegabytes} MB")
        val points = mutableMapOf<String, MutableList<Pair<Double, Double>>>()
        options.newFleet(instances).use { fleet ->
            fleet.start()
            delay(options.settleSeconds * MILLIS_PER_SECOND)
            sendLoad(fleet, rates.max(), options.warmUpSeconds)
            for (rate in rates) {
                for ((name, v) in measure(fleet, rate)) {
                    points.getOrPut(name) { mutableListOf() } += rate to v
                }
            }
        }
        if (rates.size >= MIN_FIT_POINTS) {
            println("fit by orders per second of the fleet, with standard errors")
            points.forEach { (name, p) -> println("  %-28s %s".format(name, LinearFit.of(p))) }
        }
        0
    }

    private suspend fun sendLoad(fleet: LocalFleet, rate: Double, seconds: Int): List<CallResult> {
        val arrivals =
            Arrivals.generate(SlopeOptions.callerGroups(rate, 0.0), seconds, options.seed)
        val addresses = fleet.instances.map { fleet.callerAddress(it) }
        return LoadGenerator(addresses, System.nanoTime()).run(arrivals, ANSWER_LIMIT_MILLIS)
    }

    private suspend fun measure(fleet: LocalFleet, rate: Double): Map<String, Double> {
        val from = FleetSample(fleet.instances, fleet)
        val results = sendLoad(fleet, rate, options.measureSeconds)
        val to = FleetSample(fleet.instances, fleet)
        println("$rate orders/s, load average ${FleetSample.formattedLoadAverage()}")
        for ((kind, all) in results.groupBy { it.arrival.group.kind }) {
            val p = Percentiles.ofNanos(
                all.filter { it.isAnswered }.map { it.endNanos - it.arrival.atNanos }
            )
            println(
                "  $kind: answered ${p.count} of ${all.size}, p50 ${p.p50} ms, " +
                    "p99 ${p.p99} ms, max ${p.max} ms"
            )
        }
        val claims = results.count { it.isAnswered && it.arrival.group.kind == CallKind.ORDER }
        val calls = to.callRatesSince(from)
        val values = linkedMapOf("claims_s" to claims / to.secondsSince(from))
        for ((kind, c) in calls.filterKeys { "append" in it }) values["$kind calls_s"] = c.first
        values["append orders body_bytes_s"] = calls["append orders"]?.second ?: 0.0
        values["read orders bytes_s instance"] =
            (calls["read orders"]?.second ?: 0.0) / instances
        values["cpu_percent instance"] = to.cpuPercentSince(from).values.average()
        values.forEach { (name, v) -> println("  %-28s %12.3f".format(name, v)) }
        return values
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000L
        const val ANSWER_LIMIT_MILLIS = 30_000L
        const val MIN_FIT_POINTS = 3
    }
}
