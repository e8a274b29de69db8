package io.greengageport.entry

import com.github.michaelbull.result.fold
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class CallerHeadersTest {
    private fun key(key: String?, issuedAt: String?): String =
        CallerHeaders.callKey(key, issuedAt).fold({ "${it.value} ${it.issuedAt}" }, { it.code })

    @Nested
    inner class CallKeys {
        @Test
        fun `the issue time comes from the header, or else from a version 7 UUID`() {
            val uuid = "017f22e2-79b0-7cc3-98c4-dc0c0c07398f"
            expectThat(
                listOf(
                    key("k", "2026-01-01T00:00:00Z"),
                    key(uuid, null),
                    key(uuid, "2026-01-01T00:00:00Z")
                )
            ).isEqualTo(listOf("k 1767225600000", "$uuid 1645557742000", "$uuid 1767225600000"))
        }

        @Test
        fun `a call without key or issue time is refused, so that it cannot run twice later`() {
            val v4 = "9f86d081-884c-4d65-9b0c-7c9c0f8b2a11"
            val bad = listOf(
                key(null, "2026-01-01T00:00:00Z"),
                key("", "2026-01-01T00:00:00Z"),
                key("k".repeat(129), "2026-01-01T00:00:00Z"),
                key("k", null),
                key("k", "yesterday"),
                key(v4, null)
            )
            expectThat(bad).isEqualTo(bad.map { "idempotency_key_required" })
        }
    }

    @Nested
    inner class Targets {
        /** Guards against a non-idempotent path that goes unnoticed behind an escaped name. */
        @Test
        fun `the path below the service does not depend on how its name is written`() {
            val uris = listOf("parts-desk/orders/1?x=a/b", "parts%2Ddesk/orders/1?x=a/b")
            expectThat(uris.map { CallerHeaders.targetOf("/services/$it") })
                .isEqualTo(List(2) { "/orders/1?x=a/b" })
            expectThat(
                listOf("parts-desk", "parts-desk?x=1", "parts-desk/").map {
                    CallerHeaders.targetOf("/services/$it")
                }
            ).isEqualTo(listOf("/", "/?x=1", "/"))
        }
    }

    @Nested
    inner class Deadlines {
        @Test
        fun `a deadline is a number of milliseconds up to an hour`() {
            val given = listOf(null, "1", "3600000", "0", "3600001", "-5", "soon")
            expectThat(given.map { d -> CallerHeaders.deadline(d).fold({ "$it" }, { it.code }) })
                .isEqualTo(listOf("null", "1", "3600000") + List(4) { "invalid_request" })
        }
    }
}
