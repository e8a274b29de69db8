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
        RankPolicy(urgent, priority = 0, maxSlotShare = 0.5),
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

    /** Sends one request of each rank in turn; returns which are admitted immediately. */
    private fun admittedImmediately(
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
        /** Fails if urgent requests wait for long answers of lower ranks to end. */
        @Test
        fun `urgent requests use their maximum slot share while lower ranks fill all slots`() {
            expectThat(admittedImmediately(List(5) { batch } + List(3) { urgent }))
                .isEqualTo(listOf(true, true, true, true, false, true, true, false))
        }

        /** Fails if lower ranks exceed the slots because urgent requests came first. */
        @Test
        fun `lower ranks use the slots that urgent ranks leave free`() {
            expectThat(admittedImmediately(List(3) { urgent } + List(3) { batch }))
                .isEqualTo(listOf(true, true, false, true, true, false))
        }

        /** Fails if the FIFO baseline fills slots beyond the smallest maximum slot share. */
        @Test
        fun `a queue without ranks is limited to the smallest maximum slot share`() {
            val fifo = controller(FifoQueue(QueueSettings(ranks)))
            expectThat(admittedImmediately(listOf(batch, urgent, urgent), fifo))
                .isEqualTo(listOf(true, true, false))
        }
    }
}
