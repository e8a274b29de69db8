package io.greengageport.entry

import com.github.michaelbull.result.fold
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class CallerHeadersTest {
    private fun parseKey(key: String?, issuedAt: String?): String =
        CallerHeaders.parseCallKey(key, issuedAt)
            .fold({ "${it.value} ${it.issuedAtMillis}" }, { it.code })

    @Nested
    inner class CallKeys {
        @Test
        fun `issue time is taken from the header, or else from a version 7 UUID`() {
            val uuid = "017f22e2-79b0-7cc3-98c4-dc0c0c07398f"
            expectThat(
                listOf(
                    parseKey("k", "2026-01-01T00:00:00Z"),
                    parseKey(uuid, null),
                    parseKey(uuid, "2026-01-01T00:00:00Z")
                )
            ).isEqualTo(listOf("k 1767225600000", "$uuid 1645557742000", "$uuid 1767225600000"))
        }

        /** Guards against a second run of a call that is sent again without its key. */
        @Test
        fun `a call without a valid key or issue time is refused, as it could run twice`() {
            val v4 = "9f86d081-884c-4d65-9b0c-7c9c0f8b2a11"
            val results = listOf(
                parseKey(null, "2026-01-01T00:00:00Z"),
                parseKey("", "2026-01-01T00:00:00Z"),
                parseKey("k".repeat(129), "2026-01-01T00:00:00Z"),
                parseKey("k", null),
                parseKey("k", "yesterday"),
                parseKey(v4, null)
            )
            expectThat(results).isEqualTo(results.map { "idempotency_key_required" })
        }
    }

    @Nested
    inner class Targets {
        /**
         * Guards against a percent-encoded service name that changes the path, so that a
         * non-idempotent call is not recognised.
         */
        @Test
        fun `the path below the service is independent of the encoding of its name`() {
            val uris = listOf("parts-desk/orders/1?x=a/b", "parts%2Ddesk/orders/1?x=a/b")
            expectThat(uris.map { CallerHeaders.serviceTarget("/services/$it") })
                .isEqualTo(List(2) { "/orders/1?x=a/b" })
            expectThat(
                listOf("parts-desk", "parts-desk?x=1", "parts-desk/").map {
                    CallerHeaders.serviceTarget("/services/$it")
                }
            ).isEqualTo(listOf("/", "/?x=1", "/"))
        }
    }

    @Nested
    inner class Deadlines {
        @Test
        fun `deadlines from 1 ms to 1 hour are accepted`() {
            val given = listOf(null, "1", "3600000", "0", "3600001", "-5", "soon")
            expectThat(
                given.map { d ->
                    CallerHeaders.parseDeadlineMillis(d).fold({ "$it" }, { it.code })
                }
            ).isEqualTo(listOf("null", "1", "3600000") + List(4) { "invalid_request" })
        }
    }
}
