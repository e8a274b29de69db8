package io.greengageport.entry

import io.greengageport.common.RankName
import io.greengageport.settings.Rank
import io.greengageport.settings.RankSettings
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class RetryReservesTest {
    private fun rank(name: String, priority: Int, share: Double) =
        Rank(RankName(name), RankSettings(priority, 1, 1, 1, retryReserveShare = share))

    /** Guards against urgent answers without a resume under load if no share is configured. */
    @Test
    fun `without configured shares, half is reserved for the most urgent rank`() {
        val shares = listOf(0.0 to 0.0, 0.0 to 0.3).map { (urgent, batch) ->
            retryReserves(listOf(rank("urgent", 0, urgent), rank("batch", 2, batch)))
        }
        expectThat(shares + retryReserves(emptyList())).isEqualTo(
            listOf(
                mapOf(RankName("urgent") to 0.5),
                mapOf(RankName("batch") to 0.3),
                emptyMap()
            )
        )
    }
}
