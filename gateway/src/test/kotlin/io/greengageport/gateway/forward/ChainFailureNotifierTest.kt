package io.greengageport.gateway.forward

import io.greengageport.common.RunnerId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards against streams that wait for a stage that another request found unreachable. */
class ChainFailureNotifierTest {
    private val notifier = ChainFailureNotifier()
    private val a = RunnerId("a")
    private val b = RunnerId("b")
    private val c = RunnerId("c")
    private val notified = mutableListOf<String>()

    private fun attempt(name: String) = WaitingAttempt { notified += name }

    @Test
    fun `only attempts through the unreachable stage are notified`() {
        notifier.add(listOf(a, b), attempt("ab"))
        notifier.add(listOf(b, c), attempt("bc"))
        notifier.add(listOf(a, c), attempt("ac"))
        notifier.notifyUnreachable(b)
        expectThat(notified.sorted()).isEqualTo(listOf("ab", "bc"))
    }

    @Test
    fun `an attempt that was removed is not notified`() {
        val ended = attempt("ended")
        notifier.add(listOf(a, b), ended)
        notifier.remove(listOf(a, b), ended)
        notifier.notifyUnreachable(a)
        expectThat(notified).isEqualTo(mutableListOf())
    }

    /** Guards against a failing iteration when attempts end or start in a notification. */
    @Test
    fun `attempts may be removed and added during a notification`() {
        val second = attempt("second")
        lateinit var first: WaitingAttempt
        first = WaitingAttempt {
            notifier.remove(listOf(a), first)
            notifier.add(listOf(a), second)
        }
        notifier.add(listOf(a), first)
        notifier.notifyUnreachable(a)
        notifier.notifyUnreachable(a)
        expectThat(notified).isEqualTo(mutableListOf("second"))
    }
}
