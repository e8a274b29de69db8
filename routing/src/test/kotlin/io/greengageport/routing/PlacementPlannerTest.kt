package io.greengageport.routing

import io.greengageport.common.DataCentre
import io.greengageport.common.LayerRange
import io.greengageport.common.RunnerId
import io.greengageport.common.ServiceName
import io.greengageport.testkit.ManualClock
import kotlin.random.Random
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isTrue

class PlacementPlannerTest {
    private val clock = ManualClock()
    private val sheets = ModelDemand(service, 8, 100.0, bytesPerLayer = GIB)
    private val notes = ModelDemand(ServiceName("notes"), 8, 100.0, bytesPerLayer = GIB)

    private fun placeable(
        id: String,
        layers: LayerRange? = null,
        model: ModelDemand = sheets,
        centre: DataCentre = centres[0],
        rate: Double = 800.0
    ) = PlaceableRunner(
        RunnerId(id),
        centre,
        "kind",
        memoryBytes = 4 * GIB,
        layerTokensPerSecond = rate,
        current = layers?.let { Assignment(model.service, it) }
    )

    private fun planner(rules: PlacementRules = PlacementRules()) = PlacementPlanner(clock, rules)

    /** The runners after all orders of [plan] are done. */
    private fun applyPlan(plan: PlacementPlan, runners: List<PlaceableRunner>) = runners.map {
        val wanted = plan.desired[it.id]
        if (wanted == it.current) {
            it
        } else {
            it.copy(current = wanted, assignedAtMillis = clock.monotonicMillis())
        }
    }

    @Nested
    inner class Needs {
        /** Guards against gaps after a cold start, and against a plan that never settles. */
        @Test
        fun `assigns all layers of all models to an empty fleet and then settles`() {
            val random = Random(3)
            var runners = List(24) {
                val rate = listOf(800.0, 1_600.0).random(random)
                placeable("e%02d".format(it), centre = centres[it % 3], rate = rate)
            }
            repeat(10) {
                val plan = planner().plan(listOf(sheets, notes), runners)
                expectThat(plan.orders.size).isLessThan(5)
                runners = applyPlan(plan, runners)
                clock.advance(60_000)
            }
            expectThat(planner().plan(listOf(sheets, notes), runners).orders).isEmpty()
            for (model in listOf(sheets, notes)) {
                val held = runners.mapNotNull { r ->
                    r.current?.takeIf { it.service == model.service }?.layers?.let { r to it }
                }
                for (layer in 0 until model.layers) {
                    val holders = held.filter { layer in it.second.from until it.second.until }
                    expectThat(holders.map { it.first.dataCentre }.distinct().size)
                        .isGreaterThanOrEqualTo(2)
                    expectThat(holders.sumOf { it.first.tokensPerSecond(it.second) })
                        .isGreaterThanOrEqualTo(model.tokensPerSecond)
                }
            }
        }

        /** Guards against a gap that operators do not learn of. */
        @Test
        fun `reports the layers that no runner can take`() {
            val plan = planner().plan(listOf(sheets), listOf(placeable("a", LayerRange(0, 4))))
            expectThat(plan.orders).isEmpty()
            expectThat(plan.obstacles.first())
                .isEqualTo(PlacementObstacle.NoCapacity(service, LayerRange(4, 8)))
        }
    }

