package io.greengageport.gateway.forward

import io.greengageport.common.RunnerId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards against streams that wait for a dead stage which another request has already found. */
class ChainWatchTest {
    private val watch = ChainWatch()
    private val a = RunnerId("a")
    private val b = RunnerId("b")
    private val c = RunnerId("c")
    private val told = mutableListOf<String>()

    private fun attempt(name: String) = WaitingAttempt { told += name }

    @Test
    fun `all attempts through the stage are told, and no others`() {
        watch.add(listOf(a, b), attempt("ab"))
        watch.add(listOf(b, c), attempt("bc"))
        watch.add(listOf(a, c), attempt("ac"))
        watch.onUnreachable(b)
        expectThat(told.sorted()).isEqualTo(listOf("ab", "bc"))
    }

    @Test
    fun `an attempt that has ended is told nothing`() {
        val ended = attempt("ended")
        watch.add(listOf(a, b), ended)
        watch.remove(listOf(a, b), ended)
        watch.onUnreachable(a)
        expectThat(told).isEqualTo(mutableListOf())
    }

    /** Guards against an iteration that breaks when attempts end or start while it tells them. */
    @Test
    fun `an attempt may end and start anew while it is told`() {
        val second = attempt("second")
        lateinit var first: WaitingAttempt
        first = WaitingAttempt {
            watch.remove(listOf(a), first)
            watch.add(listOf(a), second)
        }
        watch.add(listOf(a), first)
        watch.onUnreachable(a)
        watch.onUnreachable(a)
        expectThat(told).isEqualTo(mutableListOf("second"))
    }
}
