package io.greengageport.routing

import io.greengageport.common.DataCentre
import io.greengageport.common.LayerRange
import io.greengageport.common.RequestId
import io.greengageport.common.RunnerId
import io.greengageport.common.ServiceName
import io.greengageport.testkit.ManualClock
import kotlin.random.Random

/** The service that the runners, requests and fleets built here belong to. */
internal val service = ServiceName("sheets")
internal val centres = listOf("north", "south", "west").map(::DataCentre)

internal fun runner(
    id: String,
    layers: LayerRange? = null,
    rate: Double = 1_000.0,
    centre: DataCentre = centres[0],
    version: String = ""
) = Runner(RunnerId(id), service, centre, layers, rate, version = version)

internal fun request(
    id: String = "r1",
    output: Int = 100,
    excluded: Set<RunnerId> = emptySet(),
    isMarked: Boolean = false,
    runnersWithMarkedRequests: Set<RunnerId> = emptySet(),
    prompt: Int = 0,
    blocks: LongArray = LongArray(0),
    version: String? = null,
    fallbackVersions: Set<String> = emptySet()
) = RoutingRequest(
    id = RequestId(id),
    service = service,
    dataCentre = centres[0],
    promptTokens = prompt,
    outputTokens = output,
    prefixBlocks = blocks,
    excluded = excluded,
    isMarked = isMarked,
    runnersWithMarkedRequests = runnersWithMarkedRequests,
    version = version,
    fallbackVersions = fallbackVersions
)

internal fun fleet(layers: Int, runners: List<Runner>): ServiceFleet = Fleet().run {
    setLayers(service, layers)
    runners.forEach(::put)
    service(service)
}

/** A cost model and its estimators, which have no observations. */
internal class PlannerInputs(
    val clock: ManualClock = ManualClock(),
    val loads: LoadEstimator = LoadEstimator(),
    val links: LinkEstimator = LinkEstimator(clock),
    val prefixes: PrefixIndex = PrefixIndex()
) {
    val costs = CostModel(loads, links, prefixes, clock)
    val exactPlanner =
        ShortestChain(costs, Random(1), sampleAbove = Int.MAX_VALUE, jitterMillis = 0.0)

    fun queue(id: String, tokens: Double) {
        loads.report(RunnerLoad(RunnerId(id), clock.wallMillis(), tokens))
    }
}

/** Runners with random, overlapping ranges; the first two together cover all layers. */
internal fun randomRunners(random: Random, layers: Int, count: Int): List<Runner> {
    val cut = random.nextInt(1, layers)
    val covering = listOf(LayerRange(0, cut), LayerRange(cut, layers))
    val others = List(count - covering.size) {
        val from = random.nextInt(layers)
        LayerRange(from, random.nextInt(from + 1, layers + 1))
    }
    return (covering + others).mapIndexed { i, range ->
        runner("e$i", range, random.nextDouble(200.0, 2_000.0), centres.random(random))
    }
}

internal fun randomInputs(random: Random, runners: List<Runner>): PlannerInputs {
    val inputs = PlannerInputs()
    for (r in runners) inputs.queue(r.id.value, random.nextDouble(0.0, 500.0))
    for (a in centres) {
        for (b in centres) inputs.links.observe(a, b, listOf(0.05, 0.25, 5.0).random(random))
    }
    repeat(2) { inputs.links.observe(runners.random(random), runners.random(random), 20.0) }
    return inputs
}
