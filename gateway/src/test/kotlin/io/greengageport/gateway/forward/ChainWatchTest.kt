package io.greengageport.gateway.forward

import io.greengageport.common.RunnerId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards against streams that wait for a stage that another request found unreachable. */
class ChainWatchTest {
    private val watch = ChainWatch()
    private val a = RunnerId("a")
    private val b = RunnerId("b")
    private val c = RunnerId("c")
    private val notified = mutableListOf<String>()

    private fun attempt(name: String) = WaitingAttempt { notified += name }

    @Test
    fun `only attempts through the unreachable stage are notified`() {
        watch.add(listOf(a, b), attempt("ab"))
        watch.add(listOf(b, c), attempt("bc"))
        watch.add(listOf(a, c), attempt("ac"))
        watch.onUnreachable(b)
        expectThat(notified.sorted()).isEqualTo(listOf("ab", "bc"))
    }

    @Test
    fun `an attempt that was removed is not notified`() {
        val ended = attempt("ended")
        watch.add(listOf(a, b), ended)
        watch.remove(listOf(a, b), ended)
        watch.onUnreachable(a)
        expectThat(notified).isEqualTo(mutableListOf())
    }

    /** Guards against a concurrent modification if attempts end or start while notified. */
    @Test
    fun `attempts may be removed and added during a notification`() {
        val second = attempt("second")
        lateinit var first: WaitingAttempt
        first = WaitingAttempt {
            watch.remove(listOf(a), first)
            watch.add(listOf(a), second)
        }
        watch.add(listOf(a), first)
        watch.onUnreachable(a)
        watch.onUnreachable(a)
        expectThat(notified).isEqualTo(mutableListOf("second"))
    }
}
