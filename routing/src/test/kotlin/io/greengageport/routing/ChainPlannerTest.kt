package io.greengageport.routing

import io.greengageport.common.LayerRange
import io.greengageport.common.RunnerId
import kotlin.math.abs
import kotlin.random.Random
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isTrue

class ChainPlannerTest {
    private val inputs = PlannerInputs()

    private fun chain(fleet: ServiceFleet, request: RoutingRequest = request()) =
        inputs.exactPlanner.plan(fleet, request).value.stages.map { "${it.id}${it.layers}" }

    @Nested
    inner class Differential {
        /** Guards against predecessors or sub-ranges that the dynamic programme misses. */
        @Test
        fun `finds a chain as cheap as an exhaustive search does`() {
            val worse = (1..400).filter { seed ->
                val random = Random(seed)
                val layers = random.nextInt(2, 9)
                val runners = randomRunners(random, layers, random.nextInt(2, 7))
                val inputs = randomInputs(random, runners)
                val request = request(output = random.nextInt(1, 50))
                val found = inputs.exactPlanner.plan(fleet(layers, runners), request).value
                val best = leastCharge(inputs.costs, fleet(layers, runners), request)
                abs(charge(found.stages) - best) > 1e-9 * best
            }
            println("seeds 1..400, chains that differ from the exhaustive search: $worse")
            expectThat(worse).isEqualTo(emptyList())
        }

        /** Guards against layers that any planner skips or assigns twice. */
        @Test
        fun `every planner covers all layers exactly once with distinct eligible runners`() {
            val broken = (1..400).filter { seed ->
                val random = Random(seed)
                val layers = random.nextInt(2, 30)
                val runners = randomRunners(random, layers, random.nextInt(2, 40))
                val costs = randomInputs(random, runners).costs
                val request = request(excluded = setOf(runners.last().id))
                listOf(ShortestChain(costs, random), FirstFit(costs), LeastQueue(costs)).any {
                    val plan = it.plan(fleet(layers, runners), request)
                    plan.isOk && !isValid(plan.value, layers, request)
                }
            }
            expectThat(broken).isEqualTo(emptyList())
        }

        private fun isValid(plan: RoutingDecision, layers: Int, request: RoutingRequest): Boolean {
            val ranges = plan.stages.map { checkNotNull(it.layers) }
            return LayerRange.coversExactly(ranges, layers) &&
                plan.stages.distinctBy { it.id }.size == plan.stages.size &&
                plan.stages.all { request.allows(it.runner) && it.layers!! in it.runner.layers!! }
        }
    }

