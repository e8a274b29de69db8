package io.greengageport.cli

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards against missing lines of a request and lines of other requests in the result. */
class RequestLogLinesTest {
    private val first = """
        2026-12-04T08:00:01.200 INFO attempt: event=failed request=7f end=closed
        2026-12-04T08:00:01.300 INFO attempt: event=failed request=7f0 end=closed
    """.trimIndent()
    private val second = """
        entry-2 2026-12-04T08:00:01.250 INFO route: event=chosen request=7f expected_ms=90
        entry-2 2026-12-04T08:00:01.100 INFO admission: event=admitted request=7f waited_ms=4
        no time here request=7f
    """.trimIndent()

    @Test
    fun `lines of several instances are sorted by time`() {
        val log = RequestLogLines("7f")
        log.read(first.reader().buffered())
        log.read(second.reader().buffered())
        expectThat(log.sorted().map { it.substringBefore(" request").substringAfterLast('=') })
            .isEqualTo(listOf("admitted", "failed", "chosen", "no time here"))
    }
}
