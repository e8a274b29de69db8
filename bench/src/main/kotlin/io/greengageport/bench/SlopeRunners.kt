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

/** Cost of an idle instance by the number of runners: list, load reports and cache events. */
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
        description = ["One runner in this many is in the instance's data centre; 0 for none."]
    )
    lateinit var locals: List<Int>

    override fun call(): Int = runBlocking {
        println("seed ${options.seed}, sizes $sizes, heap ${options.heap} MB, two instances")
        for (share in locals) series(share)
        0
    }

    private suspend fun series(share: Int) {
        val points = mutableMapOf<String, MutableList<Pair<Double, Double>>>()
        SyntheticFleet(options.seed).use { runners ->
            options.fleet(2, engines = false, centres = 1).use { fleet ->
                fleet.start()
                val warming =
                    feed(CoroutineScope(Dispatchers.IO), fleet, runners, sizes.first(), share)
                delay(options.warmUp * MILLIS)
                warming.cancel()
                for (size in sizes) {
                    for ((name, v) in measure(fleet, runners, size, share)) {
                        points.getOrPut(name) { mutableListOf() } += size.toDouble() to v
                    }
                }
            }
        }
        if (sizes.size < MIN_POINTS) return
        println("one of $share runners local: fit by number of runners, with standard errors")
        points.forEach { (name, p) -> println("  %-28s %s".format(name, LinearFit.of(p))) }
    }

    private suspend fun measure(
        fleet: LocalFleet,
        runners: SyntheticFleet,
        size: Int,
        share: Int
    ): Map<String, Double> {
        val feeding = feed(CoroutineScope(Dispatchers.IO), fleet, runners, size, share)
        delay(options.settle * MILLIS)
        val from = FleetSample(fleet.instances, fleet)
        val polls = runners.calls
        delay(options.measure * MILLIS)
        val to = FleetSample(fleet.instances, fleet)
        val callsToRunners = (runners.calls - polls) / to.secondsSince(from)
        val seen = fleet.instances.map { fleet.statusOrNull(it)?.runners?.size }
        feeding.cancel()
        val holder = fleet.instances.firstOrNull {
            fleet.statusOrNull(it)?.isPlacementHolder == true
        }
        val cpu = to.cpuSince(from)
        val calls = to.callsSince(from)
        val values = linkedMapOf(
            "cpu_percent" to cpu.filterKeys { it != holder }.values.average(),
            "cpu_percent_lease_holder" to (cpu[holder] ?: Double.NaN),
            "resident_mb" to to.residentMegabytes,
            "all_io_bytes_s" to to.transferredSince(from),
            "list_body_bytes_s" to (calls["list"]?.second ?: 0.0) / cpu.size,
            "load_body_bytes_s" to (calls["load"]?.second ?: 0.0) / cpu.size,
            "list_calls_s" to (calls["list"]?.first ?: 0.0) / cpu.size,
            "load_calls_s" to (calls["load"]?.first ?: 0.0) / cpu.size,
            "calls_to_runners_s" to callsToRunners / cpu.size
        )
        println(
            "$size runners, one of $share local, instances see $seen, " +
                "load average ${FleetSample.loadAverage()}"
        )
        values.forEach { (name, v) -> println("  %-28s %12.3f".format(name, v)) }
        return values
    }

    private fun feed(
        scope: CoroutineScope,
        fleet: LocalFleet,
        runners: SyntheticFleet,
        size: Int,
        share: Int
    ): Job = scope.launch {
        var round = 0
        while (isActive) {
            val local = if (share == 0) 0 else size / share
            fleet.put(
                "http://${fleet.platform.address}/control/runners",
                runners.page(size, local, "dc1", round++)
            )
            delay(MILLIS)
        }
    }

    private companion object {
        const val MILLIS = 1_000L
        const val MIN_POINTS = 3
    }
}