    @Nested
    inner class Choice {
        private val halves = fleet(
            8,
            listOf("a", "b").map { runner(it, LayerRange(0, 4)) } +
                listOf("c", "d").map { runner(it, LayerRange(4, 8)) }
        )

        /** Guards against choices that ignore the reported queues. */
        @Test
        fun `avoids the longer queue`() {
            inputs.queue("a", 500.0)
            inputs.queue("c", 500.0)
            expectThat(chain(halves)).isEqualTo(listOf("b[0,4)", "d[4,8)"))
        }

        /** Guards against sending a burst to one runner until its next report. */
        @Test
        fun `includes work sent by this instance since the report`() {
            inputs.queue("a", 50.0)
            inputs.loads.recordSent(RunnerId("b"), 100.0, inputs.clock.wallMillis())
            expectThat(chain(halves).first()).isEqualTo("a[0,4)")
        }

        /** Guards against retrying a failed attempt on the same runner. */
        @Test
        fun `skips excluded and leaving runners, and busy ones for marked requests`() {
            val a = setOf(RunnerId("a"))
            expectThat(
                listOf(
                    chain(halves, request(excluded = a)),
                    chain(halves, request(isMarked = true, runnersWithMarkedRequests = a)),
                    chain(halves, request(isMarked = false, runnersWithMarkedRequests = a)),
                    chain(
                        fleet(8, halves.runners.map { it.copy(isLeaving = it.id.value == "a") })
                    )
                ).map { it.first() }
            ).isEqualTo(listOf("b[0,4)", "b[0,4)", "a[0,4)", "b[0,4)"))
        }

        /** Guards against prefixes computed again, and against queueing too long to avoid that. */
        @Test
        fun `prefers the runner with the cached prefix until its queue is too long`() {
            val blocks = PrefixIndex.blocks("sheets", "p".repeat(2_560))
            blocks.forEachIndexed { i, block ->
                inputs.prefixes.onEvent(RunnerId("b"), CacheEvent.Stored(i.toLong(), block))
            }
            val request = request(prompt = 640, blocks = blocks)
            val cached = chain(halves, request).first()
            inputs.queue("b", 100.0)
            expectThat(listOf(cached, chain(halves, request).first()))
                .isEqualTo(listOf("b[0,4)", "a[0,4)"))
        }

        /** Guards against sampling that omits the runner with the cached prefix. */
        @Test
        fun `selects the runner with the cached prefix in a large group`() {
            val equal = fleet(4, List(12) { runner("p$it", LayerRange(0, 4)) })
            val blocks = PrefixIndex.blocks("sheets", "p".repeat(512))
            inputs.prefixes.onEvent(RunnerId("p7"), CacheEvent.Stored(0, blocks[0]))
            val planner = ShortestChain(inputs.costs, Random(1))
            val request = request(prompt = 128, blocks = blocks)
            val chosen = List(20) { planner.plan(equal, request).value.stages.single().id.value }
            expectThat(chosen.distinct()).isEqualTo(listOf("p7"))
        }

        /**
         * Guards against needless hops between data centres, and against a local runner that is
         * overloaded.
         */
        @Test
        fun `prefers the local data centre unless its queue is long`() {
            val fleet = fleet(
                4,
                listOf(
                    runner("far", LayerRange(0, 4), centre = centres[1]),
                    runner("near", LayerRange(0, 4))
                )
            )
            val near = chain(fleet)
            inputs.queue("near", 300.0)
            expectThat(near + chain(fleet)).isEqualTo(listOf("near[0,4)", "far[0,4)"))
        }

        /** Guards against a new runner that gets a full share of the work at once, or never. */
        @Test
        fun `warms up a new runner`() {
            val fleet = fleet(
                4,
                listOf(
                    runner("new", LayerRange(0, 4), rate = 1_100.0).copy(joinedAtMillis = 0),
                    runner("old", LayerRange(0, 4))
                )
            )
            val cold = chain(fleet)
            inputs.clock.advance(SlowStart.DEFAULT_WINDOW_MILLIS)
            expectThat(cold + chain(fleet)).isEqualTo(listOf("old[0,4)", "new[0,4)"))
        }

        /** Guards against sending activations of one version to layers of another. */
        @Test
        fun `never mixes versions of a model in a chain`() {
            val mixed = fleet(
                8,
                listOf(
                    runner("a", LayerRange(0, 4), rate = 2_000.0, version = "v1"),
                    runner("b", LayerRange(4, 8), rate = 100.0, version = "v1"),
                    runner("c", LayerRange(0, 4), rate = 100.0, version = "v2"),
                    runner("d", LayerRange(4, 8), rate = 1_000.0, version = "v2"),
                    runner("e", LayerRange(4, 8), rate = 900.0, version = "v3")
                )
            )
            val all = listOf(inputs.exactPlanner, FirstFit(inputs.costs), LeastQueue(inputs.costs))
                .map { p -> p.plan(mixed, request()).value.stages.map { it.runner.version } }
            expectThat(all).all { get { distinct().size }.isEqualTo(1) }
        }

        /** Guards against requests without a version using one that is kept for a few callers. */
        @Test
        fun `uses the requested version, or else further ones only if no other has a chain`() {
            val all = listOf(
                runner("a", LayerRange(0, 8), rate = 100.0, version = "v1"),
                runner("b", LayerRange(0, 8), rate = 900.0, version = "v2"),
                runner("c", LayerRange(0, 4), rate = 900.0, version = "v3")
            )
            fun version(named: String?, further: Set<String>, runners: List<Runner> = all) = listOf(
                inputs.exactPlanner,
                FirstFit(inputs.costs),
                LeastQueue(inputs.costs)
            ).map { p ->
                val r = p.plan(
                    fleet(8, runners),
                    request(version = named, fallbackVersions = further)
                )
                if (r.isOk) r.value.stages.first().runner.version else "${r.error}"
            }.distinct().joinToString()
            expectThat(
                listOf(
                    version(null, emptySet()),
                    version(null, setOf("v2")),
                    version(null, setOf("v2"), all.drop(1)),
                    version("v1", emptySet()),
                    version("v2", setOf("v2")),
                    version("v3", emptySet()),
                    version("v4", emptySet())
                )
            ).isEqualTo(
                listOf(
                    "v2",
                    "v1",
                    "v2",
                    "v1",
                    "v2",
                    RoutingFailure.UncoveredLayers(LayerRange(4, 8), hasExcludedHolders = false)
                        .toString(),
                    "${RoutingFailure.NoVersion(service, "v4")}"
                )
            )
        }

        /** Guards against choices by queue length alone that ignore the rates of the runners. */
        @Test
        fun `selects the runner of a plain service with the least expected wait`() {
            val plain = fleet(0, listOf(runner("a"), runner("b", rate = 4_000.0), runner("c")))
            inputs.queue("a", 100.0)
            inputs.queue("b", 200.0)
            inputs.queue("c", 100.0)
            expectThat(inputs.exactPlanner.plan(plain, request()).value.stages.map { it.id.value })
                .isEqualTo(listOf("b"))
        }

        /** Guards against all instances selecting the same runner between two reports. */
        @Test
        fun `distributes requests over equal runners by sampling`() {
            val equal = fleet(0, List(10) { runner("p$it") })
            val planner = ShortestChain(inputs.costs, Random(7))
            val chosen = List(200) { planner.plan(equal, request()).value.stages.single().id }
            expectThat(chosen.toSet().size).isEqualTo(10)
        }
    }

