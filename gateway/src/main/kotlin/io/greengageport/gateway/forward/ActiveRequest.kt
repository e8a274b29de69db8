package io.greengageport.gateway.forward

import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope

/**
 * A request that was read completely and has not ended. Its [phase] tells what the end of the
 * process would cost its caller.
 */
internal class ActiveRequest(
    val attemptId: String?,
    val arrivedAtMillis: Long,
    private val response: CallerResponse
) {
    private var work: Deferred<Result<Unit>>? = null

    /** The request with its route, or null until the route is resolved. */
    var context: RequestContext? = null

    /** Whether [interrupt] has ended the work on the request. */
    var isInterrupted: Boolean = false
        private set

    /** Whether a backend server may have run the request. */
    val mayHaveRun: Boolean get() = context?.mayHaveRun == true

    val phase: Phase
        get() = when {
            response.isWritten -> Phase.ANSWERED
            response.isStarted -> Phase.ANSWERING
            context?.isAtServer == true -> Phase.AT_SERVER
            else -> Phase.WAITING
        }

    /** Runs [block]; returns early, when its work has ended, after [interrupt]. */
    suspend fun run(block: suspend () -> Unit) = coroutineScope {
        val deferred = async { runCatching { block() } }
        work = deferred
        deferred.join()
        if (!isInterrupted) deferred.await().getOrThrow()
    }

    /** Ends the work on the request; returns false if it has ended before. */
    fun interrupt(): Boolean {
        val running = work?.takeIf { it.isActive } ?: return false
        isInterrupted = true
        context?.isInterrupted = true
        running.cancel()
        return true
    }

    /** How far a request has come. */
    enum class Phase {
        /** At no backend server: it waits for the configuration, for admission or for a retry. */
        WAITING,

        /** Sent to a backend server that has not begun its answer. */
        AT_SERVER,

        /** The answer has begun. */
        ANSWERING,

        /** The answer was written to its end. */
        ANSWERED
    }
}
