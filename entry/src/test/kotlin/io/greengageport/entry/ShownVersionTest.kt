package io.greengageport.entry

import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards against an author who is shown the state before the change that was just accepted. */
class ShownVersionTest {
    @Test
    fun `an answer waits until the instance shows the accepted version`() {
        val versions = ArrayDeque(listOf(4L, 4L, 6L, 7L))
        var last = 0L
        val isShown = runBlocking { awaitShown(7) { versions.removeFirst().also { last = it } } }
        expectThat(isShown to last).isEqualTo(true to 7L)
    }

    @Test
    fun `an answer does not wait for good`() {
        expectThat(runBlocking { awaitShown(7) { 6L } }).isEqualTo(false)
    }
}