    @Nested
    inner class Failures {
        private val gap = fleet(
            8,
            listOf(runner("a", LayerRange(0, 3)), runner("b", LayerRange(6, 8)))
        )

        /** Guards against failures that do not tell whether a later retry can succeed. */
        @Test
        fun `reports the layers without a runner and whether some are excluded`() {
            val whole = fleet(8, gap.runners + runner("c", LayerRange(2, 7)))
            val excluded = request(excluded = setOf(RunnerId("c")))
            expectThat(
                listOf(
                    inputs.exactPlanner.plan(gap, request()).error,
                    inputs.exactPlanner.plan(whole, excluded).error,
                    inputs.exactPlanner.plan(fleet(8, emptyList()), request()).error,
                    inputs.exactPlanner.plan(fleet(0, listOf(runner("c"))), excluded).error
                )
            ).isEqualTo(
                listOf(
                    RoutingFailure.UncoveredLayers(LayerRange(3, 6), hasExcludedHolders = false),
                    RoutingFailure.UncoveredLayers(LayerRange(3, 6), hasExcludedHolders = true),
                    RoutingFailure.NoRunners(service),
                    RoutingFailure.AllExcluded(service, 1)
                )
            )
        }
    }

    @Nested
    inner class Index {
        /**
         * Guards against decisions on an outdated fleet, and against rebuilding the index without
         * need.
         */
        @Test
        fun `is rebuilt only after a change of the fleet`() {
            val fleet = Fleet()
            fleet.setLayers(service, 4)
            fleet.put(runner("a", LayerRange(0, 4)))
            val before = fleet.service(service)
            fleet.put(runner("a", LayerRange(0, 4)))
            expectThat(fleet.service(service) === before).isTrue()
            fleet.put(runner("b", LayerRange(2, 4)))
            fleet.remove(RunnerId("a"))
            expectThat(fleet.service(service).runners.map { it.id.value }).isEqualTo(listOf("b"))
        }
    }

    @Nested
    inner class Queueing {
        /** Guards against changes that make the planner worse than its baselines. */
        @Test
        fun `outperforms the baselines at 80 percent of the throughput bound`() {
            val comparison = QueueingComparison(seed = 11, load = 0.8)
            val chosen = comparison.run { costs, random -> ShortestChain(costs, random) }
            val least = comparison.run { costs, _ -> LeastQueue(costs) }
            val first = comparison.run { costs, _ -> FirstFit(costs) }
            println("seed 11: shortest-chain $chosen, least-queue $least, first-fit $first")
            expectThat(chosen.share).isGreaterThan(first.share).isGreaterThan(least.share * 0.99)
            expectThat(chosen.p95).isLessThan(least.p95).isLessThan(first.p95)
        }
    }
}

/** Expected time in ms including the congestion charge. */
private fun charge(stages: List<PlannedStage>): Double = stages.sumOf {
    val share = it.layers!!.size.toDouble() / it.runner.layers!!.size
    it.totalMillis + ShortestChain.DEFAULT_CONGESTION_WEIGHT * it.waitMillis * share
}

/** The least charge in ms of all chains without repeated runners, by exhaustive search. */
private fun leastCharge(costs: CostModel, fleet: ServiceFleet, request: RoutingRequest): Double {
    val ends = fleet.runners.flatMap { listOf(it.layers!!.from, it.layers!!.until) }.toSet()
    fun search(chain: List<Pair<Runner, LayerRange?>>, next: Int): Double {
        if (next == fleet.layers) return charge(costs.explain(chain, request))
        return fleet.runners
            .filter { r -> next in r.layers!!.from until r.layers!!.until }
            .filter { r -> chain.none { it.first == r } }
            .flatMap { r ->
                ends.filter { it > next && it <= r.layers!!.until }
                    .map { search(chain + (r to LayerRange(next, it)), it) }
            }.minOrNull() ?: Double.POSITIVE_INFINITY
    }
    return search(emptyList(), 0)
}
