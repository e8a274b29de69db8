package io.greengageport.entry

import io.greengageport.common.OrganisationName
import io.greengageport.common.RankName
import io.greengageport.common.RequestId
import io.greengageport.common.ServiceName
import io.greengageport.settings.Organisation
import io.greengageport.settings.OrganisationSettings
import io.greengageport.settings.Rank
import io.greengageport.settings.RankSettings
import io.greengageport.settings.Service
import io.greengageport.settings.ServiceSettings
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class RequestContextTest {
    private fun latestStart(priority: Int, hasOwnDeadline: Boolean) = RequestContext(
        id = RequestId("request-1"),
        organisation = Organisation(
            OrganisationName("small"),
            "team",
            OrganisationSettings(keyHashes = emptyList())
        ),
        rank = Rank(RankName("rank"), RankSettings(priority, 1_000, 57, 30_000)),
        service = Service(ServiceName("model"), "team", ServiceSettings()),
        arrivedAt = 5_000,
        deadlineAt = 35_000,
        hasOwnDeadline = hasOwnDeadline
    ).latestStart(serveMillis = 2_000)

    /** Guards against late urgent starts, and lower ranks that floods of others keep from service. */
    @Test
    fun `only urgent requests without a deadline of their own have to start by their target`() {
        val starts = listOf(0 to false, 0 to true, 1 to false, 1 to true)
            .map { (priority, hasOwn) -> latestStart(priority, hasOwn) }
        expectThat(starts).isEqualTo(listOf(5_800L, 33_000L, 33_000L, 33_000L))
    }
}
