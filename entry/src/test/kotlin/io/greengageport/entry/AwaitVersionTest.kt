package io.greengageport.entry

import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards against authors who read the state before a change that was just accepted. */
class AwaitVersionTest {
    @Test
    fun `waits until the instance shows the accepted version`() {
        val versions = ArrayDeque(listOf(4L, 4L, 6L, 7L))
        var last = 0L
        val isShown = runBlocking { awaitVersion(7) { versions.removeFirst().also { last = it } } }
        expectThat(isShown to last).isEqualTo(true to 7L)
    }

    @Test
    fun `returns false if the accepted version is not shown in time`() {
        expectThat(runBlocking { awaitVersion(7) { 6L } }).isEqualTo(false)
    }
}
