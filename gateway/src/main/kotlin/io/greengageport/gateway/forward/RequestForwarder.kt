package io.greengageport.gateway.forward

import com.github.michaelbull.result.getOrElse
import io.greengageport.common.RequestError
import io.greengageport.routing.SuspectVerdict
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.withTimeoutOrNull

/**
 * Serves one request by one or more attempts at backend servers.
 *
 * An attempt that surely did not run is repeated elsewhere; one that may have run only where the
 * kind of request allows it. A streamed answer goes on at another server after the last event that
 * was passed on. What comes of it is told to the caller at once: the server's own answer unchanged,
 * or a refusal that states truly whether the request ran.
 */
internal class RequestForwarder(private val parts: ForwardParts) {
    /** Serves [context] and answers. */
    suspend fun forward(context: RequestContext, answer: CallerAnswer) {
        val run = ForwardRun(parts, context, answer)
        if (parts.suspects.verdict(context.fingerprint) == SuspectVerdict.BLOCKED) {
            return run.refuse(RequestError.NoCapacity("it crashes servers", BLOCKED_RETRY_MILLIS))
        }
        try {
            serve(run, context)
        } catch (e: CancellationException) {
            run.ended("caller_gone")
            throw e
        }
    }

    private suspend fun serve(run: ForwardRun, context: RequestContext) {
        val permit = parts.gates.admit(
            context,
            parts.firstEventTimes.unusualMillis(context.service.name) ?: 0
        )
            .getOrElse { return run.refuse(it) }
        try {
            parts.retryBudget(context.service.name).admitted()
            val left = context.deadlineAtMillis - parts.clock.monotonicMillis()
            val isInTime = withTimeoutOrNull(maxOf(left, 1)) {
                run.attempts()
                true
            } ?: false
            run.conclude(isInTime)
        } finally {
            permit?.release(context.tokens.toLong())
        }
    }

    private companion object {
        /** A request that crashes servers is blocked for an hour; none has to be asked so long. */
        const val BLOCKED_RETRY_MILLIS = 60_000L
    }
}
