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
    private val ranks = listOf(RankPolicy(urgent, priority = 0), RankPolicy(batch, priority = 1))
    private val controller = AdmissionController(
        ManualClock(),
        FairQueue(QueueSettings(ranks)),
        OrganisationLimits({ null }, UsageReporter(InstanceId("entry-1"), { null })),
        Capacity(slots = 4),
        urgentExtraShare = 0.25
    )

    private fun request(id: Int, rank: RankName) =
        QueuedRequest(RequestId("$id"), rank, OrganisationName("small"), 10, 10_000)

    /** For each rank in turn, whether a request of it is admitted at once. */
    private fun admitted(ranks: List<RankName>): List<Boolean> = runBlocking {
        val calls = ranks.mapIndexed { i, rank ->
            async(start = CoroutineStart.UNDISPATCHED) { controller.admit(request(i, rank)) }
        }
        calls.map { it.isCompleted }.also { calls.forEach { it.cancel() } }
    }

    @Nested
    inner class FullSlots {
        /** Guards against urgent requests that wait for the end of long answers of lower ranks. */
        @Test
        fun `an urgent request runs in a quarter more slots and others wait`() {
            expectThat(admitted(List(5) { batch } + List(2) { urgent }))
                .isEqualTo(listOf(true, true, true, true, false, true, false))
        }
    }
}
