package io.greengageport.entry

import java.util.concurrent.ConcurrentHashMap
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob

/**
 * Bounds the open connections of an HTTP server to [max].
 *
 * The HTTP library has no such bound and does not tell of connections. It runs each connection in a
 * job below that of the server, though, and its calls below that one: the connection of a call is
 * the topmost job above it that is younger than the server. A connection counts from its first call
 * on. One beyond the bound has its calls refused. Connections without a call are closed by [sweep]
 * when there are more than [max] in all.
 *
 * ```
 * val limit = ConnectionLimit(max = 8_192)
 * startServer(listen, bounds, connections = limit) { ... }
 * if (!limit.admit(call.coroutineContext.job)) refuse()
 * ```
 */
@OptIn(ExperimentalCoroutinesApi::class)
internal class ConnectionLimit(private val max: Int) : AutoCloseable {
    /** Parent of all jobs of the server. */
    val root: Job = SupervisorJob()
    private val admitted = ConcurrentHashMap.newKeySet<Job>()

    /** Jobs of the server itself. */
    @Volatile
    private var own: Set<Job> = emptySet()

    /** The job below which connections run, known from the first call on. */
    @Volatile
    private var listener: Job? = null
    private var seenBefore: Set<Job> = emptySet()

    /** Number of open connections; 0 before the first call. */
    val open: Int get() = listener?.children?.count() ?: 0

    /** Has to be called when the server listens, before it takes calls. */
    fun started() {
        own = descendants(root).toSet()
    }

    /** Whether the connection of the job [call] is within the bound. */
    fun admit(call: Job): Boolean {
        val connection = generateSequence(call) { it.parent }.firstOrNull { it.parent in own }
            ?: return true
        listener = connection.parent
        if (connection in admitted) return true
        // The check is not atomic; calls that arrive at the same moment may exceed the bound.
        if (admitted.size >= max) return false
        admitted += connection
        connection.invokeOnCompletion { admitted -= connection }
        return true
    }

    /** Closes connections above the bound that had no call for the time between two sweeps. */
    fun sweep() {
        val idle = listener?.children.orEmpty().filter { it !in admitted }.toList()
        val surplus = admitted.size + idle.size - max
        if (surplus > 0) idle.filter { it in seenBefore }.take(surplus).forEach { it.cancel() }
        seenBefore = idle.toSet()
    }

    override fun close(): Unit = root.cancel()

    private fun descendants(job: Job): Sequence<Job> =
        sequenceOf(job) + job.children.flatMap(::descendants)
}
