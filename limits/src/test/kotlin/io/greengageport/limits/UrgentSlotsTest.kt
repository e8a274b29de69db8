package io.greengageport.limits

import io.greengageport.common.InstanceId
import io.greengageport.common.OrganisationName
import io.greengageport.common.RankName
import io.greengageport.common.RequestId
import io.greengageport.testkit.ManualClock
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.async
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class UrgentSlotsTest {
    private val urgent = RankName("urgent")
    private val batch = RankName("batch")
    private val ranks = listOf(
        RankPolicy(urgent, priority = 0, slotShare = 0.5),
        RankPolicy(batch, priority = 1)
    )

    private fun controller(queue: RequestQueue = FairQueue(QueueSettings(ranks))) =
        AdmissionController(
            ManualClock(),
            queue,
            OrganisationLimits({ null }, UsageReporter(InstanceId("entry-1"), { null })),
            Capacity(slots = 4)
        )

    private fun request(id: Int, rank: RankName) =
        QueuedRequest(RequestId("$id"), rank, OrganisationName("small"), 10, 10_000)

    /** For each rank in turn, whether a request of it is admitted at once. */
    private fun admitted(
        ranks: List<RankName>,
        controller: AdmissionController = controller()
    ): List<Boolean> = runBlocking {
        val calls = ranks.mapIndexed { i, rank ->
            async(start = CoroutineStart.UNDISPATCHED) { controller.admit(request(i, rank)) }
        }
        calls.map { it.isCompleted }.also { calls.forEach { it.cancel() } }
    }

    @Nested
    inner class FullSlots {
        /** Guards against urgent requests that wait for the end of long answers of lower ranks. */
        @Test
        fun `urgent requests run in their own part and others wait`() {
            expectThat(admitted(List(5) { batch } + List(3) { urgent }))
                .isEqualTo(listOf(true, true, true, true, false, true, true, false))
        }

        /** Guards against more requests than the slots when the urgent ones come first. */
        @Test
        fun `lower ranks run in what more urgent ones left`() {
            expectThat(admitted(List(3) { urgent } + List(3) { batch }))
                .isEqualTo(listOf(true, true, false, true, true, false))
        }

        /** Guards against a baseline that fills the slots that only an order of ranks permits. */
        @Test
        fun `a queue without ranks keeps to the smallest part`() {
            val fifo = controller(FifoQueue(QueueSettings(ranks)))
            expectThat(admitted(listOf(batch, urgent, urgent), fifo))
                .isEqualTo(listOf(true, true, false))
        }
    }
}
