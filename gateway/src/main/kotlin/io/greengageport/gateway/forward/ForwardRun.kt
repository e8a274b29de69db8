package io.greengageport.gateway.forward

import io.greengageport.common.Execution
import io.greengageport.common.RankName
import io.greengageport.common.RequestError
import io.greengageport.common.RunnerId
import io.greengageport.gateway.model.BackendServer
import io.greengageport.gateway.port.AnswerHeaders
import io.greengageport.gateway.port.Dispatch
import io.greengageport.gateway.state.StallCause
import io.greengageport.routing.RetryDecision
import io.greengageport.routing.SuspectVerdict
import kotlinx.coroutines.delay

/**
 * The attempts of one request, and the answer that comes of them.
 *
 * [attempts] sends the request until an attempt is final, none is allowed or no server is left;
 * [conclude] then answers, unless a streamed answer has been sent already.
 */
internal class ForwardRun(
    parts: ForwardParts,
    private val context: RequestContext,
    private val answer: CallerAnswer
) {
    private val exchange = parts.exchange
    private val plain = parts.plain
    private val chains = parts.chains
    private val directory = parts.directory
    private val inFlight = parts.inFlight
    private val health = parts.health
    private val pauses = parts.pauses
    private val diagnosis = parts.diagnosis
    private val suspects = parts.suspects
    private val retryBudget = parts.retryBudget
    private val observer = parts.observer
    private val log = parts.log
    private val clock = parts.clock
    private val background = parts.background
    private val returns = parts.returns
    private val firstEventTimes = parts.firstEventTimes
    private val service = context.service
    private val selector = if (service.engine == null) plain else chains
    private val limit =
        AttemptLimit(context.route.repeatability, context.route.maxAttempts)
    private val times = AttemptTimes(context, limit, firstEventTimes, clock)

    /** Servers that failed this request. */
    private val excluded = HashSet<RunnerId>()

    /** Members of chains that failed for an unknown reason; used where there are no others. */
    private val avoided = HashSet<RunnerId>()
    private val relay = if (context.route.isStreaming) newRelay() else null
    private var last: AttemptEnd? = null
    private var hadSelection = false
    private var startedAtMillis = 0L
    private var returnAfterMillis: Long? = null

    suspend fun attempts() {
        while (true) {
            val selection = select() ?: return
            hadSelection = true
            if (!mayStart(selection)) return
            val end = attempt(selection)
            last = end
            limit.ended(end)
            observer.onAttempt(service.name, end)
            if (isFinal(end)) return
            logFailure(selection, end)
            if (!limit.allowsAnother() || !budgetAllows(end)) return
        }
    }

    private fun select(): Selection? {
        val busy = if (suspects.verdict(context.fingerprint) == SuspectVerdict.CLEAR) {
            emptySet()
        } else {
            suspects.markedBusy()
        }
        val out = excluded + busy + pauses.paused()
        return (if (avoided.isEmpty()) null else selector.select(context, out + avoided))
            ?: selector.select(context, out)
    }

    private fun mayStart(selection: Selection) = suspects.tryStart(
        context.id,
        context.fingerprint,
        selection.members,
        events = { relay?.events ?: 0 }
    )

    private suspend fun attempt(selection: Selection): AttemptEnd {
        startedAtMillis = clock.monotonicMillis()
        count(selection, inFlight::add)
        try {
            val watched = if (times.mayGoOnElsewhere) selection.members else emptyList()
            val end = exchange.run(
                context,
                dispatch(selection),
                times.headMillis(),
                relay,
                watched
            ) {
                heed(selection.server, it)
            }
            judge(selection, end, clock.monotonicMillis() - startedAtMillis)
            return if (end == AttemptEnd.Streamed && relay?.finish() == false) {
                AttemptEnd.Broken("the answer ended within an event")
            } else {
                end
            }
        } finally {
            suspects.ended(context.id)
            count(selection, inFlight::remove)
        }
    }

    /** Takes note of what [server], the first one that the attempt reached, says of itself. */
    private fun heed(server: BackendServer, answer: AnswerHeaders) {
        if (answer.load != null) plain.onLoad(server.id, answer.load)
        if (answer.isServerLeaving) directory.onLeaving(server.id, server.startedAtMillis)
        answer.pauseMillis?.let { pauses.onPause(server.id, it) }
    }

    private inline fun count(selection: Selection, change: (RunnerId, Long) -> Unit) {
        selection.members.forEachIndexed { i, m ->
            change(m, context.tokens.toLong() * selection.layersOf(i))
        }
    }

    private fun dispatch(selection: Selection) = Dispatch(
        server = selection.server,
        remainingMillis = times.leftMillis,
        organisation = context.organisation?.name?.value,
        priority = context.priority.takeIf { service.engine != null },
        chain = selection.stages,
        resumeAfterEvent = relay?.lastEventId
    )

    private fun newRelay() = StreamRelay(
        answer = answer,
        endToEnd = EndToEndHeaders::of,
        gapMillis = times::gapMillis,
        firstId = context.caller.lastEventId,
        onEvent = { suspects.progressed(context.id, it) },
        onFirstEvent = {
            firstEventTimes.record(service.name, clock.monotonicMillis() - startedAtMillis)
            observer.onFirstEvent(context)
        }
    )

    /** Tells what the end of an attempt says of the servers, and leaves them out from now. */
    private suspend fun judge(selection: Selection, end: AttemptEnd, millis: Long) {
        val first = selection.server.id
        when (end) {
            is AttemptEnd.Streamed -> {
                suspects.completed(context.id)
                health.succeeded(selection.members, 1)
            }

            is AttemptEnd.Answered -> if (end.reply.status < SERVER_ERRORS) {
                suspects.completed(context.id)
                health.succeeded(selection.members, millis)
            } else {
                excluded += first
                health.failed(service.name, listOf(first))
            }

            is AttemptEnd.NotConnected -> {
                excluded += first
                suspects.refused(first)
                health.unreachable(service.name, first)
            }

            is AttemptEnd.NotRun -> {
                val stage = end.stage?.let { directory.at(it)?.id }
                excluded += stage ?: first
                // A full server says so itself; another stage may be gone.
                if (stage != null && stage != first) {
                    background { health.refusedBy(service.name, stage) }
                }
            }

            is AttemptEnd.Broken -> blame(selection, end)

            is AttemptEnd.CallerGone -> Unit
        }
    }

    private suspend fun blame(selection: Selection, end: AttemptEnd.Broken) {
        val first = selection.server.id
        if (selection.members.size == 1 || !end.isSilent) {
            if (!end.isSilent) suspects.lost(first)
            excluded += first
            health.failed(service.name, listOf(first))
            return
        }
        val known = selection.members.filterTo(HashSet(), health::isUnreachable)
        val cause = if (known.isEmpty()) {
            diagnosis.causeAt(selection.server)
        } else {
            StallCause.Stages(known)
        }
        when (cause) {
            is StallCause.Stages -> {
                val stages = cause.stages.filter { it in selection.members }
                excluded += stages
                stages.forEach(suspects::lost)
                stages.forEach { health.unreachable(service.name, it) }
            }

            is StallCause.FirstStage -> {
                excluded += first
                health.unreachable(service.name, first)
            }

            is StallCause.Unknown -> {
                avoided += selection.members
                // Without a stage at fault the service is slow as a whole; it must not be
                // made slower by repeats.
                val waited = clock.monotonicMillis() - startedAtMillis
                firstEventTimes.record(service.name, SLOW_FACTOR * waited)
            }
        }
    }

    private fun isFinal(end: AttemptEnd): Boolean = when (end) {
        is AttemptEnd.Streamed, is AttemptEnd.CallerGone -> true
        is AttemptEnd.Answered -> end.reply.status < SERVER_ERRORS
        is AttemptEnd.NotConnected, is AttemptEnd.NotRun, is AttemptEnd.Broken -> false
    }

    private suspend fun budgetAllows(end: AttemptEnd): Boolean {
        // What was never sent is no repeat for the server that gets it next.
        if (end is AttemptEnd.NotConnected) return excluded.size <= MAX_UNREACHABLE
        val rank = RankName(context.priority.toString())
        val decision = retryBudget(service.name).tryRetry(maxOf(1, limit.sends), rank)
        return when (decision) {
            is RetryDecision.Allowed -> {
                delay(decision.delayMillis)
                true
            }

            is RetryDecision.Denied -> {
                log.record("retry", "denied", "request" to context.id, "budget" to decision)
                false
            }
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
            "left_ms" to times.leftMillis
        )
    }

    private fun describe(end: AttemptEnd): String = when (end) {
        is AttemptEnd.Answered -> "Answered(status=${end.reply.status})"
        else -> end.toString()
    }

    /** Answers with what the attempts came to, unless the answer is sent already. */
    suspend fun conclude(isInTime: Boolean) {
        val end = last
        val outcome: String
        if (end is AttemptEnd.Streamed && answer.isComplete) {
            outcome = "streamed"
        } else if (answer.isStarted) {
            // Without its end the answer does not look complete; the connection is closed.
            outcome = if (end is AttemptEnd.CallerGone) "caller_gone" else "broken_off"
        } else if (isInTime && end is AttemptEnd.Answered) {
            answer.respond(
                end.reply.status,
                EndToEndHeaders.of(end.reply.headers),
                end.reply.body
            )
            outcome = if (end.reply.status < SERVER_ERRORS) "answered" else "server_failed"
        } else {
            val error = error(isInTime)
            refuseWith(error)
            outcome = error.code
        }
        ended(outcome)
    }

    /** Answers with [error] before any attempt. */
    suspend fun refuse(error: RequestError) {
        refuseWith(error)
        ended(error.code)
    }

    private suspend fun refuseWith(error: RequestError) {
        returnAfterMillis = returnMillis(error)
        answer.refuse(error, returnAfterMillis)
    }

    /** When the caller should come back, in ms; null if the error states no time. */
    private fun returnMillis(error: RequestError): Long? {
        val relief = error.retryAfterMillis
        if (relief == null || service.engine == null) return relief
        return when (error) {
            is RequestError.Overloaded, is RequestError.NoCapacity ->
                returns.returnMillis(relief, times.leftMillis)

            else -> relief
        }
    }

    fun ended(outcome: String) {
        observer.onEnd(context, outcome)
        log.record(
            "request",
            "ended",
            "request" to context.id,
            "outcome" to outcome,
            "status" to answer.status,
            "route" to context.route.name,
            "priority" to context.priority,
            "organisation" to context.organisation?.name,
            "sends" to limit.sends,
            "events" to relay?.events,
            "retry_after_ms" to returnAfterMillis,
            "ms" to clock.monotonicMillis() - context.arrivedAtMillis
        )
    }

    private fun error(isInTime: Boolean): RequestError = when {
        limit.mayHaveRun && isInTime ->
            RequestError.BackendFailed("the backend server failed", Execution.UNKNOWN)

        // A request that was sent and not answered yet counts as run as well.
        !isInTime && hadSelection -> RequestError.DeadlineExceeded(Execution.UNKNOWN)

        else -> RequestError.NoCapacity("no backend server took the request", retryMillis())
    }

    /** When a server may take work again: at the end of a pause if all that are left pause. */
    private fun retryMillis(): Long {
        val servers = directory.usable(service.name).map { it.id }
        val isPausing =
            service.engine != null || servers.all { it in excluded || pauses.isPaused(it) }
        val soonest = if (isPausing) pauses.soonestMillis(servers) else null
        return soonest ?: RETRY_MILLIS
    }

    private companion object {
        /** Statuses from here on are failures of the server. */
        const val SERVER_ERRORS = 500

        /** What an answer that was given up would have taken, in times of the wait for it. */
        const val SLOW_FACTOR = 2

        /** Servers that may be found unreachable for one request. */
        const val MAX_UNREACHABLE = 4

        /** Crashed servers are back, and layers loaded elsewhere, after about a second. */
        const val RETRY_MILLIS = 1_000L
    }
}
