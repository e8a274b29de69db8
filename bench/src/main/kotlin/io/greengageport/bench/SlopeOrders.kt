package io.greengageport.bench

import java.util.concurrent.Callable
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import picocli.CommandLine.Command
import picocli.CommandLine.Mixin
import picocli.CommandLine.Option

/** Claims and log appends by the rate of non-idempotent calls, and the latency they add. */
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
        description = ["Orders per second of the fleet; as many lookups are sent beside them."]
    )
    lateinit var rates: List<Double>

    override fun call(): Int = runBlocking {
        println("seed ${options.seed}, $instances instances, heap ${options.heap} MB")
        val points = mutableMapOf<String, MutableList<Pair<Double, Double>>>()
        options.fleet(instances).use { fleet ->
            fleet.start()
            delay(options.settle * MILLIS)
            load(fleet, rates.max(), options.warmUp)
            for (rate in rates) {
                for ((name, v) in measure(fleet, rate)) {
                    points.getOrPut(name) { mutableListOf() } += rate to v
                }
            }
        }
        if (rates.size >= MIN_POINTS) {
            println("fit by orders per second of the fleet, with standard errors")
            points.forEach { (name, p) -> println("  %-28s %s".format(name, LinearFit.of(p))) }
        }
        0
    }

    private suspend fun load(fleet: LocalFleet, rate: Double, seconds: Int): List<CallResult> {
        val arrivals = Arrivals.of(SlopeOptions.callers(rate, 0.0), seconds, options.seed)
        val addresses = fleet.instances.map { fleet.callers(it) }
        return LoadGenerator(addresses, System.nanoTime()).run(arrivals, LIMIT_MILLIS)
    }

    private suspend fun measure(fleet: LocalFleet, rate: Double): Map<String, Double> {
        val from = FleetSample(fleet.instances, fleet)
        val results = load(fleet, rate, options.measure)
        val to = FleetSample(fleet.instances, fleet)
        println("$rate orders/s, load average ${FleetSample.loadAverage()}")
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
        val calls = to.callsSince(from)
        val values = linkedMapOf("claims_s" to claims / to.secondsSince(from))
        for ((kind, c) in calls.filterKeys { "append" in it }) values["$kind calls_s"] = c.first
        values["append orders body_bytes_s"] = calls["append orders"]?.second ?: 0.0
        values["read orders bytes_s instance"] =
            (calls["read orders"]?.second ?: 0.0) / instances
        values["cpu_percent instance"] = to.cpuSince(from).values.average()
        values.forEach { (name, v) -> println("  %-28s %12.3f".format(name, v)) }
        return values
    }

    private companion object {
        const val MILLIS = 1_000L
        const val LIMIT_MILLIS = 30_000L
        const val MIN_POINTS = 3
    }
}
