package io.greengageport.gateway.logging

import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.any
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan

/**
 * Guards against requests that are blocked by a stalled reader of the log, and against log floods.
 */
class DecisionLogTest {
    @Test
    fun `a blocked writer drops lines and does not block the caller`() {
        val stall = CountDownLatch(1)
        val log = DecisionLog(linesPerSecond = Int.MAX_VALUE) { stall.await() }
        val startedNanos = System.nanoTime()
        repeat(20_000) { log.record("request", "ended", "request" to it) }
        val millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos)
        expectThat(millis).isLessThan(2_000)
        expectThat(log.droppedLines).isGreaterThan(10_000)
        stall.countDown()
        log.close()
    }

    @Test
    fun `lines above the rate limit of a part are omitted and counted`() {
        val lines: MutableList<String> = ArrayList()
        val log = DecisionLog(linesPerSecond = 10) { synchronized(lines) { lines += it } }
        repeat(100) { log.record("attempt", "failed", "n" to it) }
        TimeUnit.MILLISECONDS.sleep(1_100)
        log.record("attempt", "failed", "n" to 100)
        log.close()
        expectThat(lines.size).isLessThan(25)
        expectThat(lines).any { contains("event=lines_omitted count=") }
    }

    @Test
    fun `values with spaces are quoted and null values are omitted`() {
        val lines: MutableList<String> = ArrayList()
        val log = DecisionLog { lines += it }
        log.record("config", "unreadable", "why" to "not \"JSON\"\n", "age" to null, "v" to 3)
        log.close()
        expectThat(
            lines.toList()
        ).isEqualTo(listOf("config: event=unreadable why=\"not 'JSON''\" v=3"))
    }
}
