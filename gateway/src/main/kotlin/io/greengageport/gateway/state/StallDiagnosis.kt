package io.greengageport.gateway.state

import com.github.michaelbull.result.fold
import io.greengageport.common.Clock
import io.greengageport.common.RunnerId
import io.greengageport.gateway.http.HttpCaller
import io.greengageport.gateway.http.HttpConnector
import io.greengageport.gateway.logging.DecisionLog
import io.greengageport.gateway.model.BackendServer
import io.greengageport.gateway.port.BackendProtocol
import kotlinx.coroutines.CompletableDeferred

/** What is known of why a chain fell silent. */
internal sealed interface StallCause {
    /** The first stage waits for [stages]. */
    data class Stages(val stages: Set<RunnerId>) : StallCause

    /** The first stage itself does not answer. */
    data object FirstStage : StallCause

    /** The first stage answers and waits for nobody. */
    data object Unknown : StallCause
}

/**
 * Finds the stage for which a silent chain waits, by asking its first stage.
 *
 * A crash silences many requests at once, so one answer serves all that ask within
 * [SHARED_MILLIS].
 */
internal class StallDiagnosis(
    private val directory: BackendDirectory,
    private val connector: HttpConnector,
    private val protocol: BackendProtocol,
    private val isPaused: (RunnerId) -> Boolean,
    private val log: DecisionLog,
    private val clock: Clock
) {
    private class Asked(val atMillis: Long) {
        val cause = CompletableDeferred<StallCause>()
    }

    private val asked = HashMap<RunnerId, Asked>()

    /** Why chains that start at [first] fell silent. */
    suspend fun causeAt(first: BackendServer): StallCause {
        // A server that asked for a pause is not asked for reports either.
        if (isPaused(first.id)) return StallCause.Unknown
        val now = clock.monotonicMillis()
        asked.values.removeIf { now - it.atMillis > SHARED_MILLIS }
        asked[first.id]?.let { return it.cause.await() }
        val own = Asked(now)
        asked[first.id] = own
        var cause: StallCause = StallCause.Unknown
        try {
            cause = ask(first)
            log.record("health", "stall", "server" to first.id, "cause" to cause)
        } finally {
            own.cause.complete(cause)
        }
        return cause
    }

    private suspend fun ask(first: BackendServer): StallCause {
        val caller = HttpCaller(connector, first.address)
        val reply = caller.call(protocol.reportRequest(), TIMEOUT_MILLIS)
        caller.closeIdle()
        return reply.fold(
            { r ->
                val stalled = protocol.readReport(r)?.stalledStages.orEmpty()
                    .mapNotNullTo(HashSet()) { directory.at(it)?.id }
                if (stalled.isEmpty()) StallCause.Unknown else StallCause.Stages(stalled)
            },
            { StallCause.FirstStage }
        )
    }

    private companion object {
        /** Reports are some hundred ms old themselves. */
        const val SHARED_MILLIS = 200L
        const val TIMEOUT_MILLIS = 300L
    }
}
