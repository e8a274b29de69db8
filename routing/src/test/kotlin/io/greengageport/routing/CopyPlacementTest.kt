package io.greengageport.routing

import io.greengageport.common.DataCentre
import io.greengageport.common.LayerRange
import io.greengageport.common.RunnerId
import kotlinx.collections.immutable.persistentMapOf
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isTrue

/** Guards against copies with gaps, overfull cards and engines that are moved back and forth. */
class CopyPlacementTest {
    private val fast = Card("fast", 36_000.0, 3.0, 3.0)
    private val slow = Card("slow", 14_400.0, 15.0, 15.0)
    private val profile = engineProfile(fast, slow)
    private val placement = CopyPlacement(profile, tokenRoom = 25_000.0)

    private fun engine(name: String, centre: String, card: Card, layers: LayerRange? = null) =
        CardHolder(RunnerId(name), DataCentre(centre), card, layers)

    private fun coverage(ranges: Collection<LayerRange>) =
        IntArray(profile.layers) { l -> ranges.count { l in it.from until it.until } }

    @Nested
    inner class `A cold start` {
        private val holders = (0 until 5).map { engine("a-fast-$it", "a", fast) } +
            (0 until 7).map { engine("b-slow-$it", "b", slow) } +
            (0 until 7).map { engine("c-slow-$it", "c", slow) }
        private val plan = placement.plan(holders)

        @Test
        fun `covers each layer in a data centre of its own where the engines suffice`() {
            val inA = plan.filter { it.id.value.startsWith("a") }.map { it.layers }
            expectThat(coverage(inA).all { it >= 1 }).isTrue()
        }

        @Test
        fun `covers each layer twice with the engines of two small data centres`() {
            expectThat(coverage(plan.map { it.layers }).min()).isGreaterThanOrEqualTo(2)
        }

        @Test
        fun `leaves room for requests on each card`() {
            val cards = holders.associate { it.id to it.card }
            expectThat(plan).all {
                get { profile.tokenRoom(cards.getValue(id), layers.size) }
                    .isGreaterThanOrEqualTo(25_000.0)
            }
        }

        @Test
        fun `gives the next orderer the same plan`() {
            expectThat(placement.plan(holders.reversed())).isEqualTo(plan)
        }

        @Test
        fun `is settled once the orders are done`() {
            val layers = plan.associate { it.id to it.layers }
            expectThat(placement.plan(holders.map { it.copy(layers = layers[it.id]) })).isEmpty()
        }
    }

    @Nested
    inner class `The loss of an engine` {
        private val start = placement.plan((0 until 5).map { engine("a$it", "a", fast) })
            .associate { it.id.value to it.layers }
        private val holders = start.map { (id, layers) -> engine(id, "a", fast, layers) }

        @Test
        fun `gives its layers to the engine that comes back empty`() {
            val lost = holders[2]
            val plan = placement.plan(holders - lost + engine("new", "a", fast))
            val missing = checkNotNull(lost.layers)
            expectThat(plan.single().layers.contains(missing)).isTrue()
        }

        @Test
        fun `moves an engine whose layers have holders to spare`() {
            val doubled = holders + holders.map { it.copy(id = RunnerId("x" + it.id.value)) }
            val gap = checkNotNull(holders[1].layers)
            val plan = placement.plan(doubled.filter { it.layers != gap })
            expectThat(plan.map { it.reason }).isEqualTo(listOf(AssignmentReason.MOVE))
            expectThat((gap.from until gap.until).any { it in plan[0].layers.from..gap.until })
                .isTrue()
        }
    }
}

internal fun engineProfile(vararg cards: Card): EngineProfile = EngineProfile(
    slots = 134,
    layers = 80,
    layerMegabytes = 1_750.0,
    tokenBytes = 800_000.0,
    activationBytes = 40_000.0,
    stepMillis = 0.85,
    stepMillisPerRequest = 0.005,
    stepMillisPerThousandTokens = 0.007,
    promptTokensPerMilli = 196.0,
    tokensPerEvent = 2,
    pipeMegabits = 11_000.0,
    usualPromptTokens = 772,
    usualAnswerTokens = 174,
    cards = persistentMapOf<String, Card>().putAll(cards.associateBy { it.name })
)
