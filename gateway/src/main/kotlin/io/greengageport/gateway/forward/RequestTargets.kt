package io.greengageport.gateway.forward

import io.greengageport.common.RunnerId
import io.greengageport.gateway.http.ConnectionObserver
import io.greengageport.gateway.state.StallCause
import io.greengageport.routing.SuspectVerdict

/**
 * Selects the servers for the attempts of one request, and records how attempts ended there.
 *
 * A server that failed, refused the request or is silent is not selected again for this request. If
 * [canContinueElsewhere], another attempt waits until it is known whether a server crashed.
 */
internal class RequestTargets(
    dependencies: ForwardingDependencies,
    private val context: RequestContext,
    private val limit: AttemptLimit,
    private val canContinueElsewhere: Boolean
) {
    private val plainSelector = dependencies.plainSelector
    private val directory = dependencies.directory
    private val health = dependencies.health
    private val path = dependencies.path
    private val pauses = dependencies.pauses
    private val suspects = dependencies.suspects
    private val firstEventTimes = dependencies.firstEventTimes
    private val launchInBackground = dependencies.launchInBackground
    private val clock = dependencies.clock
    private val service = context.service
    private val selector =
        if (service.engine == null) plainSelector else dependencies.chainSelector

    /** Servers that must not receive this request again. */
    private val excluded = HashSet<RunnerId>()

    /**
     * Members of chains that stalled for an unknown reason, servers with stale connections, and
     * those that failed while this instance may have had no path to them, or to which no tunnel was
     * opened; used only if there are no others.
     */
    private val avoided = HashSet<RunnerId>()

    /** Number of servers that are not selected again. */
    val excludedCount: Int get() = excluded.size

    /** Number of attempts for which no connection was opened. */
    var unconnectedCount: Int = 0
        private set

    /** Selects the target of the next attempt, or returns null if none is available. */
    fun select(): Selection? = selectExcept(emptySet())

    /** Selects the target of an attempt beside a silent one; a full server would refuse it. */
    fun selectReplacement(): Selection? = selectExcept(fullServers())

    /** A request suspected of crashing servers shares no server with another such request. */
    private fun selectExcept(full: Set<RunnerId>): Selection? {
        val busy = if (suspects.verdict(context.fingerprint) == SuspectVerdict.CLEAR) {
            emptySet()
        } else {
            suspects.runnersWithMarkedRequests()
        }
        val unavailable = excluded + busy + full + pauses.pausedServers()
        return (if (avoided.isEmpty()) null else selector.select(context, unavailable + avoided))
            ?: selector.select(context, unavailable)
    }

    /** Whether the servers of a selection made some time ago still take requests. */
    fun isAvailable(selection: Selection): Boolean {
        val usable = directory.usableServers(service.name).mapTo(HashSet()) { it.id }
        return usable.containsAll(selection.members) && selection.members.none(pauses::isPaused)
    }

    /**
     * Returns the time in ms until the first pause of a server ends, or null if a pause is not the
     * reason why no server is available.
     */
    fun millisUntilPauseEnds(): Long? {
        val servers = directory.usableServers(service.name).map { it.id }
        val isPausing =
            service.engine != null || servers.all { it in excluded || pauses.isPaused(it) }
        return if (isPausing) pauses.millisUntilFirstEnd(servers) else null
    }

    /**
     * The servers of a plain service without a free slot. Engines count as free: the admission
     * queue limits their requests.
     */
    private fun fullServers(): Set<RunnerId> = if (service.engine != null) {
        emptySet()
    } else {
        directory.usableServers(service.name).filterNot(plainSelector::hasFreeSlot)
            .mapTo(HashSet()) { it.id }
    }

    /**
     * Updates the health and crash state of the servers after an attempt that took [millis], and
     * excludes those that failed. [events] is the number of events of the answer so far.
     */
    suspend fun recordEnd(attempt: RunningAttempt, end: AttemptEnd, millis: Long, events: Int) {
        val selection = attempt.selection
        val first = selection.server.id
        when (end) {
            is AttemptEnd.Streamed -> {
                suspects.recordCompletion(attempt.id, hasAnswer = events > 0)
                health.recordSuccess(selection.members, 1)
            }

            is AttemptEnd.Answered -> if (end.reply.status < MIN_SERVER_ERROR) {
                val hasAnswer = end.reply.status < MIN_REDIRECT
                suspects.recordCompletion(attempt.id, hasAnswer)
                health.recordSuccess(selection.members, millis)
            } else {
                excluded += first
                health.recordFailure(service.name, listOf(first))
            }

            is AttemptEnd.NotConnected -> {
                unconnectedCount++
                recordUnconnected(first, end.observer)
            }

            is AttemptEnd.NotRun -> {
                val stage = end.stage?.let { directory.findByAddress(it)?.id }
                excluded += stage ?: first
                // A full server reports that itself; another stage may be unreachable.
                if (stage != null && stage != first) {
                    launchInBackground { health.recordStageRefusal(service.name, stage) }
                }
            }

            is AttemptEnd.Broken -> excludeFailed(attempt, end)

            is AttemptEnd.CallerGone, is AttemptEnd.Superseded -> Unit
        }
    }

    private suspend fun recordUnconnected(server: RunnerId, observer: ConnectionObserver) {
        when (observer) {
            ConnectionObserver.THIS_INSTANCE -> if (path.isFailureOfServer(server)) {
                excluded += server
                suspects.recordRefusedConnection(server)
                health.markUnreachable(service.name, server)
            }

            // The peer marks the server itself and reports it.
            ConnectionObserver.PEER -> {
                excluded += server
                suspects.recordRefusedConnection(server)
            }

            // The peer may know that the server is leaving, and would not connect to it again.
            ConnectionObserver.NOBODY -> avoided += server
        }
    }

    private suspend fun excludeFailed(attempt: RunningAttempt, end: AttemptEnd.Broken) {
        // The failure was recorded when the replacement was started.
        if (end.isSilent) return
        val first = attempt.selection.server.id
        if (path.wasCutOffSince(attempt.sentAtMillis)) {
            avoided += first
            return
        }
        if (end.isStaleConnection) {
            avoided += first
            health.recordFailure(service.name, listOf(first))
            return
        }
        // Has to be recorded while the attempt is registered as running.
        val isFirstLoss = suspects.recordLostConnection(first)
        if (canContinueElsewhere) {
            checkForCrash(first, isFirstLoss)
        } else {
            launchInBackground { checkForCrash(first, isFirstLoss) }
        }
    }

    /**
     * Finds out whether [server] crashed after a lost connection. Other attempts avoid it from then
     * on, so none of them would notice, and the request that crashed it could crash further ones.
     */
    private suspend fun checkForCrash(server: RunnerId, isFirstLoss: Boolean) {
        val isReachable = health.acceptsConnections(service.name, server)
        if (isReachable == null && directory.find(server) != null) {
            // Without a path to servers, this instance lost the connection, not the server.
            if (isFirstLoss) suspects.withdrawLostConnection(server)
            avoided += server
            return
        }
        // A server that accepts connections may have restarted, which its next list entry shows.
        if (isReachable == false) {
            suspects.recordRefusedConnection(server)
            limit.recordServerLost()
        }
        excluded += server
        health.recordFailure(service.name, listOf(server))
    }

    /**
     * Excludes the servers that caused a silence of [attempt]. [cause] is null for a plain server,
     * and [isFirst] is false if the same silence was recorded before, other than without a path.
     */
    fun recordSilence(attempt: RunningAttempt, cause: StallCause?, isFirst: Boolean) {
        val selection = attempt.selection
        val first = selection.server.id
        when (cause) {
            null -> if (isFirst) {
                excluded += first
                health.recordFailure(service.name, listOf(first))
            }

            is StallCause.Stages -> {
                val stages = cause.stages.filter { it in selection.members && excluded.add(it) }
                stages.forEach(suspects::recordLostConnection)
                stages.forEach { health.markUnreachable(service.name, it) }
            }

            is StallCause.FirstStage -> if (excluded.add(first)) {
                health.markUnreachable(service.name, first)
            }

            is StallCause.NoPath -> avoided += selection.members

            is StallCause.Unknown -> {
                avoided += selection.members
                // No stage failed, so the service is slow as a whole. A longer estimate prevents
                // retries that would slow it down further.
                if (isFirst) {
                    val waitedMillis = clock.monotonicMillis() - attempt.sentAtMillis
                    firstEventTimes.record(service.name, TIMED_OUT_FACTOR * waitedMillis)
                }
            }
        }
    }

    private companion object {
        /** Lowest status code of responses that are no answers. */
        const val MIN_REDIRECT = 300

        /** Lowest status code of server errors. */
        const val MIN_SERVER_ERROR = 500

        /** Estimated time to first event of a timed-out attempt, as a multiple of its wait. */
        const val TIMED_OUT_FACTOR = 2
    }
}
