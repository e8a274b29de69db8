package io.greengageport.gateway.forward

import io.greengageport.common.Execution
import io.greengageport.common.RankName
import io.greengageport.common.RequestError
import io.greengageport.common.RequestId
import io.greengageport.common.RunnerId
import io.greengageport.gateway.model.BackendServer
import io.greengageport.gateway.port.Dispatch
import io.greengageport.gateway.port.ResponseHeaders
import io.greengageport.gateway.state.StallCause
import io.greengageport.routing.RetryDecision
import io.greengageport.routing.SuspectVerdict
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch

/**
 * Runs the attempts of one request and sends the response.
 *
 * [runAttempts] sends the request until an attempt is final, no further attempt is allowed or no
 * server is available. [sendResult] then sends the response, unless a streamed one was sent.
 *
 * Beside an attempt that is silent runs one that may replace it. Whichever of the two responds
 * first goes on, and the other one is ended: a silent server may be sound, and the other server may
 * refuse the request or fail.
 */
internal class RequestAttempts(
    dependencies: ForwardingDependencies,
    private val context: RequestContext,
    private val response: CallerResponse
) {
    private val exchange = dependencies.exchange
    private val plainSelector = dependencies.plainSelector
    private val directory = dependencies.directory
    private val inFlight = dependencies.inFlight
    private val health = dependencies.health
    private val path = dependencies.path
    private val pauses = dependencies.pauses
    private val serverNotices = dependencies.serverNotices
    private val isWithoutServers = dependencies.isWithoutServers
    private val diagnosis = dependencies.diagnosis
    private val suspects = dependencies.suspects
    private val observer = dependencies.observer
    private val log = dependencies.log
    private val clock = dependencies.clock
    private val answersUntilMillis = dependencies.answersUntilMillis
    private val retryAfterJitter = dependencies.retryAfterJitter
    private val firstEventTimes = dependencies.firstEventTimes
    private val responseMemory = dependencies.responseMemory
    private val memoryShare = ResponseMemory.RequestShare()
    private val service = context.service
    private val limit =
        AttemptLimit(context.route.repeatability, context.route.maxAttempts)
    private val timeouts = AttemptTimeouts(context, limit, firstEventTimes, clock)
    private val targets =
        RequestTargets(dependencies, context, limit, timeouts.canContinueElsewhere)
    private val retries = RequestRetries(
        budget = { dependencies.retryBudget(service.name) },
        rank = RankName(context.priority.toString())
    )
    private val relay = if (context.route.isStreaming) newRelay() else null

    /** The attempts that have not ended: one, and beside a silent one its replacement. */
    private val running = ArrayList<RunningAttempt>()

    /** The attempt of [running] that has the stream; null if it has ended beside another one. */
    private var current: RunningAttempt? = null
    private var startedAttempts = 0

    /** The memory of the last response that was read completely, which the caller may get. */
    private var answerMemory: ResponseMemory.Reservation? = null
    private var lastEnd: AttemptEnd? = null
    private var hasSelected = false
    private var retryAfterMillis: Long? = null

    /** Runs attempts until the request is complete, cannot be retried or finds no server. */
    suspend fun runAttempts() {
        try {
            runUntilFinal()
        } finally {
            retries.close()
        }
    }

    private suspend fun runUntilFinal() {
        while (true) {
            if (isWithoutServers()) return
            val selection = selectOrWait() ?: return
            hasSelected = true
            if (!hasTimeForAttempt()) return
            val end = runWithReplacements(selection) ?: return
            if (isFinal(end)) return
            if (!limit.canRetry() || relay?.canContinue == false) return
            delaySuspect()
            if (!budgetAllows(end)) return
        }
    }

    /**
     * Runs an attempt, and its replacements if it is silent, until one of them is final or all have
     * ended. Returns the last end, or null if the request must not run at the selected servers.
     */
    private suspend fun runWithReplacements(selection: Selection): AttemptEnd? {
        val attempt = newAttempt(selection)
        if (!canStart(attempt)) return null
        current = attempt
        return coroutineScope {
            val group = AttemptGroup(this)
            group.launch(attempt)
            group.awaitLastEnd()
        }
    }

    private fun newAttempt(selection: Selection): RunningAttempt {
        startedAttempts++
        val id = context.id.value
        // Attempts that run at the same time must not share an id.
        val attemptId = if (startedAttempts == 1) id else "$id/$startedAttempts"
        val memory = responseMemory.Reservation(memoryShare)
        return RunningAttempt(RequestId(attemptId), selection, memory)
    }

    /** The attempts that run at the same time, in [scope]. */
    private inner class AttemptGroup(private val scope: CoroutineScope) {
        /** The ends of attempts; null if the request was not sent. */
        private val ends = Channel<AttemptEnd?>(Channel.UNLIMITED)
        private var awaitedEnds = 0

        /**
         * Runs [attempt] once [prepare] returns, unless that returns false. The attempt counts as
         * in flight from now on, so that attempts that are replaced together do not all select one
         * free slot.
         */
        fun launch(attempt: RunningAttempt, prepare: suspend () -> Boolean = { true }) {
            awaitedEnds++
            running += attempt
            attempt.retry = retries.use()
            updateInFlight(attempt.selection, inFlight::add)
            attempt.job = scope.launch(start = CoroutineStart.UNDISPATCHED) {
                var end: AttemptEnd? = null
                try {
                    if (prepare()) end = run(attempt, this@AttemptGroup)
                } catch (e: CancellationException) {
                    // An await that was cancelled elsewhere throws this too; the request fails.
                    if (scope.isActive && !attempt.isSuperseded) ends.close(e)
                    throw e
                } finally {
                    running -= attempt
                    updateInFlight(attempt.selection, inFlight::remove)
                    if (current === attempt) current = null
                    if (attempt.isSuperseded && attempt.isSent) end = AttemptEnd.Superseded
                    val isUnsent =
                        end is AttemptEnd.NotConnected || (end == null && !attempt.isSent)
                    if (isUnsent) retries.onUnsent(attempt.retry, isLast = running.isEmpty())
                    end?.let { recordEnd(attempt, it) }
                    keepMemory(attempt, end)
                    attempt.hasReplaced.complete(false)
                    ends.trySend(end)
                }
            }
        }

        /**
         * Waits until an end is final or all attempts have ended, and abandons the others. Returns
         * the last end.
         */
        suspend fun awaitLastEnd(): AttemptEnd? {
            var last: AttemptEnd? = null
            while (awaitedEnds > 0) {
                val end = ends.receive()
                awaitedEnds--
                if (end == null || end == AttemptEnd.Superseded) continue
                last = end
                if (isResponse(end)) break
            }
            running.toList().forEach(::supersede)
            lastEnd = last ?: lastEnd
            return last
        }
    }

    /** Whether [end] is final, and no other attempt has begun a stream before. */
    private fun isResponse(end: AttemptEnd) =
        isFinal(end) && (end !is AttemptEnd.Answered || !response.isStarted)

    private fun supersede(attempt: RunningAttempt) {
        attempt.isSuperseded = true
        attempt.job.cancel()
    }

    /** Ends the attempts that were to replace [attempt], which goes on. */
    private fun supersedeOthers(attempt: RunningAttempt) {
        if (running.size == 1) return
        running.filter { it !== attempt && !it.isReplaced }.forEach(::supersede)
    }

    /** Releases the memory of [attempt] unless the caller may get the response to it. */
    private fun keepMemory(attempt: RunningAttempt, end: AttemptEnd?) {
        if (end is AttemptEnd.Answered) {
            answerMemory?.close()
            answerMemory = attempt.memory
        } else {
            attempt.memory.close()
        }
    }

    private fun recordEnd(attempt: RunningAttempt, end: AttemptEnd) {
        limit.recordEnd(end)
        context.mayHaveRun = limit.hasPossiblyRun || running.any { it.isSent }
        observer.onAttempt(service.name, end)
        if (!isFinal(end)) logFailure(attempt, end)
    }

    private fun canStart(attempt: RunningAttempt) = suspects.tryStart(
        attempt.id,
        context.fingerprint,
        attempt.selection.members,
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

    private suspend fun run(attempt: RunningAttempt, group: AttemptGroup): AttemptEnd {
        val selection = attempt.selection
        attempt.sentAtMillis = clock.monotonicMillis()
        attempt.resumedAfterEvent = relay?.lastEventId
        attempt.stream = relay?.let { newStream(attempt, it) }
        context.isAtServer = true
        context.mayHaveRun = true
        try {
            val monitored = if (timeouts.canContinueElsewhere) selection.members else emptyList()
            val silence = AttemptSilence(attempt, group)
            var end = send(attempt, silence, monitored)
            if (shouldResend(end)) {
                limit.recordStaleConnection()
                health.recordFailure(service.name, listOf(selection.server.id))
                logFailure(attempt, end)
                val retry = retries.use()
                val second = send(attempt, silence, monitored)
                if (second is AttemptEnd.NotConnected) retries.onUnsent(retry, isLast = true)
                // The server may have run the first send, whatever it says about the second one.
                if (second !is AttemptEnd.NotRun && second !is AttemptEnd.NotConnected) end = second
            }
            val millis = clock.monotonicMillis() - attempt.sentAtMillis
            return finish(attempt, end).also {
                targets.recordEnd(attempt, it, millis, answerEvents())
            }
        } finally {
            context.isAtServer = running.any { it !== attempt && it.isSent }
            suspects.recordEnd(attempt.id)
        }
    }

    private suspend fun send(
        attempt: RunningAttempt,
        silence: SilencePolicy,
        monitored: List<RunnerId>
    ) = exchange.run(
        context,
        newDispatch(attempt.selection),
        timeouts.headTimeoutMillis(),
        attempt.memory,
        silence,
        attempt.stream,
        monitored
    ) { responseHeaders, isTunnelled ->
        applyHeaders(attempt.selection.server, responseHeaders, isTunnelled)
    }

    /**
     * Whether an attempt that ended with [end] is sent again to the same server, on a new
     * connection. The bytes on a kept connection may belong to an earlier request, so the server
     * may be sound. As it adds no server to the request, it is done once no other one may get it.
     */
    private suspend fun shouldResend(end: AttemptEnd): Boolean {
        if (end !is AttemptEnd.Broken || !end.isStaleConnection) return false
        if (limit.canRetryAfterRun() && running.size == 1) return false
        if (!limit.canResend() || timeouts.remainingMillis <= 0) return false
        val decision = tryRetry(limit.sends + 1)
        if (decision is RetryDecision.Allowed) delay(decision.delayMillis)
        return decision is RetryDecision.Allowed
    }

    /** Completes the response if [end] is that of a whole stream; returns the actual end. */
    private suspend fun finish(attempt: RunningAttempt, end: AttemptEnd): AttemptEnd {
        val stream = attempt.stream
        if (end != AttemptEnd.Streamed || stream == null) return end
        // A response without length or chunks ends with its connection, also within an event.
        if (stream.isWithinEvent) return AttemptEnd.Broken("the response ended within an event")
        if (current !== attempt && !tryTakeOver(attempt)) return AttemptEnd.Superseded
        supersedeOthers(attempt)
        stream.finish()
        return end
    }

    private fun newStream(attempt: RunningAttempt, relay: StreamRelay) = AttemptStream(
        relay,
        hasStream = { current === attempt },
        tryTakeOver = { tryTakeOver(attempt) }
    )

    /**
     * Gives the stream to [attempt]. Returns false if another attempt has replaced it, or has
     * advanced the stream since the request was sent: the events that this one brings would then
     * repeat others. Comments and repeated events do not advance it.
     */
    private fun tryTakeOver(attempt: RunningAttempt): Boolean {
        val hasAdvanced =
            relay?.lastEventId != attempt.resumedAfterEvent || relay?.canContinue == false
        if (attempt.isReplaced || hasAdvanced) return false
        current?.isReplaced = true
        current = attempt
        attempt.hasReplaced.complete(true)
        return true
    }

    /** Applies the load, leaving state and pause that [server] reports in its response headers. */
    private fun applyHeaders(
        server: BackendServer,
        responseHeaders: ResponseHeaders,
        isTunnelled: Boolean
    ) {
        if (responseHeaders.load != null) plainSelector.onLoad(server.id, responseHeaders.load)
        if (responseHeaders.isServerLeaving) directory.onLeaving(server.id, server.startedAtMillis)
        responseHeaders.pauseMillis?.let { pauses.onPause(server.id, it) }
        if (isTunnelled) {
            serverNotices.record(
                server,
                responseHeaders.isServerLeaving,
                responseHeaders.pauseMillis
            )
        }
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
        onEvent = { events -> current?.let { suspects.recordProgress(it.id, events) } },
        onFirstEvent = {
            current?.let { firstEventTimes.record(service.name, millisSinceSent(it)) }
            observer.onFirstEvent(context)
        }
    )

    private fun millisSinceSent(attempt: RunningAttempt) =
        clock.monotonicMillis() - attempt.sentAtMillis

    /**
     * Starts another attempt beside a silent one, which is given up once the other one responds.
     * If there is none, the attempt ends with its server, at the deadline or when the caller
     * disconnects. That its first stage waits for another stage is no reason to end it: that stage
     * may be sound, and if it is lost, the first stage ends the response itself.
     */
    private inner class AttemptSilence(
        private val attempt: RunningAttempt,
        private val group: AttemptGroup
    ) : SilencePolicy {
        private var examinations = 0
        private var cause: StallCause? = null
        private var isRecorded = false

        override suspend fun examine() {
            examinations++
            // A connection from before the end of a cut stays silent for a while after it.
            if (path.wasCutOffSince(attempt.sentAtMillis)) {
                cause = StallCause.NoPath
                return
            }
            val selection = attempt.selection
            if (selection.members.size == 1) {
                if (!isRecorded) cause = unlessCutOff(null)
                return
            }
            val unreachable = selection.members.filterTo(HashSet(), health::isUnreachable)
            // Whether a server is unreachable can be known from a slow connection only.
            cause = if (examinations == 1 && unreachable.isNotEmpty()) {
                unlessCutOff(StallCause.Stages(unreachable))
            } else {
                diagnosis.findCause(selection.server)
            }
        }

        private suspend fun unlessCutOff(cause: StallCause?): StallCause? =
            if (path.isFailureOfServer(attempt.selection.server.id)) cause else StallCause.NoPath

        override suspend fun awaitReplacement(): Boolean {
            targets.recordSilence(attempt, cause, isFirst = !isRecorded)
            if (cause != StallCause.NoPath) isRecorded = true
            if (running.size > 1 && current !== attempt) return false
            val other = running.firstOrNull { it !== attempt } ?: startReplacement()
            logDecision(other)
            return other?.hasReplaced?.await() ?: false
        }

        override fun onAdvance() {
            if (current === attempt) supersedeOthers(attempt)
        }

        private fun startReplacement(): RunningAttempt? {
            val selection = selectReplacement() ?: return null
            val decision = tryRetry(limit.sends + 1, shouldLog = examinations == 1)
            if (decision !is RetryDecision.Allowed) return null
            val other = newAttempt(selection)
            group.launch(other) {
                delaySuspect()
                delay(decision.delayMillis)
                targets.isAvailable(selection) && canStart(other)
            }
            return other
        }

        private fun logDecision(other: RunningAttempt?) = log.record(
            "silence",
            if (other == null) "kept" else "replacing",
            "request" to context.id,
            "server" to attempt.selection.server.id,
            "cause" to cause,
            "replacement" to other?.selection?.server?.id,
            "examinations" to examinations,
            "events" to relay?.events,
            "attempt_ms" to millisSinceSent(attempt)
        )
    }

    /** Returns the target of another attempt beside a silent one, or null if none is possible. */
    private fun selectReplacement(): Selection? {
        if (!limit.canRetryAfterRun() || relay?.canContinue == false) return null
        if (isWithoutServers()) return null
        if (timeouts.remainingMillis <= 0 || !hasTimeForAttempt()) return null
        val isBlocked = suspects.verdict(context.fingerprint) == SuspectVerdict.BLOCKED ||
            suspects.findBlockedPart(context.sharedPromptParts) != null
        return if (isBlocked) null else targets.selectReplacement()
    }

    private fun isFinal(end: AttemptEnd): Boolean = when (end) {
        is AttemptEnd.Streamed, is AttemptEnd.CallerGone -> true

        is AttemptEnd.Answered -> end.reply.status < MIN_SERVER_ERROR

        is AttemptEnd.NotConnected, is AttemptEnd.NotRun, is AttemptEnd.Broken,
        is AttemptEnd.Superseded -> false
    }

    private suspend fun budgetAllows(end: AttemptEnd): Boolean {
        if (end is AttemptEnd.NotConnected) {
            val unreachable = maxOf(targets.excludedCount, targets.unconnectedCount)
            if (unreachable > MAX_UNREACHABLE_SERVERS) return false
            // The first send adds no load to that of the request, and a retry that is held is paid.
            if (limit.sends == 0 || retries.isHeld) return true
        }
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
        val decision = retries.tryRetry(attempts)
        if (shouldLog && decision is RetryDecision.Denied) {
            log.record("retry", "denied", "request" to context.id, "budget" to decision)
        }
        return decision
    }

    /**
     * Delays the retry of a request that may have crashed its server. A second crash would break
     * the answers that have just moved to another server; and if a part of the prompt is the cause,
     * another request with it has often shown that meanwhile.
     */
    private suspend fun delaySuspect() {
        if (context.sharedPromptParts.isEmpty() || !isSuspect()) return
        // A request that will not run again gets its final response at once.
        if (suspects.findBlockedPart(context.sharedPromptParts) != null) return
        delay(minOf(SUSPECT_DELAY_MILLIS, millisToWaitAsSuspect()))
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
            targets.select()?.let { return it }
            val canWait = suspects.runnersWithMarkedRequests().isNotEmpty() && isSuspect() &&
                millisToWaitAsSuspect() > SUSPECT_CHECK_INTERVAL_MILLIS
            if (!canWait) return null
            delay(SUSPECT_CHECK_INTERVAL_MILLIS)
        }
    }

    private fun logFailure(attempt: RunningAttempt, end: AttemptEnd) {
        val selection = attempt.selection
        log.record(
            "attempt",
            if (end is AttemptEnd.Superseded) "superseded" else "failed",
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
    fun release() {
        answerMemory?.close()
    }

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

        isWithoutServers() -> RequestForwarder.noPathError()

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
        return targets.millisUntilPauseEnds() ?: RECOVERY_MILLIS
    }

    private companion object {
        /** Lowest status code of server errors. */
        const val MIN_SERVER_ERROR = 500

        /** Multiple of the latency target in which a plain request usually ends. */
        const val PLAIN_TARGET_FACTOR = 2

        /**
         * Limit of the time that an attempt at a stop needs to be allowed; services that are slower
         * are still served while the load balancer sends their requests.
         */
        const val MAX_NEEDED_MILLIS = 2_000L

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
