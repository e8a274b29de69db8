package io.greengageport.gateway.forward

import io.greengageport.common.Execution
import io.greengageport.common.RankName
import io.greengageport.common.RequestError
import io.greengageport.common.RunnerId
import io.greengageport.gateway.model.BackendServer
import io.greengageport.gateway.port.Dispatch
import io.greengageport.gateway.port.ResponseHeaders
import io.greengageport.gateway.state.StallCause
import io.greengageport.routing.RetryDecision
import io.greengageport.routing.SuspectVerdict
import kotlinx.coroutines.delay

/**
 * Runs the attempts of one request and sends the response.
 *
 * [runAttempts] sends the request until an attempt is final, no further attempt is allowed or no
 * server is available. [sendResult] then sends the response, unless a streamed one was sent.
 */
internal class RequestAttempts(
    dependencies: ForwardingDependencies,
    private val context: RequestContext,
    private val response: CallerResponse
) {
    private val exchange = dependencies.exchange
    private val plainSelector = dependencies.plainSelector
    private val chainSelector = dependencies.chainSelector
    private val directory = dependencies.directory
    private val inFlight = dependencies.inFlight
    private val health = dependencies.health
    private val pauses = dependencies.pauses
    private val diagnosis = dependencies.diagnosis
    private val suspects = dependencies.suspects
    private val retryBudget = dependencies.retryBudget
    private val observer = dependencies.observer
    private val log = dependencies.log
    private val clock = dependencies.clock
    private val answersUntilMillis = dependencies.answersUntilMillis
    private val launchInBackground = dependencies.launchInBackground
    private val retryAfterJitter = dependencies.retryAfterJitter
    private val firstEventTimes = dependencies.firstEventTimes
    private val memory = dependencies.responseMemory.Reservation()
    private val service = context.service
    private val selector = if (service.engine == null) plainSelector else chainSelector
    private val limit =
        AttemptLimit(context.route.repeatability, context.route.maxAttempts)
    private val timeouts = AttemptTimeouts(context, limit, firstEventTimes, clock)

    /** Servers that must not receive this request again. */
    private val excluded = HashSet<RunnerId>()

    /**
     * Members of chains that stalled for an unknown reason, and servers with stale connections;
     * used only if there are no others.
     */
    private val avoided = HashSet<RunnerId>()
    private val relay = if (context.route.isStreaming) newRelay() else null
    private var reservedRetry: ReservedRetry? = null
    private var lastEnd: AttemptEnd? = null
    private var hasSelected = false
    private var startedAtMillis = 0L
    private var retryAfterMillis: Long? = null

    /** Runs attempts until the request is complete, cannot be retried or finds no server. */
    suspend fun runAttempts() {
        try {
            runUntilFinal()
        } finally {
            releaseReservation()
        }
    }

    private suspend fun runUntilFinal() {
        var reserved: Selection? = null
        while (true) {
            val selection = reserved ?: selectOrWait() ?: return
            hasSelected = true
            if (!hasTimeForAttempt()) return
            if (!canStart(selection)) return
            val end = attempt(selection)
            lastEnd = end
            limit.recordEnd(end)
            context.mayHaveRun = limit.hasPossiblyRun
            observer.onAttempt(service.name, end)
            if (isFinal(end)) return
            logFailure(selection, end)
            if (!limit.canRetry() || relay?.canContinue == false) return
            val isDelayed = delaySuspect()
            val retry = reservedRetry
            if (retry == null && !budgetAllows(end)) return
            retry?.let { delay(it.delayMillis) }
            // The attempt counts itself at its target.
            releaseReservation()
            // After a longer delay the reserved server may no longer be available.
            reserved = retry?.selection?.takeIf { !isDelayed }
        }
    }

    /**
     * The target of a retry for which budget was taken, and the time to wait before it. It counts
     * as in flight, so that attempts that are given up together do not all reserve one free slot.
     */
    private class ReservedRetry(val selection: Selection, val delayMillis: Long)

    private fun releaseReservation() {
        reservedRetry?.let { updateInFlight(it.selection, inFlight::remove) }
        reservedRetry = null
    }

    /**
     * Selects the target of the next attempt among the servers that are not [full], or returns null
     * if none is available. A request suspected of crashing servers does not share a server with
     * another such request.
     */
    private fun select(full: Set<RunnerId> = emptySet()): Selection? {
        val busy = if (suspects.verdict(context.fingerprint) == SuspectVerdict.CLEAR) {
            emptySet()
        } else {
            suspects.runnersWithMarkedRequests()
        }
        val unavailable = excluded + busy + full + pauses.pausedServers()
        return (if (avoided.isEmpty()) null else selector.select(context, unavailable + avoided))
            ?: selector.select(context, unavailable)
    }

    private fun canStart(selection: Selection) = suspects.tryStart(
        context.id,
        context.fingerprint,
        selection.members,
        context.sharedPromptParts,
        events = ::answerEvents
    )

    /**
     * Whether an attempt can end before the instance does. A stream that has begun is resumed in
     * any case, since its caller loses nothing by it.
     */
    private fun hasTimeForAttempt(): Boolean {
        val neededMillis = if (context.route.isStreaming) {
            context.toleratedSilenceMillis
        } else {
            PLAIN_TARGET_FACTOR * context.route.latencyTargetMillis
        }
        return response.isStarted ||
            clock.monotonicMillis() + minOf(neededMillis, MAX_NEEDED_MILLIS) <= answersUntilMillis()
    }

    private fun answerEvents(): Int = relay?.events ?: 0

    private suspend fun attempt(selection: Selection): AttemptEnd {
        startedAtMillis = clock.monotonicMillis()
        updateInFlight(selection, inFlight::add)
        context.isAtServer = true
        context.mayHaveRun = true
        try {
            val monitored = if (timeouts.canContinueElsewhere) selection.members else emptyList()
            val end = exchange.run(
                context,
                newDispatch(selection),
                timeouts.headTimeoutMillis(),
                memory,
                AttemptSilence(selection),
                relay,
                monitored
            ) {
                applyHeaders(selection.server, it)
            }
            val millis = clock.monotonicMillis() - startedAtMillis
            // A response without length or chunks ends with its connection, also within an event.
            val isCutOff = end == AttemptEnd.Streamed && relay?.finish() == false
            val actualEnd =
                if (isCutOff) AttemptEnd.Broken("the response ended within an event") else end
            recordOutcome(selection, actualEnd, millis)
            return actualEnd
        } finally {
            context.isAtServer = false
            suspects.recordEnd(context.id)
            updateInFlight(selection, inFlight::remove)
        }
    }

    /** Applies the load, leaving state and pause that [server] reports in its response headers. */
    private fun applyHeaders(server: BackendServer, responseHeaders: ResponseHeaders) {
        if (responseHeaders.load != null) plainSelector.onLoad(server.id, responseHeaders.load)
        if (responseHeaders.isServerLeaving) directory.onLeaving(server.id, server.startedAtMillis)
        responseHeaders.pauseMillis?.let { pauses.onPause(server.id, it) }
    }

    private inline fun updateInFlight(selection: Selection, change: (RunnerId, Long) -> Unit) {
        selection.members.forEachIndexed { i, m ->
            change(m, context.expectedTokens.toLong() * selection.layersOf(i))
        }
    }

    private fun newDispatch(selection: Selection) = Dispatch(
        server = selection.server,
        remainingMillis = timeouts.remainingMillis,
        organisation = context.organisation?.name?.value,
        priority = context.priority.takeIf { service.engine != null },
        chain = selection.stages,
        resumeAfterEvent = relay?.lastEventId
    )

    private fun newRelay() = StreamRelay(
        response = response,
        filterHeaders = EndToEndHeaders::of,
        eventTimeoutMillis = timeouts::eventTimeoutMillis,
        resumeAfterId = context.caller.lastEventId,
        onEvent = { suspects.recordProgress(context.id, it) },
        onFirstEvent = {
            firstEventTimes.record(service.name, clock.monotonicMillis() - startedAtMillis)
            observer.onFirstEvent(context)
        }
    )

    /**
     * Updates the health and crash state of the servers after an attempt, and excludes those that
     * failed.
     */
    private suspend fun recordOutcome(selection: Selection, end: AttemptEnd, millis: Long) {
        val first = selection.server.id
        when (end) {
            is AttemptEnd.Streamed -> {
                suspects.recordCompletion(context.id, hasAnswer = answerEvents() > 0)
                health.recordSuccess(selection.members, 1)
            }

            is AttemptEnd.Answered -> if (end.reply.status < MIN_SERVER_ERROR) {
                val hasAnswer = end.reply.status < MIN_REDIRECT
                suspects.recordCompletion(context.id, hasAnswer)
                health.recordSuccess(selection.members, millis)
            } else {
                excluded += first
                health.recordFailure(service.name, listOf(first))
            }

            is AttemptEnd.NotConnected -> {
                excluded += first
                suspects.recordRefusedConnection(first)
                health.markUnreachable(service.name, first)
            }

            is AttemptEnd.NotRun -> {
                val stage = end.stage?.let { directory.findByAddress(it)?.id }
                excluded += stage ?: first
                // A full server reports that itself; another stage may be unreachable.
                if (stage != null && stage != first) {
                    launchInBackground { health.recordStageRefusal(service.name, stage) }
                }
            }

            is AttemptEnd.Broken -> excludeFailed(selection, end)

            is AttemptEnd.CallerGone -> Unit
        }
    }

    private suspend fun excludeFailed(selection: Selection, end: AttemptEnd.Broken) {
        // The failure was recorded before the attempt was given up.
        if (end.isSilent) return
        val first = selection.server.id
        if (end.isStaleConnection) {
            avoided += first
            health.recordFailure(service.name, listOf(first))
            return
        }
        suspects.recordLostConnection(first)
        if (timeouts.canContinueElsewhere) {
            checkForCrash(first)
        } else {
            launchInBackground { checkForCrash(first) }
        }
        excluded += first
        health.recordFailure(service.name, listOf(first))
    }

    /**
     * Gives up a silent attempt only if another one can replace it: a server that is only slow
     * would still complete the response. Without a replacement the attempt ends with its server, at
     * the deadline or when the caller disconnects. That its first stage waits for another stage is
     * no reason to end it: that stage may be sound, and if it is lost, the first stage ends the
     * response itself.
     */
    private inner class AttemptSilence(private val selection: Selection) : SilencePolicy {
        private var examinations = 0
        private var cause: StallCause? = null

        override suspend fun examine() {
            examinations++
            if (selection.members.size == 1) return
            val unreachable = selection.members.filterTo(HashSet(), health::isUnreachable)
            // Whether a server is unreachable can be known from a slow connection only.
            cause = if (examinations == 1 && unreachable.isNotEmpty()) {
                StallCause.Stages(unreachable)
            } else {
                diagnosis.findCause(selection.server)
            }
        }

        override fun shouldGiveUp(): Boolean {
            recordSilence(selection, cause, isFirst = examinations == 1)
            val hasReplacement = reserveRetry(shouldLog = examinations == 1)
            logDecision(hasReplacement)
            return hasReplacement
        }

        private fun logDecision(isGivenUp: Boolean) = log.record(
            "silence",
            if (isGivenUp) "given_up" else "kept",
            "request" to context.id,
            "server" to selection.server.id,
            "cause" to cause,
            "replacement" to reservedRetry?.selection?.server?.id,
            "examinations" to examinations,
            "events" to relay?.events,
            "attempt_ms" to clock.monotonicMillis() - startedAtMillis
        )
    }

    /**
     * Excludes the servers that caused a silence. [cause] is null for a plain server, and [isFirst]
     * is false if the same silence was recorded before.
     */
    private fun recordSilence(selection: Selection, cause: StallCause?, isFirst: Boolean) {
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

            is StallCause.Unknown -> {
                avoided += selection.members
                // No stage failed, so the service is slow as a whole. A longer estimate prevents
                // retries that would slow it down further.
                val waitedMillis = clock.monotonicMillis() - startedAtMillis
                if (isFirst) firstEventTimes.record(service.name, TIMED_OUT_FACTOR * waitedMillis)
            }
        }
    }

    /** Selects the target of a retry and takes its budget; returns false if one is missing. */
    private fun reserveRetry(shouldLog: Boolean): Boolean {
        if (!limit.canRetryAfterRun() || relay?.canContinue == false) return false
        if (timeouts.remainingMillis <= 0 || !hasTimeForAttempt()) return false
        val isBlocked = suspects.verdict(context.fingerprint) == SuspectVerdict.BLOCKED ||
            suspects.findBlockedPart(context.sharedPromptParts) != null
        if (isBlocked) return false
        // A full server would refuse the request, while the silent one may go on.
        val selection = select(full = fullServers()) ?: return false
        releaseReservation()
        when (val decision = tryRetry(limit.sends + 1, shouldLog)) {
            is RetryDecision.Allowed -> {
                updateInFlight(selection, inFlight::add)
                reservedRetry = ReservedRetry(selection, decision.delayMillis)
            }

            is RetryDecision.Denied -> Unit
        }
        return reservedRetry != null
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
     * Finds out whether [server] crashed after a lost connection. Other attempts avoid it from then
     * on, so none of them would notice, and the request that crashed it could crash further ones.
     */
    private suspend fun checkForCrash(server: RunnerId) {
        // A server that accepts connections may have restarted, which its next list entry shows.
        if (health.acceptsConnections(service.name, server) != false) return
        suspects.recordRefusedConnection(server)
        limit.recordServerLost()
    }

    private fun isFinal(end: AttemptEnd): Boolean = when (end) {
        is AttemptEnd.Streamed, is AttemptEnd.CallerGone -> true
        is AttemptEnd.Answered -> end.reply.status < MIN_SERVER_ERROR
        is AttemptEnd.NotConnected, is AttemptEnd.NotRun, is AttemptEnd.Broken -> false
    }

    private suspend fun budgetAllows(end: AttemptEnd): Boolean {
        // The request was not sent, so the next attempt adds no load and needs no budget.
        if (end is AttemptEnd.NotConnected) return excluded.size <= MAX_UNREACHABLE_SERVERS
        return when (val decision = tryRetry(maxOf(1, limit.sends))) {
            is RetryDecision.Allowed -> {
                delay(decision.delayMillis)
                true
            }

            is RetryDecision.Denied -> false
        }
    }

    /** Takes the budget of a retry after [attempts] attempts, if there is enough. */
    private fun tryRetry(attempts: Int, shouldLog: Boolean = true): RetryDecision {
        val rank = RankName(context.priority.toString())
        val decision = retryBudget(service.name).tryRetry(attempts, rank)
        if (shouldLog && decision is RetryDecision.Denied) {
            log.record("retry", "denied", "request" to context.id, "budget" to decision)
        }
        return decision
    }

    /**
     * Delays the retry of a request that may have crashed its server. A second crash would break
     * the answers that have just moved to another server; and if a part of the prompt is the cause,
     * another request with it has often shown that meanwhile. Returns whether it was delayed.
     */
    private suspend fun delaySuspect(): Boolean {
        if (context.sharedPromptParts.isEmpty() || !isSuspect()) return false
        // A request that will not run again gets its final response at once.
        if (suspects.findBlockedPart(context.sharedPromptParts) != null) return false
        delay(minOf(SUSPECT_DELAY_MILLIS, millisToWaitAsSuspect()))
        return true
    }

    /** Whether the request may have crashed a server, is not blocked, and no answer has begun. */
    private fun isSuspect() =
        answerEvents() == 0 && suspects.verdict(context.fingerprint) == SuspectVerdict.MARKED

    /**
     * Time in ms that a suspect may still wait; the rest of what its caller tolerates is left for
     * its answer.
     */
    private fun millisToWaitAsSuspect(): Long {
        val waitedMillis = clock.monotonicMillis() - context.arrivedAtMillis
        val latestMillis = (context.toleratedSilenceMillis * SUSPECT_WAIT_SHARE).toLong()
        return minOf(latestMillis - waitedMillis, timeouts.remainingMillis / 2)
    }

    /** Selects a target; a suspect waits while other suspects run on all servers that are left. */
    private suspend fun selectOrWait(): Selection? {
        while (true) {
            select()?.let { return it }
            val canWait = suspects.runnersWithMarkedRequests().isNotEmpty() && isSuspect() &&
                millisToWaitAsSuspect() > SUSPECT_CHECK_INTERVAL_MILLIS
            if (!canWait) return null
            delay(SUSPECT_CHECK_INTERVAL_MILLIS)
        }
    }

    private fun logFailure(selection: Selection, end: AttemptEnd) {
        log.record(
            "attempt",
            "failed",
            "request" to context.id,
            "end" to describe(end),
            "server" to selection.server.id,
            "chain" to selection.stages.takeIf { it.isNotEmpty() }
                ?.joinToString(">") { "${it.address}${it.layers}" },
            "sends" to limit.sends,
            "runs" to limit.runs,
            "events" to relay?.events,
            "left_ms" to timeouts.remainingMillis
        )
    }

    private fun describe(end: AttemptEnd): String = when (end) {
        is AttemptEnd.Answered -> "Answered(status=${end.reply.status})"
        else -> end.toString()
    }

    /**
     * Sends the result of the attempts, unless a streamed response has started. [isInTime] tells
     * whether the attempts ended before the deadline.
     */
    suspend fun sendResult(isInTime: Boolean) {
        val end = lastEnd
        val outcome: String
        if (end is AttemptEnd.Streamed && response.isComplete) {
            outcome = "streamed"
        } else if (response.isStarted) {
            // Without its last chunk the response is incomplete, and the connection is closed.
            outcome = if (end is AttemptEnd.CallerGone) "caller_gone" else "broken_off"
        } else if (isInTime && end is AttemptEnd.Answered) {
            response.respond(
                end.reply.status,
                EndToEndHeaders.of(end.reply.headers),
                end.reply.body
            )
            outcome = if (end.reply.status < MIN_SERVER_ERROR) "answered" else "server_failed"
        } else {
            val error = errorFor(isInTime)
            sendError(error)
            outcome = error.code
        }
        recordEnd(outcome)
    }

    /** Releases the memory of the response, once it was sent. */
    fun release() = memory.close()

    /** Sends [error] without any attempt. */
    suspend fun refuse(error: RequestError) {
        sendError(error)
        recordEnd(error.code)
    }

    private suspend fun sendError(error: RequestError) {
        retryAfterMillis = retryMillisFor(error)
        response.refuse(error, retryAfterMillis)
    }

    /** Returns the time after which the caller should retry, or null if the error states none. */
    private fun retryMillisFor(error: RequestError): Long? {
        val baseMillis = error.retryAfterMillis
        if (baseMillis == null || service.engine == null) return baseMillis
        return when (error) {
            is RequestError.Overloaded, is RequestError.NoCapacity ->
                retryAfterJitter.retryAfterMillis(baseMillis, timeouts.remainingMillis)

            else -> baseMillis
        }
    }

    /** Reports the end of the request to metrics and log. */
    fun recordEnd(outcome: String) {
        observer.onEnd(context, outcome)
        log.record(
            "request",
            "ended",
            "request" to context.id,
            "outcome" to outcome,
            "status" to response.status,
            "route" to context.route.name,
            "priority" to context.priority,
            "organisation" to context.organisation?.name,
            "sends" to limit.sends,
            "events" to relay?.events,
            "retry_after_ms" to retryAfterMillis,
            "ms" to clock.monotonicMillis() - context.arrivedAtMillis
        )
    }

    /** Returns the error to send if no server gave a valid response. */
    private fun errorFor(isInTime: Boolean): RequestError = when {
        limit.hasPossiblyRun && isInTime ->
            RequestError.BackendFailed("the backend server failed", Execution.UNKNOWN)

        // A request without a response at the deadline may have run.
        !isInTime && hasSelected -> RequestError.DeadlineExceeded(Execution.UNKNOWN)

        !hasTimeForAttempt() -> RequestError.NotServing(
            "the instance is stopping",
            RequestRouter.STOPPING_RETRY_MILLIS
        )

        else -> RequestError.NoCapacity(
            "no backend server accepted the request",
            noCapacityRetryMillis()
        )
    }

    /**
     * Returns the time until a server may accept work again. For engines, and if all remaining
     * servers of a plain service are paused, this is the end of the first pause, if there is one.
     */
    private fun noCapacityRetryMillis(): Long {
        suspects.findBlockedPart(context.sharedPromptParts)?.let { return it.retryAfterMillis }
        val servers = directory.usableServers(service.name).map { it.id }
        val isPausing =
            service.engine != null || servers.all { it in excluded || pauses.isPaused(it) }
        val pauseEndMillis = if (isPausing) pauses.millisUntilFirstEnd(servers) else null
        return pauseEndMillis ?: RECOVERY_MILLIS
    }

    private companion object {
        /** Lowest status code of responses that are no answers. */
        const val MIN_REDIRECT = 300

        /** Lowest status code of server errors. */
        const val MIN_SERVER_ERROR = 500

        /** Multiple of the latency target in which a plain request usually ends. */
        const val PLAIN_TARGET_FACTOR = 2

        /**
         * Limit of the time that an attempt at a stop needs to be allowed; services that are slower
         * are still served while the load balancer sends their requests.
         */
        const val MAX_NEEDED_MILLIS = 2_000L

        /** Estimated time to first event of a timed-out attempt, as a multiple of its wait. */
        const val TIMED_OUT_FACTOR = 2

        /** Time after which the answers that a crash broke have moved to other servers. */
        const val SUSPECT_DELAY_MILLIS = 1_200L

        const val SUSPECT_CHECK_INTERVAL_MILLIS = 50L

        /** Share of the silence that a caller tolerates after which a suspect is retried. */
        const val SUSPECT_WAIT_SHARE = 0.7

        /** Servers that one request may find unreachable before it is refused. */
        const val MAX_UNREACHABLE_SERVERS = 4

        /** Crashed servers restart, and layers load on other engines, in about a second. */
        const val RECOVERY_MILLIS = 1_000L
    }
}