    @Nested
    inner class Damping {
        /** Guards against repeated moves caused by small changes of demand. */
        @Test
        fun `does not move a runner for a small imbalance`() {
            val runners = listOf(sheets, notes).flatMap { model ->
                List(4) {
                    val from = it % 2 * 4
                    placeable("${model.service}$it", LayerRange(from, from + 4), model)
                }
            }
            val orders = (90..110).flatMap {
                val demand = it * 3.4
                val models = listOf(
                    sheets.copy(tokensPerSecond = demand),
                    notes.copy(tokensPerSecond = 680 - demand)
                )
                planner().plan(models, runners).orders
            }
            expectThat(orders).isEmpty()
        }

        /** Guards against moving two runners that count as replacements of each other. */
        @Test
        fun `never moves the last serving holder of a layer`() {
            for (seed in 1..200) {
                val random = Random(seed)
                val runners = List(16) {
                    val model = listOf(sheets, notes).random(random)
                    val from = random.nextInt(5)
                    val held = LayerRange(from, from + 4).takeIf { random.nextInt(5) > 0 }
                    val version = listOf("", "v0").random(random)
                    placeable("e%02d".format(it), held, model, centres.random(random))
                        .let { r -> r.copy(current = r.current?.copy(version = version)) }
                }
                val models = listOf(sheets, notes)
                    .map { it.copy(tokensPerSecond = random.nextDouble(0.0, 2_000.0)) }
                val plan = planner(PlacementRules(maxConcurrentMoves = 8)).plan(models, runners)
                val stays = runners.filter { r -> plan.orders.none { it.runner == r.id } }
                val kept = models.all { model ->
                    (0 until model.layers).all { layer ->
                        !isHeld(runners, model, layer) || isHeld(stays, model, layer)
                    }
                }
                val usable = models.all { !isComplete(runners, it) || isComplete(stays, it) }
                expectThat(kept && usable).describedAs("seed $seed").isTrue()
            }
        }

        /** Whether all layers of [model] are held in the same version. */
        private fun isComplete(runners: List<PlaceableRunner>, model: ModelDemand) =
            runners.groupBy { it.current?.version }.values.any { version ->
                (0 until model.layers).all { isHeld(version, model, it) }
            }

        private fun isHeld(runners: List<PlaceableRunner>, model: ModelDemand, layer: Int) =
            runners.mapNotNull { it.current }.any {
                it.service == model.service && layer in it.layers.from until it.layers.until
            }

        /**
         * Guards against more concurrent loads than the limits allow, and against orders lost on
         * the way.
         */
        @Test
        fun `counts pending orders against the limits and repeats them`() {
            val pending = placeable("a").copy(pending = Assignment(service, LayerRange(0, 4)))
            val runners = listOf(pending, placeable("b"), placeable("c"))
            val byMoves = planner(PlacementRules(maxConcurrentMoves = 1))
            val byStore = planner(PlacementRules(weightBytesPerSecond = GIB / 30))
            expectThat(listOf(byMoves, byStore).map { it.plan(listOf(sheets), runners) }).isEqualTo(
                listOf(
                    PlacementObstacle.MovesExhausted(1),
                    PlacementObstacle.WeightStoreBusy(4 * GIB)
                ).map {
                    val wanted = checkNotNull(pending.pending)
                    PlacementPlan(
                        mapOf(pending.id to wanted),
                        listOf(EngineOrder(pending.id, wanted, PlacementReason.Pending, 4 * GIB)),
                        listOf(it)
                    )
                }
            )
        }
    }

    @Nested
    inner class Versions {
        /** Guards against a version update that makes a standby runner serve. */
        @Test
        fun `keeps the role of a runner that is updated`() {
            val held = Assignment(service, LayerRange(0, 4), "v1", RunnerRole.STANDBY)
            val model = sheets.copy(layers = 4, tokensPerSecond = 0.0, version = "v2")
            val serving = placeable("b", LayerRange(0, 4))
            val runners = listOf(
                placeable("a").copy(current = held),
                serving.copy(current = serving.current?.copy(version = "v2"))
            )
            val orders = planner().plan(listOf(model), runners).orders
            expectThat(orders.map { it.desired }).isEqualTo(listOf(held.copy(version = "v2")))
        }

        /** Guards against a roll-out during which no version is complete. */
        @Test
        fun `rolls out a version with one version complete at all times`() {
            var runners = List(6) {
                val from = it % 2 * 4
                placeable("e$it", LayerRange(from, from + 4), centre = centres[it % 3])
            }
            val wanted = sheets.copy(version = "v2")
            val rules = PlacementRules(maxConcurrentMoves = 1)
            repeat(6) {
                val plan = planner(rules).plan(listOf(wanted), runners)
                val moving = plan.orders.map { it.runner }
                val serving = runners.filter { it.id !in moving }.mapNotNull { it.current }
                val complete = listOf("", "v2").any { version ->
                    serving.filter { it.version == version }.map { it.layers.from }.toSet().size ==
                        2
                }
                expectThat(complete).isTrue()
                runners = applyPlan(plan, runners)
            }
            expectThat(runners.map { it.current?.version }.distinct()).isEqualTo(listOf("v2"))
        }

        /** Guards against a roll-out that is stuck because a newer one superseded it. */
        @Test
        fun `completes a roll-out from single runners of several versions`() {
            var runners = listOf("a" to "v1", "b" to "v2").map { (id, version) ->
                val p = placeable(id, LayerRange(0, 4))
                p.copy(current = p.current?.copy(version = version))
            }
            val model = sheets.copy(layers = 4, tokensPerSecond = 0.0, version = "v3")
            val rules = PlacementRules(maxConcurrentMoves = 1)
            repeat(2) { runners = applyPlan(planner(rules).plan(listOf(model), runners), runners) }
            expectThat(runners.map { it.current?.version }).isEqualTo(listOf("v3", "v3"))
        }
    }

    private companion object {
        const val GIB = 1L shl 30
    }
}
