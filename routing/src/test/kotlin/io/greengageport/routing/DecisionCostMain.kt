package io.greengageport.routing

import io.greengageport.common.LayerRange
import io.greengageport.common.RequestId
import io.greengageport.common.RunnerId
import io.greengageport.common.ServiceName
import io.greengageport.testkit.ManualClock
import java.lang.management.ManagementFactory
import kotlin.random.Random

private const val LAYERS = 48
private const val ROUNDS = 20_000
private const val SEED = 21

/** Measures the time of routing decisions and of placement planning for several fleet sizes. */
fun main() {
    println("seed $SEED; a quarter of the ranges overlap others; times in microseconds")
    for (size in listOf(40, 150, 500, 1_500)) {
        val services = List(if (size == 40) 2 else 11) { ServiceName("model$it") }
        val runners = fleet(size, services)
        measureDecisions(size, services, runners)
        measurePlacement(size, services, runners)
    }
}

private fun fleet(size: Int, services: List<ServiceName>): List<Runner> {
    val random = Random(SEED)
    return List(size) {
        val round = it / services.size
        // The first six runners of each service cover all layers.
        val shift = if (round >= 6 && random.nextInt(4) == 0) 4 else 0
        val from = round % 6 * 8 + shift
        val range = LayerRange(from, minOf(from + 8, LAYERS))
        runner("e$it", range, random.nextDouble(400.0, 4_000.0), centres.random(random))
            .copy(service = services[it % services.size])
    }
}

private fun measureDecisions(size: Int, services: List<ServiceName>, runners: List<Runner>) {
    val random = Random(SEED)
    val inputs = PlannerInputs()
    val fleet = Fleet()
    services.forEach { fleet.setLayers(it, LAYERS) }
    runners.forEach(fleet::put)
    runners.forEach { inputs.queue(it.id.value, random.nextDouble(0.0, 900.0)) }
    repeat(200) { inputs.links.observe(runners.random(random), runners.random(random), 9.0) }
    val bound = List(60) {
        val start = System.nanoTime()
        FleetBound.of(fleet.service(services[it % services.size]))
        (System.nanoTime() - start) / 1_000.0
    }.drop(20).sorted()
    println("%5d runners bound p50=%.0f max=%.0f".format(size, bound[20], bound.last()))
    val planners = listOf(
        ShortestChain(inputs.costs, random),
        ShortestChain(inputs.costs, random, Int.MAX_VALUE),
        LeastQueue(inputs.costs),
        FirstFit(inputs.costs)
    )
    for ((planner, name) in planners.zip(listOf("2 of a group", "all", "", ""))) {
        val threads = ManagementFactory.getThreadMXBean() as com.sun.management.ThreadMXBean
        val micros = DoubleArray(ROUNDS)
        val before = threads.currentThreadAllocatedBytes
        for (i in 0 until ROUNDS) {
            val service = services[i % services.size]
            val request = RoutingRequest(RequestId("r"), service, centres[0], outputTokens = 200)
            val start = System.nanoTime()
            val plan = planner.plan(fleet.service(service), request)
            micros[i] = (System.nanoTime() - start) / 1_000.0
            check(plan.isOk) { "no chain: ${plan.error}" }
        }
        val allocated = (threads.currentThreadAllocatedBytes - before) / ROUNDS
        val warm = micros.drop(ROUNDS / 2).sorted()
        println(
            "%5d runners %-14s %-12s p50=%.1f p99=%.1f allocated=%dB".format(
                size,
                planner.name,
                name,
                warm[warm.size / 2],
                warm[warm.size * 99 / 100],
                allocated
            )
        )
    }
}

private fun measurePlacement(size: Int, services: List<ServiceName>, runners: List<Runner>) {
    val random = Random(SEED)
    val models = services.map {
        ModelDemand(it, LAYERS, random.nextDouble(100.0, 40.0 * size), bytesPerLayer = 1_000)
    }
    val placed = runners.map {
        val current = Assignment(it.service, checkNotNull(it.layers))
        PlaceableRunner(it.id, it.dataCentre, "kind", 8_000, it.tokensPerSecond * 8, current)
    }
    val planner = PlacementPlanner(ManualClock())
    val empty = placed.map { it.copy(current = null) }
    for ((name, input) in listOf("running" to placed, "empty" to empty)) {
        val micros = List(60) {
            val start = System.nanoTime()
            planner.plan(models, input)
            (System.nanoTime() - start) / 1_000.0
        }.drop(20).sorted()
        println(
            "%5d runners placement %-8s p50=%.0f max=%.0f orders=%d".format(
                size,
                name,
                micros[micros.size / 2],
                micros.last(),
                planner.plan(models, input).orders.size
            )
        )
    }
}
