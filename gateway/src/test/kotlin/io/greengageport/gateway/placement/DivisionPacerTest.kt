package io.greengageport.gateway.placement

import io.greengageport.common.DataCentre
import io.greengageport.common.LayerRange
import io.greengageport.common.RunnerId
import io.greengageport.gateway.SteppedClock
import io.greengageport.routing.AssignmentReason
import io.greengageport.routing.LayerAssignment
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/**
 * Guards against copies that serve nobody for seconds because they are divided anew. The pattern:
 * engines of two data centres crash together and are back, empty, after three seconds.
 */
class DivisionPacerTest {
    private val clock = SteppedClock()
    private val pacer = DivisionPacer(clock)
    private val open = HashSet<DataCentre>()
    private val b = DataCentre("b")
    private val c = DataCentre("c")

    private fun order(id: String, reason: AssignmentReason) =
        LayerAssignment(RunnerId(id), LayerRange(0, 9), reason)

    private val divisions = listOf("b1", "b2", "c1").map { order(it, AssignmentReason.REDIVIDE) }
    private val replacement = order("b3", AssignmentReason.REPLACE)

    private var isServed = true

    private fun paced(plan: List<LayerAssignment>) =
        pacer.paced(plan, isServed, { DataCentre(it.value.take(1)) }, { it in open })
            .map { it.id.value }

    /** Guards against refusals for seconds while the copies that are left carry all the load. */
    @Test
    fun `Where few copies are whole, all others are divided once losses have settled`() {
        isServed = false
        expectThat(paced(divisions)).isEqualTo(emptyList())
        clock.nowMillis += 1_200
        expectThat(paced(divisions)).isEqualTo(listOf("b1", "b2", "c1"))
    }

    @Test
    fun `Engines that are back after three seconds keep their copies whole`() {
        repeat(10) {
            expectThat(paced(divisions)).isEqualTo(emptyList())
            clock.nowMillis += 290
        }
        // The engines are back, so the plan replaces and no longer divides.
        expectThat(paced(listOf(replacement))).isEqualTo(listOf("b3"))
        expectThat(paced(divisions)).isEqualTo(emptyList())
    }

    @Test
    fun `Other orders are not held back`() {
        expectThat(paced(divisions + replacement)).isEqualTo(listOf("b3"))
    }

    @Nested
    inner class `Once dividing has been the only way for three seconds` {
        private fun afterWait(): List<String> {
            paced(divisions)
            clock.nowMillis += 3_000
            return paced(divisions)
        }

        @Test
        fun `copies of one data centre are divided, the others stay as they are`() {
            expectThat(afterWait()).isEqualTo(listOf("b1", "b2"))
        }

        @Test
        fun `those of the next follow when the first have carried out their orders`() {
            afterWait()
            open += b
            val rest = divisions.filter { it.id.value == "c1" }
            expectThat(paced(rest)).isEqualTo(emptyList())
            open -= b
            expectThat(paced(rest)).isEqualTo(listOf("c1"))
            open += c
            expectThat(paced(divisions)).isEqualTo(emptyList())
        }
    }
}
