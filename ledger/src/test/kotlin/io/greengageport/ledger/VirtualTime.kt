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

/**
 * Single-threaded virtual time. Tasks that are due in the same millisecond run in an order drawn
 * from [random].
 */
internal class VirtualTime(
    private val random: Random,
    private val clock: ManualClock = ManualClock()
) : Clock by clock {
    private class Task(val dueMillis: Long, val tieBreaker: Int, val run: () -> Unit)

    private val tasks = PriorityQueue(compareBy<Task>({ it.dueMillis }, { it.tieBreaker }))

    /** Schedules [run] at the monotonic time [millis]. */
    fun at(millis: Long, run: () -> Unit): DisposableHandle {
        val t = Task(millis, random.nextInt(), run)
        tasks += t
        return DisposableHandle { tasks.remove(t) }
    }

    /** Schedules [run] in [millis] milliseconds. */
    fun after(millis: Long, run: () -> Unit) = at(monotonicMillis() + millis, run)

    /** Advances the clock by [millis] and runs the tasks that become due. */
    fun advance(millis: Long) {
        val untilMillis = monotonicMillis() + millis
        while (tasks.isNotEmpty() && tasks.peek().dueMillis <= untilMillis) {
            val t = tasks.poll()
            clock.advance((t.dueMillis - monotonicMillis()).coerceAtLeast(0))
            t.run()
        }
        clock.advance(untilMillis - monotonicMillis())
    }

    /** Runs [block] in its own process until it ends, for at most [limitMillis] of virtual time. */
    fun <T> run(limitMillis: Long = 120_000, block: suspend CoroutineScope.() -> T): T {
        val deferred = SimulatedProcess(this).scope.async(block = block)
        val untilMillis = monotonicMillis() + limitMillis
        while (!deferred.isCompleted && monotonicMillis() < untilMillis) advance(1)
        check(deferred.isCompleted) { "block still running after $limitMillis ms of virtual time" }
        return deferred.getCompleted()
    }
}

/** A simulated process with one thread, which can be paused and killed. */
@OptIn(InternalCoroutinesApi::class)
internal class SimulatedProcess(private val time: VirtualTime) :
    CoroutineDispatcher(),
    Delay {
    private val backlog = ArrayDeque<Runnable>()
    private var isPaused = false
    var isKilled = false
        private set
    val scope = CoroutineScope(this + SupervisorJob())

    override fun dispatch(context: CoroutineContext, block: Runnable) {
        time.after(0) { execute(block) }
    }

    private fun execute(block: Runnable) = when {
        isKilled -> Unit
        isPaused -> backlog += block
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

    /** Defers all work of the process for [millis]. */
    fun pause(millis: Long) {
        isPaused = true
        time.after(millis) {
            isPaused = false
            val due = backlog.toList()
            backlog.clear()
            due.forEach { time.after(0) { execute(it) } }
        }
    }

    /** Stops the process without any cleanup. */
    fun kill() {
        isKilled = true
    }
}
