package io.greengageport.ledger

import io.greengageport.common.Clock
import io.greengageport.testkit.ManualClock
import java.util.PriorityQueue
import kotlin.coroutines.CoroutineContext
import kotlin.random.Random
import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Delay
import kotlinx.coroutines.DisposableHandle
import kotlinx.coroutines.InternalCoroutinesApi
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async

/** Single-threaded virtual time; [random] orders the tasks that are due at the same millisecond. */
internal class VirtualTime(
    private val random: Random,
    private val clock: ManualClock = ManualClock()
) : Clock by clock {
    private class Task(val at: Long, val tie: Int, val run: () -> Unit)

    private val tasks = PriorityQueue(compareBy<Task>({ it.at }, { it.tie }))

    fun at(millis: Long, run: () -> Unit): DisposableHandle {
        val t = Task(millis, random.nextInt(), run)
        tasks += t
        return DisposableHandle { tasks.remove(t) }
    }

    fun after(millis: Long, run: () -> Unit) = at(monotonicMillis() + millis, run)

    fun advance(millis: Long) {
        val until = monotonicMillis() + millis
        while (tasks.isNotEmpty() && tasks.peek().at <= until) {
            val t = tasks.poll()
            clock.advance((t.at - monotonicMillis()).coerceAtLeast(0))
            t.run()
        }
        clock.advance(until - monotonicMillis())
    }

    /** Runs [block] on a lane of its own until it ends, for at most [limit] virtual milliseconds. */
    fun <T> run(limit: Long = 120_000, block: suspend CoroutineScope.() -> T): T {
        val d = Lane(this).scope.async(block = block)
        val until = monotonicMillis() + limit
        while (!d.isCompleted && monotonicMillis() < until) advance(1)
        check(d.isCompleted) { "still running after $limit ms" }
        return d.getCompleted()
    }
}

/** The thread of one process, which can be paused and killed. */
@OptIn(InternalCoroutinesApi::class)
internal class Lane(private val time: VirtualTime) :
    CoroutineDispatcher(),
    Delay {
    private val backlog = ArrayDeque<Runnable>()
    private var paused = false
    var killed = false
        private set
    val scope = CoroutineScope(this + SupervisorJob())

    override fun dispatch(context: CoroutineContext, block: Runnable) {
        time.after(0) { execute(block) }
    }

    private fun execute(block: Runnable) = when {
        killed -> Unit
        paused -> backlog += block
        else -> block.run()
    }

    override fun scheduleResumeAfterDelay(
        timeMillis: Long,
        continuation: CancellableContinuation<Unit>
    ) {
        val h = time.after(timeMillis) {
            execute { continuation.resumeWith(Result.success(Unit)) }
        }
        continuation.invokeOnCancellation { h.dispose() }
    }

    override fun invokeOnTimeout(timeMillis: Long, block: Runnable, context: CoroutineContext) =
        time.after(timeMillis) { execute(block) }

    fun pause(millis: Long) {
        paused = true
        time.after(millis) {
            paused = false
            val due = backlog.toList()
            backlog.clear()
            due.forEach { time.after(0) { execute(it) } }
        }
    }

    /** Stops without running any cleanup, as a process that is killed. */
    fun kill() {
        killed = true
    }
}
