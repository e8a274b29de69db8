package io.greengageport.bench

import java.util.concurrent.Callable
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import picocli.CommandLine.Command
import picocli.CommandLine.Mixin
import picocli.CommandLine.Option

/** Cost of an instance by the number of instances, idle and with a small steady load. */
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

    private class Row(val size: Int, val phase: String, val values: Map<String, Double>)

    override fun call(): Int = runBlocking {
        println("seed ${options.seed}, sizes $sizes, heap ${options.heap} MB, rate $rate")
        val rows = sizes.flatMap { measure(it) }
        for ((phase, all) in rows.groupBy { it.phase }) fits(phase, all)
        0
    }

    private suspend fun measure(size: Int): List<Row> = options.fleet(size).use { fleet ->
        fleet.start()
        delay((options.warmUp + options.settle) * MILLIS)
        val start = FleetSample(fleet.instances, fleet)
        delay(options.measure * MILLIS)
        val idle = FleetSample(fleet.instances, fleet)
        val groups = SlopeOptions.callers(rate * size, rate * size)
        val arrivals = Arrivals.of(groups, options.measure, options.seed)
        val addresses = fleet.instances.map { fleet.callers(it) }
        val results = LoadGenerator(addresses, System.nanoTime()).run(arrivals, LIMIT_MILLIS)
        val busy = FleetSample(fleet.instances, fleet)
        println("answered ${results.count { it.isAnswered }} of ${results.size}")
        listOf(row(size, "idle", start, idle), row(size, "load", idle, busy))
    }

    private fun row(size: Int, phase: String, from: FleetSample, to: FleetSample): Row {
        val cpu = to.cpuSince(from).values
        val calls = to.callsSince(from)
        val values = linkedMapOf(
            "cpu_percent" to cpu.average(),
            "cpu_percent_max" to cpu.max(),
            "resident_mb" to to.residentMegabytes,
            "all_io_bytes_s" to to.transferredSince(from),
            "peer_bytes_s" to to.peersSince(from, FleetSample.BYTES),
            "peer_messages_s" to to.peersSince(from, FleetSample.FRAMES),
            "platform_calls_s" to calls.values.sumOf { it.first } / size,
            "platform_body_bytes_s" to calls.values.sumOf { it.second } / size,
            "appends_s_fleet" to calls.filterKeys { "append" in it }.values.sumOf { it.first },
            "platform_cpu_percent" to to.platformCpuSince(from)
        )
        for ((kind, c) in calls) {
            values["calls_s $kind"] = c.first / size
            values["body_bytes_s $kind"] = c.second / size
        }
        println("$size instances, $phase, load average ${FleetSample.loadAverage()}")
        values.forEach { (name, v) -> println("  %-28s %12.3f".format(name, v)) }
        return Row(size, phase, values)
    }

    private fun fits(phase: String, rows: List<Row>) {
        if (rows.size < MIN_POINTS) return
        println("$phase: fit by number of instances, with standard errors")
        for (name in rows.first().values.keys) {
            val points = rows.map { it.size.toDouble() to (it.values[name] ?: 0.0) }
            println("  %-28s %s".format(name, LinearFit.of(points)))
        }
    }

    private companion object {
        const val MILLIS = 1_000L
        const val LIMIT_MILLIS = 30_000L
        const val MIN_POINTS = 3
    }
}
