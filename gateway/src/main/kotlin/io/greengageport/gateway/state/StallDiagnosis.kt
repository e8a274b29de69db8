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

/** Why a chain of stages stopped sending events. */
internal sealed interface StallCause {
    /** The first stage is waiting for [stages]. */
    data class Stages(val stages: Set<RunnerId>) : StallCause

    /** The first stage itself does not respond. */
    data object FirstStage : StallCause

    /** The instance may have no path to servers, so the silence says nothing about them. */
    data object NoPath : StallCause

    /**
     * The cause was not found: the first stage asked for a pause and was not queried, or its report
     * is invalid or names no known stage that it is waiting for.
     */
    data object Unknown : StallCause
}

/**
 * Identifies the stage on which a stalled chain is waiting, by querying its first stage.
 *
 * A crash stalls many requests at once, so all callers within [SHARED_MILLIS] share one query.
 */
internal class StallDiagnosis(
    private val directory: BackendDirectory,
    private val connector: HttpConnector,
    private val protocol: BackendProtocol,
    private val isPaused: (RunnerId) -> Boolean,
    private val path: ServerPath,
    private val log: DecisionLog,
    private val clock: Clock
) {
    private class Query(val startedAtMillis: Long) {
        val cause = CompletableDeferred<StallCause>()
    }

    private val recentQueries = HashMap<RunnerId, Query>()

    /** Returns why chains that start at [first] are stalled. */
    suspend fun findCause(first: BackendServer): StallCause {
        if (path.isCutOff) return StallCause.NoPath
        // A server that asked for a pause is not sent report requests either.
        if (isPaused(first.id)) return StallCause.Unknown
        val now = clock.monotonicMillis()
        recentQueries.values.removeIf { now - it.startedAtMillis > SHARED_MILLIS }
        recentQueries[first.id]?.let { return it.cause.await() }
        val query = Query(now)
        recentQueries[first.id] = query
        var cause: StallCause = StallCause.Unknown
        try {
            cause = queryFirstStage(first)
            log.record("health", "stall", "server" to first.id, "cause" to cause)
        } finally {
            query.cause.complete(cause)
        }
        return cause
    }

    /** Requests the report of [first] and evaluates the stages that it is waiting for. */
    private suspend fun queryFirstStage(first: BackendServer): StallCause {
        val caller = HttpCaller(connector, first.address)
        val reply = caller.call(protocol.reportRequest(), TIMEOUT_MILLIS)
        caller.closeIdle()
        return reply.fold(
            { r ->
                val stages = protocol.parseReport(r)?.stalledStages.orEmpty()
                    .mapNotNullTo(HashSet()) { directory.findByAddress(it)?.id }
                if (stages.isEmpty()) StallCause.Unknown else StallCause.Stages(stages)
            },
            {
                if (path.isFailureOfServer(first.id)) {
                    StallCause.FirstStage
                } else {
                    StallCause.NoPath
                }
            }
        )
    }

    private companion object {
        /** Reports themselves are a few hundred ms old. */
        const val SHARED_MILLIS = 200L

        /** Limit of a query, after which the first stage counts as unresponsive. */
        const val TIMEOUT_MILLIS = 300L
    }
}
