package io.greengageport.routing

import io.greengageport.common.DataCentre
import io.greengageport.common.LayerRange
import io.greengageport.common.RequestId
import io.greengageport.common.RunnerId
import io.greengageport.common.ServiceName
import io.greengageport.testkit.ManualClock
import kotlin.random.Random
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan

/**
 * Guards against chains that cross data centres without need, fill one copy while another is empty
 * or use an incomplete copy. The fixture has three data centres with a copy each.
 */
class BatchingCostsTest {
    private val accelerator = Accelerator("accelerator", 36_000.0, 3.0, 3.0)
    private val profile = engineProfile(accelerator)
    private val service = ServiceName("model")
    private val fleet = Fleet().apply { setLayers(service, 80) }
    private val load = HashMap<RunnerId, InFlight>()
    private val clock = ManualClock()
    private val costs = BatchingCosts(
        profile = profile,
        links = LinkEstimator(clock),
        inFlight = { load[it] ?: InFlight.NONE }
    )
    private val planner = ShortestChain(costs, Random(1))

    init {
        for (centre in listOf("a", "b", "c")) {
            for (i in 0 until 8) put(centre, i)
        }
    }

    private fun put(centre: String, index: Int) = fleet.put(
        Runner(
            id = RunnerId("$centre$index"),
            service = service,
            dataCentre = DataCentre(centre),
            layers = LayerRange(10 * index, 10 * index + 10),
            accelerator = accelerator
        )
    )

    private fun chain(from: String): List<String> = planner.plan(
        fleet.service(service),
        RoutingRequest(
            id = RequestId("r"),
            service = service,
            dataCentre = DataCentre(from),
            promptTokens = 770,
            outputTokens = 170
        )
    ).value.stages.map { it.id.value }

    private fun centres(from: String) = chain(from).map { it.take(1) }.distinct()

    @Nested
    inner class `A chain` {
        /** Guards against transfers over the link while the local copy has capacity. */
        @Test
        fun `stays in the data centre of the instance`() {
            expectThat(centres("b")).isEqualTo(listOf("b"))
        }

        /** Guards against chains that cross data centres to use the rest of an incomplete copy. */
        @Test
        fun `moves entirely to another data centre if the local copy is incomplete`() {
            fleet.remove(RunnerId("b3"))
            expectThat(centres("b").size).isEqualTo(1)
            expectThat(centres("b")).all { isGreaterThan("") }
            expectThat("b" in centres("b")).isEqualTo(false)
        }

        /**
         * Guards against refused requests if no data centre holds all layers, and against needless
         * transfers.
         */
        @Test
        fun `crosses data centres only if none holds all layers`() {
            listOf("a1", "b3", "c5").forEach { fleet.remove(RunnerId(it)) }
            val stages = chain("a")
            val crossings = stages.zipWithNext().count { (x, y) -> x[0] != y[0] }
            expectThat(crossings).isEqualTo(1)
        }
    }

    @Nested
    inner class `A burst at one data centre` {
        /** Guards against overfilled memory in one copy while others are empty. */
        @Test
        fun `is distributed over all copies before one is full`() {
            val sent = HashMap<String, Int>()
            repeat(400) {
                val stages = chain("a")
                sent.merge(stages.first().take(1), 1, Int::plus)
                for (s in stages) {
                    val old = load[RunnerId(s)] ?: InFlight.NONE
                    load[RunnerId(s)] =
                        InFlight(old.requests + 1, old.tokenLayers + 940L * 10)
                }
            }
            expectThat(sent.values.max()).isLessThan(250)
            expectThat(fleet.service(service).runners).all {
                get { costs.usedMemoryShare(this) }.isLessThan(1.3)
            }
        }
    }

    /** Guards against refused requests while two incomplete copies could serve them together. */
    @Test
    fun `incomplete copies that complement each other add capacity`() {
        val capacity = ModelCapacity(fleet)
        fleet.remove(RunnerId("c5"))
        val oneIncomplete = capacity.requests(service, profile)
        // The layers missing in b are held in c, and vice versa.
        fleet.remove(RunnerId("b3"))
        val bothIncomplete = capacity.requests(service, profile)
        fleet.service(service).runners.map { it.id }.filter { it.value[0] != 'a' }
            .forEach { fleet.remove(it) }
        val alone = capacity.requests(service, profile)
        expectThat(oneIncomplete).isGreaterThan(alone)
        expectThat(bothIncomplete).isGreaterThan(alone)
    }

    /**
     * Guards against counting an incomplete copy as capacity, and against a capacity of 0 although
     * incomplete copies complement each other.
     */
    @Test
    fun `the capacity of a model is that of its complete copies`() {
        val capacity = ModelCapacity(fleet)
        val whole = capacity.requests(service, profile)
        fleet.remove(RunnerId("c5"))
        expectThat(capacity.requests(service, profile)).isLessThan(0.7 * whole)
        listOf("a1", "b3").forEach { fleet.remove(RunnerId(it)) }
        expectThat(capacity.requests(service, profile)).isGreaterThan(0.0)
    }
}
