package io.greengageport.gateway.forward

import io.greengageport.common.RequestError
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isSameInstanceAs

/** Guards against a 401 or 404 for what a newer configuration, which peers have, allows. */
class OutdatedConfigurationTest {
    private val denials =
        listOf(RequestError.UnknownService("h.example/new/"), RequestError.Unauthenticated())

    @Test
    fun `an outdated configuration denies nothing for good`() {
        for (denial in denials) {
            val refusal = RequestRouter.refusalFor(denial, isOutdated = true)
            expectThat(refusal.status).isEqualTo(503)
            expectThat(refusal.retryAfterMillis).isNotNull()
        }
    }

    @Test
    fun `the newest known configuration denies, and other errors stay as they are`() {
        for (denial in denials) {
            expectThat(RequestRouter.refusalFor(denial, isOutdated = false))
                .isSameInstanceAs(denial)
        }
        val invalid = RequestError.Invalid("the request has no attempt id")
        expectThat(RequestRouter.refusalFor(invalid, isOutdated = true)).isSameInstanceAs(invalid)
    }
}
