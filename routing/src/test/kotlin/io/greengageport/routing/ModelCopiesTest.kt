package io.greengageport.routing

import io.greengageport.common.LayerRange
import io.greengageport.common.RunnerId
import io.greengageport.testkit.ManualClock
import kotlin.random.Random
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isTrue

/** Tests copy counts and further versions; the model consists of `[0,4)` and `[4,8)`. */
class ModelCopiesTest {
    private val clock = ManualClock()
    private val planner = PlacementPlanner(clock)
    private val model =
        ModelDemand(service, 8, tokensPerSecond = 0.0, bytesPerLayer = 1, version = "v1")

    private fun holder(id: String, half: Int?, version: String = "v1") = PlaceableRunner(
        RunnerId(id),
        centres[0],
        "kind",
        memoryBytes = 4,
        layerTokensPerSecond = 100.0,
        current = half?.let { Assignment(service, LayerRange(it * 4, it * 4 + 4), version) }
    )

    /** Returns [lower] holders of the first half and [upper] holders of the second. */
    private fun holders(lower: Int, upper: Int, version: String = "v1") =
        List(lower) { holder("a$it", 0, version) } + List(upper) { holder("b$it", 1, version) }

    private fun applyPlan(plan: PlacementPlan, runners: List<PlaceableRunner>) =
        runners.map { it.copy(current = plan.desired[it.id]) }

    /** Applies plans until there are no orders; fails after [MAX_ROUNDS] plans. */
    private fun settle(model: ModelDemand, start: List<PlaceableRunner>): List<PlaceableRunner> {
        var runners = start
        repeat(MAX_ROUNDS) {
            val plan = planner.plan(listOf(model), runners)
            if (plan.orders.isEmpty()) return runners
            val staying = runners.filter { r -> plan.orders.none { it.runner == r.id } }
            val wasComplete = isComplete(runners)
            runners = applyPlan(plan, runners)
            expectThat(!wasComplete || isComplete(staying)).isTrue()
            clock.advance(2_000)
        }
        error("the planner does not settle: ${planner.plan(listOf(model), runners).orders}")
    }

    private fun isComplete(runners: List<PlaceableRunner>) =
        runners.mapNotNull { it.current }.filter { it.role == RunnerRole.SERVING }
            .groupBy { it.version }.values
            .any { v ->
                (0 until 8).all { l -> v.any { l in it.layers.from until it.layers.until } }
            }

    /** Numbers of runners per half, by version or standby role: `standby=1,0 v1=2,3`. */
    private fun summary(runners: List<PlaceableRunner>) = runners.mapNotNull { it.current }
        .groupBy { if (it.role == RunnerRole.STANDBY) "standby" else it.version }.toSortedMap()
        .entries.joinToString(" ") { (what, held) ->
            "$what=" + listOf(0, 4).joinToString(",") { from ->
                "${held.count { it.layers.from == from }}"
            }
        }

    private fun endState(m: ModelDemand, start: List<PlaceableRunner>) = summary(settle(m, start))

    @Nested
    inner class Copies {
        /** Guards against a single holder whose loss makes the model unavailable. */
        @Test
        fun `a layer with too few copies gets an idle or else a spare runner`() {
            val two = model.copy(minCopies = 2)
            expectThat(
                listOf(
                    endState(two, holders(2, 1) + holder("idle", null)),
                    endState(two, holders(3, 1)),
                    endState(two, holders(2, 1))
                )
            ).isEqualTo(listOf("v1=2,2", "v1=2,2", "v1=2,1"))
        }

        /**
         * Guards against surplus copies that drop their weights, or that do not replace a lost
         * runner.
         */
        @Test
        fun `runners above the maximum become standby and return if one is lost`() {
            val two = model.copy(minCopies = 2, maxCopies = 2)
            val trimmed = settle(two, holders(3, 3))
            val serving = trimmed.first { it.current?.role == RunnerRole.SERVING }
            expectThat(listOf(summary(trimmed), endState(two, trimmed - serving)))
                .isEqualTo(listOf("standby=1,1 v1=2,2", "standby=0,1 v1=2,2"))
        }

        /** Guards against a maximum that is ignored under load. */
        @Test
        fun `a shortfall adds no copies above the maximum`() {
            val busy = model.copy(tokensPerSecond = 1_000.0, maxCopies = 1)
            expectThat(endState(busy, holders(1, 1) + holder("idle", null))).isEqualTo("v1=1,1")
        }
    }

    @Nested
    inner class FurtherVersions {
        private val both = model.copy(minCopies = 2, furtherVersions = listOf("v2"))

        /**
         * Guards against parts of a further version that form no chain, or that cost the default
         * version its copies.
         */
        @Test
        fun `one complete chain is loaded if the default version keeps its copies`() {
            expectThat(
                listOf(
                    endState(both, holders(3, 4)),
                    endState(both, holders(3, 2)),
                    endState(both, holders(2, 2) + listOf("c", "d").map { holder(it, null) })
                )
            ).isEqualTo(listOf("v1=2,3 v2=1,1", "v1=3,2", "v1=2,2 v2=1,1"))
        }

        /** Guards against a default version that lacks runners because of a further version. */
        @Test
        fun `their runners return to a default version that lacks copies`() {
            val lost = settle(both, holders(3, 3)).let { all ->
                all - all.first { it.current?.version == "v1" }
            }
            expectThat(endState(both, lost)).isEqualTo("v1=2,3")
        }

        /** Guards against a roll-out that unloads a version that is still listed. */
        @Test
        fun `the old version of a roll-out keeps one chain`() {
            val next = both.copy(version = "v2", furtherVersions = listOf("v1"))
            expectThat(endState(next, holders(4, 4))).isEqualTo("v1=1,1 v2=3,3")
        }

        /** Guards against runners that stay reserved for a version that is not wanted any more. */
        @Test
        fun `a version that is no longer listed releases its runners`() {
            val plain = both.copy(furtherVersions = emptyList())
            expectThat(endState(plain, settle(both, holders(3, 3)))).isEqualTo("v1=3,3")
        }
    }

    /** Guards against moves that undo each other, and against too many copies. */
    @Test
    fun `random fleets settle within the maximum number of copies`() {
        for (seed in 1..300) {
            val random = Random(seed)
            val start = List(random.nextInt(2, 14)) {
                val half = random.nextInt(2).takeIf { random.nextInt(6) > 0 }
                holder("e%02d".format(it), half, listOf("v1", "v2", "v3").random(random))
                    .copy(dataCentre = centres.random(random))
            }
            val least = random.nextInt(1, 4)
            val wanted = model.copy(
                tokensPerSecond = random.nextDouble(0.0, 200.0),
                minCopies = least,
                maxCopies = random.nextInt(least, 5),
                furtherVersions = listOf("v2").filter { random.nextBoolean() }
            )
            val end = settle(wanted, start)
            val copies = listOf(0, 4).map { from ->
                end.count {
                    val a = it.current
                    a?.role == RunnerRole.SERVING && a.version == "v1" && a.layers.from == from
                }
            }
            expectThat(copies.max()).describedAs("seed $seed").isLessThanOrEqualTo(wanted.maxCopies)
        }
    }

    private companion object {
        const val MAX_ROUNDS = 30
    }
}
