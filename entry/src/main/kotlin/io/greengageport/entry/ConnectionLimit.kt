package io.greengageport.entry

import java.util.concurrent.ConcurrentHashMap
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob

/**
 * Limits the open connections of an HTTP server to [max].
 *
 * The HTTP library offers neither such a limit nor events for connections. But it runs each
 * connection in a child job of the server and each call in a job below its connection. So the
 * connection of a call is its ancestor job whose parent is one of the server's own jobs. A
 * connection counts from its first call on; calls on connections above the limit are refused.
 * If there are more than [max] connections in total, [sweep] closes surplus ones that do not count.
 *
 * ```
 * val limit = ConnectionLimit(max = 8_192)
 * startServer(listen, bounds, connections = limit) { ... }
 * if (!limit.admit(call.coroutineContext.job)) refuse()
 * ```
 */
@OptIn(ExperimentalCoroutinesApi::class)
internal class ConnectionLimit(private val max: Int) : AutoCloseable {
    /** The parent of all jobs of the server. */
    val root: Job = SupervisorJob()
    private val admitted = ConcurrentHashMap.newKeySet<Job>()

    /** The server's own jobs, which exist before the first connection. */
    @Volatile
    private var serverJobs: Set<Job> = emptySet()

    /** The parent job of all connections; null before the first call. */
    @Volatile
    private var listener: Job? = null
    private var idleAtLastSweep: Set<Job> = emptySet()

    /** Number of open connections; 0 before the first call. */
    val openCount: Int get() = listener?.children?.count() ?: 0

    /** Records the server's own jobs. Must be called after it listens and before its first call. */
    fun recordServerJobs() {
        serverJobs = descendants(root).toSet()
    }

    /** Returns whether the connection of the job [call] is within the limit; counts it if so. */
    fun admit(call: Job): Boolean {
        val connection = generateSequence(call) { it.parent }
            .firstOrNull { it.parent in serverJobs }
            ?: return true
        listener = connection.parent
        if (connection in admitted) return true
        // The check is not atomic, so concurrent first calls may exceed the limit slightly.
        if (admitted.size >= max) return false
        admitted += connection
        connection.invokeOnCompletion { admitted -= connection }
        return true
    }

    /** Closes surplus connections that did not count at the previous sweep and still do not. */
    fun sweep() {
        val idle = listener?.children.orEmpty().filter { it !in admitted }.toList()
        val surplus = admitted.size + idle.size - max
        if (surplus > 0) idle.filter { it in idleAtLastSweep }.take(surplus).forEach { it.cancel() }
        idleAtLastSweep = idle.toSet()
    }

    override fun close(): Unit = root.cancel()

    private fun descendants(job: Job): Sequence<Job> =
        sequenceOf(job) + job.children.flatMap(::descendants)
}
