package io.greengageport.bench

import java.util.concurrent.Callable
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import picocli.CommandLine.Command
import picocli.CommandLine.Mixin
import picocli.CommandLine.Option

/** Measures what list, load reports and cache events of runners cost an idle instance. */
@Command(name = "runners", description = ["Cost of an instance by the number of runners."])
internal class SlopeRunners : Callable<Int> {
    @Mixin
    lateinit var options: SlopeOptions

    @Option(names = ["--sizes"], split = ",", defaultValue = "40,500,1500")
    lateinit var sizes: List<Int>

    @Option(
        names = ["--local"],
        split = ",",
        defaultValue = "0,6",
        description = ["One in this many runners is in the instances' data centre; 0 for none."]
    )
    lateinit var strides: List<Int>

    override fun call(): Int = runBlocking {
        println(
            "seed ${options.seed}, sizes $sizes, heap ${options.heapMegabytes} MB, two instances"
        )
        for (stride in strides) measureSeries(stride)
        0
    }

    private suspend fun measureSeries(stride: Int) {
        val points = mutableMapOf<String, MutableList<Pair<Double, Double>>>()
        SyntheticFleet(options.seed).use { runners ->
            options.newFleet(2, hasRunners = false, dataCentres = 1).use { fleet ->
                fleet.start()
                val warmUpPublishing =
                    publishRunners(
                        CoroutineScope(Dispatchers.IO),
                        fleet,
                        runners,
                        sizes.first(),
                        stride
                    )
                delay(options.warmUpSeconds * MILLIS_PER_SECOND)
                warmUpPublishing.cancel()
                for (size in sizes) {
                    for ((name, v) in measure(fleet, runners, size, stride)) {
                        points.getOrPut(name) { mutableListOf() } += size.toDouble() to v
                    }
                }
            }
        }
        if (sizes.size < MIN_FIT_POINTS) return
        println("one of $stride runners local: fit by number of runners, with standard errors")
        points.forEach { (name, p) -> println("  %-28s %s".format(name, LinearFit.of(p))) }
    }

    private suspend fun measure(
        fleet: LocalFleet,
        runners: SyntheticFleet,
        size: Int,
        stride: Int
    ): Map<String, Double> {
        val publishing =
            publishRunners(CoroutineScope(Dispatchers.IO), fleet, runners, size, stride)
        delay(options.settleSeconds * MILLIS_PER_SECOND)
        val from = FleetSample(fleet.instances, fleet)
        val polls = runners.calls
        delay(options.measureSeconds * MILLIS_PER_SECOND)
        val to = FleetSample(fleet.instances, fleet)
        val callsToRunners = (runners.calls - polls) / to.secondsSince(from)
        val seen = fleet.instances.map { fleet.statusOrNull(it)?.runners?.size }
        publishing.cancel()
        val holder = fleet.instances.firstOrNull {
            fleet.statusOrNull(it)?.isPlacementHolder == true
        }
        val cpu = to.cpuPercentSince(from)
        val calls = to.callRatesSince(from)
        val values = linkedMapOf(
            "cpu_percent" to cpu.filterKeys { it != holder }.values.average(),
            "cpu_percent_lease_holder" to (cpu[holder] ?: Double.NaN),
            "resident_mb" to to.residentMegabytes,
            "all_io_bytes_s" to to.bytesPerSecondSince(from),
            "list_body_bytes_s" to (calls["list"]?.second ?: 0.0) / cpu.size,
            "load_body_bytes_s" to (calls["load"]?.second ?: 0.0) / cpu.size,
            "list_calls_s" to (calls["list"]?.first ?: 0.0) / cpu.size,
            "load_calls_s" to (calls["load"]?.first ?: 0.0) / cpu.size,
            "calls_to_runners_s" to callsToRunners / cpu.size
        )
        println(
            "$size runners, one of $stride local, instances see $seen, " +
                "load average ${FleetSample.formattedLoadAverage()}"
        )
        values.forEach { (name, v) -> println("  %-28s %12.3f".format(name, v)) }
        return values
    }

    private fun publishRunners(
        scope: CoroutineScope,
        fleet: LocalFleet,
        runners: SyntheticFleet,
        size: Int,
        stride: Int
    ): Job = scope.launch {
        var round = 0
        while (isActive) {
            val local = if (stride == 0) 0 else size / stride
            fleet.put(
                "http://${fleet.platform.address}/control/runners",
                runners.newRunnersJson(size, local, "dc1", round++)
            )
            delay(MILLIS_PER_SECOND)
        }
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000L
        const val MIN_FIT_POINTS = 3
    }
}
