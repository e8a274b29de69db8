package io.greengageport.gateway.forward

import com.github.michaelbull.result.getOrElse
import io.greengageport.common.Execution
import io.greengageport.common.RequestError
import io.greengageport.routing.SuspectVerdict
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.isActive
import kotlinx.coroutines.withTimeoutOrNull

/**
 * Forwards requests to backend servers, each with one or more attempts.
 *
 * An attempt that certainly did not run is retried at another server; one that may have run is
 * retried only if the kind of request allows it. A streamed response resumes at another server
 * after the last event that was relayed. As soon as no further attempt is possible, the caller
 * receives the unchanged response of the server, or an error that states whether the request ran.
 */
internal class RequestForwarder(private val dependencies: ForwardingDependencies) {
    /**
     * Forwards the request of [context] and sends the response to [response]. After an unexpected
     * exception, which is passed on, the request may have run.
     */
    suspend fun forward(context: RequestContext, response: CallerResponse) {
        val attempts = RequestAttempts(dependencies, context, response)
        if (context.deadlineAtMillis <= dependencies.clock.monotonicMillis()) {
            return attempts.refuse(RequestError.DeadlineExceeded(Execution.NOT_RUN))
        }
        if (dependencies.isWithoutServers()) return attempts.refuse(noPathError())
        if (dependencies.suspects.verdict(context.fingerprint) == SuspectVerdict.BLOCKED) {
            return attempts.refuse(
                RequestError.NoCapacity("the request crashes backend servers", BLOCKED_RETRY_MILLIS)
            )
        }
        dependencies.suspects.findBlockedPart(context.sharedPromptParts)?.let {
            dependencies.suspects.recordRefusal(context.id, it)
            return attempts.refuse(
                RequestError.NoCapacity(
                    "a part of the prompt crashes backend servers",
                    it.retryAfterMillis
                )
            )
        }
        try {
            admitAndRun(attempts, context)
        } catch (e: Throwable) {
            // The job is cancelled when the caller disconnects or the process ends. A
            // CancellationException can also come from an await that was cancelled elsewhere,
            // while the caller still waits.
            val isCancelled = !currentCoroutineContext().isActive
            if (!response.isComplete) {
                attempts.recordEnd(
                    when {
                        context.isInterrupted -> "interrupted"
                        isCancelled -> "caller_gone"
                        else -> "unexpected_error"
                    }
                )
            }
            throw e
        }
    }

    private suspend fun admitAndRun(attempts: RequestAttempts, context: RequestContext) {
        val permit = dependencies.admissionQueues.admit(
            context,
            dependencies.firstEventTimes.lateThresholdMillis(context.service.name) ?: 0
        )
            .getOrElse { return attempts.refuse(it) }
        try {
            dependencies.retryBudget(context.service.name).recordAdmission()
            val remainingMillis = context.deadlineAtMillis - dependencies.clock.monotonicMillis()
            val isInTime = withTimeoutOrNull(maxOf(remainingMillis, 1)) {
                attempts.runAttempts()
                true
            } ?: false
            attempts.sendResult(isInTime)
        } finally {
            attempts.release()
            permit?.release(context.expectedTokens.toLong())
        }
    }

    companion object {
        /** Time in which a path to servers is often found again, or a peer with a path. */
        private const val NO_PATH_RETRY_MILLIS = 1_000L

        /** The error for a request that no server can get at the moment. */
        fun noPathError(): RequestError =
            RequestError.NoCapacity("no path to backend servers", NO_PATH_RETRY_MILLIS)

        /**
         * Retry time for a blocked request. It is blocked for an hour, but callers need not wait
         * that long.
         */
        private const val BLOCKED_RETRY_MILLIS = 60_000L
    }
}
