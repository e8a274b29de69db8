package io.greengageport.bench

import java.util.concurrent.Callable
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import picocli.CommandLine.Command
import picocli.CommandLine.Mixin
import picocli.CommandLine.Option

/** Measures the cost of an instance by the number of instances, idle and under constant load. */
@Command(name = "instances", description = ["Cost of an instance by the number of instances."])
internal class SlopeInstances : Callable<Int> {
    @Mixin
    lateinit var options: SlopeOptions

    @Option(names = ["--sizes"], split = ",", defaultValue = "3,9,27")
    lateinit var sizes: List<Int>

    @Option(
        names = ["--rate"],
        defaultValue = "0.5",
        description = ["Orders, lookups and completions per second and instance, each."]
    )
    var rate: Double = 0.0

    private class Measurement(val size: Int, val phase: String, val values: Map<String, Double>)

    override fun call(): Int = runBlocking {
        println("seed ${options.seed}, sizes $sizes, heap ${options.heapMegabytes} MB, rate $rate")
        val rows = sizes.flatMap { measure(it) }
        for ((phase, all) in rows.groupBy { it.phase }) printFits(phase, all)
        0
    }

    private suspend fun measure(size: Int): List<Measurement> =
        options.newFleet(size).use { fleet ->
            fleet.start()
            delay((options.warmUpSeconds + options.settleSeconds) * MILLIS_PER_SECOND)
            val start = FleetSample(fleet.instances, fleet)
            delay(options.measureSeconds * MILLIS_PER_SECOND)
            val idle = FleetSample(fleet.instances, fleet)
            val groups = SlopeOptions.callerGroups(rate * size, rate * size)
            val arrivals = Arrivals.generate(groups, options.measureSeconds, options.seed)
            val addresses = fleet.instances.map { fleet.callerAddress(it) }
            val results =
                LoadGenerator(addresses, System.nanoTime()).run(arrivals, ANSWER_LIMIT_MILLIS)
            val busy = FleetSample(fleet.instances, fleet)
            println("answered ${results.count { it.isAnswered }} of ${results.size}")
            listOf(
                newMeasurement(size, "idle", start, idle),
                newMeasurement(size, "load", idle, busy)
            )
        }

    private fun newMeasurement(
        size: Int,
        phase: String,
        from: FleetSample,
        to: FleetSample
    ): Measurement {
        val cpu = to.cpuPercentSince(from).values
        val calls = to.callRatesSince(from)
        val values = linkedMapOf(
            "cpu_percent" to cpu.average(),
            "cpu_percent_max" to cpu.max(),
            "resident_mb" to to.residentMegabytes,
            "all_io_bytes_s" to to.bytesPerSecondSince(from),
            "peer_bytes_s" to to.peerRateSince(from, FleetSample.PEER_BYTES),
            "peer_messages_s" to to.peerRateSince(from, FleetSample.PEER_FRAMES),
            "platform_calls_s" to calls.values.sumOf { it.first } / size,
            "platform_body_bytes_s" to calls.values.sumOf { it.second } / size,
            "appends_s_fleet" to calls.filterKeys { "append" in it }.values.sumOf { it.first },
            "platform_cpu_percent" to to.platformCpuPercentSince(from)
        )
        for ((kind, c) in calls) {
            values["calls_s $kind"] = c.first / size
            values["body_bytes_s $kind"] = c.second / size
        }
        println("$size instances, $phase, load average ${FleetSample.formattedLoadAverage()}")
        values.forEach { (name, v) -> println("  %-28s %12.3f".format(name, v)) }
        return Measurement(size, phase, values)
    }

    private fun printFits(phase: String, rows: List<Measurement>) {
        if (rows.size < MIN_FIT_POINTS) return
        println("$phase: fit by number of instances, with standard errors")
        for (name in rows.first().values.keys) {
            val points = rows.map { it.size.toDouble() to (it.values[name] ?: 0.0) }
            println("  %-28s %s".format(name, LinearFit.of(points)))
        }
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000L
        const val ANSWER_LIMIT_MILLIS = 30_000L
        const val MIN_FIT_POINTS = 3
    }
}
