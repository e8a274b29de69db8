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

/** Numbers of copies and further versions; the halves of the model are `[0,4)` and `[4,8)`. */
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

    /** [lower] and [upper] holders of the two halves. */
    private fun holders(lower: Int, upper: Int, version: String = "v1") =
        List(lower) { holder("a$it", 0, version) } + List(upper) { holder("b$it", 1, version) }

    private fun done(plan: PlacementPlan, runners: List<PlaceableRunner>) =
        runners.map { it.copy(current = plan.desired[it.id]) }

    /** Carries out plans until there is nothing to do; fails if that takes long. */
    private fun settled(model: ModelDemand, start: List<PlaceableRunner>): List<PlaceableRunner> {
        var runners = start
        repeat(MAX_ROUNDS) {
            val plan = planner.plan(listOf(model), runners)
            if (plan.orders.isEmpty()) return runners
            val staying = runners.filter { r -> plan.orders.none { it.runner == r.id } }
            val wasComplete = isComplete(runners)
            runners = done(plan, runners)
            expectThat(!wasComplete || isComplete(staying)).isTrue()
            clock.advance(2_000)
        }
        error("orders go on: ${planner.plan(listOf(model), runners).orders}")
    }

    private fun isComplete(runners: List<PlaceableRunner>) =
        runners.mapNotNull { it.current }.filter { it.role == RunnerRole.SERVING }
            .groupBy { it.version }.values
            .any { v ->
                (0 until 8).all { l -> v.any { l in it.layers.from until it.layers.until } }
            }

    /** Numbers of runners by version, or role, and half: `v1=2,3 standby=1,0`. */
    private fun summary(runners: List<PlaceableRunner>) = runners.mapNotNull { it.current }
        .groupBy { if (it.role == RunnerRole.STANDBY) "standby" else it.version }.toSortedMap()
        .entries.joinToString(" ") { (what, held) ->
            "$what=" + listOf(0, 4).joinToString(",") { from ->
                "${held.count { it.layers.from == from }}"
            }
        }

    private fun end(m: ModelDemand, start: List<PlaceableRunner>) = summary(settled(m, start))

    @Nested
    inner class Copies {
        /** Guards against a layer whose only holder takes the model down with it. */
        @Test
        fun `a layer with too few copies gets an idle runner, else one that can be spared`() {
            val two = model.copy(minCopies = 2)
            expectThat(
                listOf(
                    end(two, holders(2, 1) + holder("idle", null)),
                    end(two, holders(3, 1)),
                    end(two, holders(2, 1))
                )
            ).isEqualTo(listOf("v1=2,2", "v1=2,2", "v1=2,1"))
        }

        @Test
        fun `runners above the largest number stand by and return when one is lost`() {
            val two = model.copy(minCopies = 2, maxCopies = 2)
            val trimmed = settled(two, holders(3, 3))
            val serving = trimmed.first { it.current?.role == RunnerRole.SERVING }
            expectThat(listOf(summary(trimmed), end(two, trimmed - serving)))
                .isEqualTo(listOf("standby=1,1 v1=2,2", "standby=0,1 v1=2,2"))
        }

        @Test
        fun `a shortfall adds no copies above the largest number`() {
            val busy = model.copy(tokensPerSecond = 1_000.0, maxCopies = 1)
            expectThat(end(busy, holders(1, 1) + holder("idle", null))).isEqualTo("v1=1,1")
        }
    }

    @Nested
    inner class FurtherVersions {
        private val both = model.copy(minCopies = 2, furtherVersions = listOf("v2"))

        @Test
        fun `one whole chain is loaded if the default version keeps its copies`() {
            expectThat(
                listOf(
                    end(both, holders(3, 4)),
                    end(both, holders(3, 2)),
                    end(both, holders(2, 2) + listOf("c", "d").map { holder(it, null) })
                )
            ).isEqualTo(listOf("v1=2,3 v2=1,1", "v1=3,2", "v1=2,2 v2=1,1"))
        }

        /** Guards against a default version that stays short of runners for the sake of another. */
        @Test
        fun `its runners go to the default version when that lacks copies`() {
            val lost = settled(both, holders(3, 3)).let { all ->
                all - all.first { it.current?.version == "v1" }
            }
            expectThat(end(both, lost)).isEqualTo("v1=2,3")
        }

        /** Guards against a roll-out that unloads the version that is to stay. */
        @Test
        fun `the old version of a roll-out stays on one chain`() {
            val next = both.copy(version = "v2", furtherVersions = listOf("v1"))
            expectThat(end(next, holders(4, 4))).isEqualTo("v1=1,1 v2=3,3")
        }

        @Test
        fun `a version that is no longer listed gives its runners back`() {
            val plain = both.copy(furtherVersions = emptyList())
            expectThat(end(plain, settled(both, holders(3, 3)))).isEqualTo("v1=3,3")
        }
    }

    /** Guards against moves that undo each other, and against numbers out of their bounds. */
    @Test
    fun `random fleets come to rest with copies in their bounds`() {
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
            val end = settled(wanted, start)
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
