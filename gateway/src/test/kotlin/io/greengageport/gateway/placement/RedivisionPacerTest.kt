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
 * Guards against copies that serve no requests for seconds because they are redivided. In the
 * failure, engines of two data centres crash together and return, empty, after three seconds.
 */
class RedivisionPacerTest {
    private val clock = SteppedClock()
    private val pacer = RedivisionPacer(clock)
    private val pending = HashSet<DataCentre>()
    private val b = DataCentre("b")
    private val c = DataCentre("c")

    private fun order(id: String, reason: AssignmentReason) =
        LayerAssignment(RunnerId(id), LayerRange(0, 9), reason)

    private val redivisions = listOf("b1", "b2", "c1").map { order(it, AssignmentReason.REDIVIDE) }
    private val replacement = order("b3", AssignmentReason.REPLACE)

    private var hasEnoughCopies = true

    private fun admit(plan: List<LayerAssignment>) =
        pacer.admit(plan, hasEnoughCopies, { DataCentre(it.value.take(1)) }, { it in pending })
            .map { it.id.value }

    /**
     * Guards against refusing requests for seconds while the remaining copies carry all the load.
     */
    @Test
    fun `with few complete copies all others are redivided after 1,200 ms`() {
        hasEnoughCopies = false
        expectThat(admit(redivisions)).isEqualTo(emptyList())
        clock.nowMillis += 1_200
        expectThat(admit(redivisions)).isEqualTo(listOf("b1", "b2", "c1"))
    }

    @Test
    fun `engines that return within three seconds keep their copies`() {
        repeat(10) {
            expectThat(admit(redivisions)).isEqualTo(emptyList())
            clock.nowMillis += 290
        }
        // The engines have returned, so the plan replaces engines and no longer redivides.
        expectThat(admit(listOf(replacement))).isEqualTo(listOf("b3"))
        expectThat(admit(redivisions)).isEqualTo(emptyList())
    }

    /** Guards against redivision right after a term in which no plan was made. */
    @Test
    fun `the wait begins again with another term of the duty`() {
        admit(redivisions)
        clock.nowMillis += 3_000
        pacer.reset()
        expectThat(admit(redivisions)).isEqualTo(emptyList())
        clock.nowMillis += 3_000
        expectThat(admit(redivisions)).isEqualTo(listOf("b1", "b2"))
    }

    @Test
    fun `other orders are not delayed`() {
        expectThat(admit(redivisions + replacement)).isEqualTo(listOf("b3"))
    }

    @Nested
    inner class `After redivision has been the only option for three seconds` {
        private fun afterWait(): List<String> {
            admit(redivisions)
            clock.nowMillis += 3_000
            return admit(redivisions)
        }

        @Test
        fun `only the copies of one data centre are redivided`() {
            expectThat(afterWait()).isEqualTo(listOf("b1", "b2"))
        }

        @Test
        fun `the next data centre follows when the first has no pending orders`() {
            afterWait()
            pending += b
            val rest = redivisions.filter { it.id.value == "c1" }
            expectThat(admit(rest)).isEqualTo(emptyList())
            pending -= b
            expectThat(admit(rest)).isEqualTo(listOf("c1"))
            pending += c
            expectThat(admit(redivisions)).isEqualTo(emptyList())
        }
    }
}
