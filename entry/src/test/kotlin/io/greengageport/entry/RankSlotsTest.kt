package io.greengageport.entry

import io.greengageport.settings.RankSettings
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class RankSlotsTest {
    private fun rank(priority: Int, gapMillis: Int) = RankSettings(
        priority = priority,
        firstTokenMillis = 340,
        betweenTokensMillis = gapMillis,
        deadlineMillis = 10_000
    )

    /** Guards against idle engines under load if slots suit only the most urgent rank. */
    @Test
    fun `less urgent ranks may fill more slots, within limits`() {
        val ranks = listOf(rank(0, 40), rank(1, 60), rank(2, 250))
        val slots = RankSlots(ranks)
        expectThat(ranks.map { slots.shareOf(it) * slots.largestGapMillis })
            .isEqualTo(listOf(50.0, 60.0, 120.0))
        expectThat(RankSlots(emptyList()).largestGapMillis).isEqualTo(57.0)
    }
}
