package io.greengageport.entry

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import io.greengageport.common.Execution
import io.greengageport.common.LayerRange
import io.greengageport.common.RequestError
import io.greengageport.common.RunnerId
import io.greengageport.ports.GenerateRequest
import io.greengageport.ports.RouteHop
import io.greengageport.ports.TokenFrame
import io.greengageport.routing.AnswerAssembler
import io.greengageport.routing.AnswerFrame
import io.greengageport.routing.CostModel
import io.greengageport.routing.FrameOutcome
import io.greengageport.routing.PlannedStage
import io.greengageport.routing.PrefixIndex
import io.greengageport.routing.ReservationRequest
import io.greengageport.routing.RetryDecision
import io.greengageport.routing.RoutingDecision
import io.greengageport.routing.RoutingFailure
import io.greengageport.routing.RoutingRequest
import io.greengageport.routing.SuspectVerdict
import io.greengageport.routing.TracedStage
import kotlinx.coroutines.delay

/** Runs all attempts of one model request. Not thread-safe: confined to one coroutine. */
internal class ModelRun(
    private val deps: ModelDependencies,
    private val call: ModelCall,
    private val admission: ServiceAdmission,
    private val sink: TokenSink
) {
    private val context = call.context
    private val model =
        requireNotNull(context.service.settings.model) { "the service is not a model service" }
    private val assembler = AnswerAssembler(context.id, model.layers)
    private val excluded = mutableSetOf<RunnerId>()
    private val suspects = deps.backends.suspects
    private val diagnosis = FailureDiagnosis(deps, context)
    private var current: Attempt? = null
    private var execution = Execution.NOT_RUN

    /** Attempts that reached a backend server and count towards the limit on attempts. */
    private var countedAttempts = 0

    /** The version that the caller asked for; from the first token on, that token's version. */
    private var version = call.version

    /**
     * Whether the request is marked as a possible cause of crashes and has not yet got past the
     * token at which a runner crashed. Meanwhile no other marked request shares its runners.
     */
    private var isMarked = false

    /** Whether the attempt has reserved its runners. */
    private var isReserved = false

    /** Runners that were busy with other marked requests at the last attempt to reserve. */
    private var reservedByOthers = emptySet<RunnerId>()

    /** Runs attempts until the answer is complete, and returns its number of tokens. */
    suspend fun run(): Result<Int, RequestError> {
        while (true) {
            if (isPastDeadline()) return Err(RequestError.DeadlineExceeded(execution, RETRY_MILLIS))
            val decision = plan().getOrElse { return Err(it) }
            val failure = runAttempt(decision)
            if (assembler.isComplete) {
                admission.recordAnswerLength(context, assembler.size)
                return Ok(assembler.size)
            }
            if (isPastDeadline()) return Err(RequestError.DeadlineExceeded(execution, RETRY_MILLIS))
            excluded += diagnosis.diagnose(decision, failure)
            deps.decisions.record(
                context.id,
                "routing",
                "attempt=${assembler.attempt} ended: $failure, excluded=${excluded.sorted()}"
            )
            // Released only after the diagnosis: before it, a copy of the request would not be
            // known to crash runners and could start on the same ones.
            release()
            awaitRetry(failure)?.let { return Err(it) }
        }
    }

    /** Releases the reservation and cancels the attempt that an interruption left running. */
    suspend fun close() {
        // Otherwise the ended request would block marked requests from its runners permanently.
        suspects.recordEnd(context.id)
        release()
        val attempt = current ?: return
        finishAttempt(attempt, "cancelled")
        deps.engines.cancel(attempt.address, context.id)
    }

    private fun isPastDeadline() = deps.clock.monotonicMillis() >= context.deadlineAtMillis

    /** Waits until a chain is available on which the request may start, and returns it. */
    private suspend fun plan(): Result<RoutingDecision, RequestError> {
        while (true) {
            val verdict = suspects.verdict(call.fingerprint)
            if (verdict == SuspectVerdict.BLOCKED) return blockedError()
            val decision =
                if (verdict == SuspectVerdict.MARKED) planMarked() else plan(routingRequest())
            if (decision != null && decision.isErr) return noChainError(decision.error)
            if (decision != null && tryStart(decision.value)) {
                deps.decisions.record(context.id, "routing", decision.value.describe())
                return Ok(decision.value)
            }
            release()
            if (isPastDeadline()) return Err(RequestError.DeadlineExceeded(execution, RETRY_MILLIS))
            delay(MARKED_POLL_MILLIS)
        }
    }

    /**
     * Returns a chain for a marked request, null if it has to wait for other marked requests, or a
     * failure if there is no chain even without them. If the owner of the reservations does not
     * answer, the request runs on the runners assigned to this instance, or on any runners if those
     * form no chain.
     */
    private suspend fun planMarked(): Result<RoutingDecision, RoutingFailure>? {
        val planned = plan(routingRequest(isMarkedRequest = true, avoided = reservedByOthers))
        val decision = planned.getOrElse {
            reservedByOthers = emptySet()
            return if (plan(routingRequest()).isOk) null else planned
        }
        val runners = decision.stages.map { it.id }.toSet()
        val reservation = ReservationRequest(context.id, call.fingerprint, runners)
        val reply = deps.suspects.reserve(context.service.name, reservation)
        reservedByOthers = reply?.busy.orEmpty()
        isReserved = reply?.granted == true
        return when {
            reply == null ->
                plan(routingRequest(isMarkedRequest = true, avoided = runnersOfOtherInstances()))
                    .takeIf { it.isOk }
                    ?: planned

            reply.granted -> planned

            else -> null
        }
    }

    private suspend fun release() {
        if (!isReserved) return
        isReserved = false
        deps.suspects.release(context.service.name, context.id)
    }

    /** Runners that other instances use for marked requests when they cannot reserve runners. */
    private fun runnersOfOtherInstances(): Set<RunnerId> {
        val live = deps.members.live().map { it.id }.sorted()
        val ownIndex = maxOf(0, live.indexOf(deps.members.self))
        val service = context.service.name
        val ownRunners = deps.backends.markedRequestRunners(service, ownIndex, maxOf(1, live.size))
        return deps.backends.fleet.service(service).runners.map { it.id }.toSet() - ownRunners
    }

    private fun plan(request: RoutingRequest): Result<RoutingDecision, RoutingFailure> =
        deps.planner.plan(deps.backends.fleet.service(request.service), request)

    private fun routingRequest(
        isMarkedRequest: Boolean = false,
        avoided: Set<RunnerId> = emptySet()
    ) = RoutingRequest(
        id = context.id,
        service = context.service.name,
        dataCentre = deps.dataCentre,
        attempt = assembler.attempt + 1,
        promptTokens = call.promptTokens + assembler.size,
        outputTokens = maxOf(1, call.maxTokens - assembler.size),
        prefixBlocks = PrefixIndex.blocks(context.service.name.value, call.prompt),
        excluded = excluded + avoided + deps.backends.outliers.ejectedRunners(),
        isMarked = isMarkedRequest,
        runnersWithMarkedRequests = suspects.runnersWithMarkedRequests(),
        version = version,
        fallbackVersions = model.versions.toSet() - model.version
    )

    private fun tryStart(decision: RoutingDecision) =
        suspects.tryStart(context.id, call.fingerprint, decision.stages.map { it.id }) {
            assembler.size
        }.also { if (it) isMarked = suspects.verdict(call.fingerprint) != SuspectVerdict.CLEAR }

    private fun blockedError(): Result<RoutingDecision, RequestError> {
        deps.decisions.record(context.id, "routing", "blocked, it crashed two runners")
        return Err(RequestError.CrashesRunners())
    }

    private fun noChainError(failure: RoutingFailure): Result<RoutingDecision, RequestError> {
        val request = routingRequest()
        val text = failure.logLine(request).substringAfter("failed: ")
        deps.decisions.record(context.id, "routing", "attempt=${request.attempt} failed: $text")
        return if (execution == Execution.NOT_RUN) {
            Err(RequestError.NoCapacity(text, RETRY_MILLIS))
        } else {
            Err(RequestError.BackendFailed("no other chain: $text", execution))
        }
    }

    private suspend fun runAttempt(decision: RoutingDecision): StreamEnd {
        val start = assembler.startAttempt()
        val route = decision.stages.map {
            val l = requireNotNull(it.layers) { "a stage of a model service has no layers" }
            RouteHop(it.id, it.runner.address, l.from, l.until)
        }
        val attempt = Attempt(decision, route, AttemptTiming(decision.stages, deps.clock))
        current = attempt
        val now = deps.clock.wallMillis()
        for (s in decision.stages) deps.backends.loads.recordSent(s.id, s.workTokens, now)
        val previousExecution = execution
        execution = Execution.UNKNOWN
        val end = deps.engines.stream(
            GenerateRequest(
                request = context.id,
                attempt = start.attempt,
                service = context.service.name,
                prompt = call.prompt,
                maxTokens = call.maxTokens,
                firstIndex = start.firstIndex,
                delivered = start.delivered,
                priority = context.rank.settings.priority,
                version = attempt.version.ifEmpty { model.version },
                route = route
            ),
            streamTimeouts(decision)
        ) { onFrame(attempt, it) }
        if (end is StreamEnd.Refused || end is StreamEnd.Unreachable) execution = previousExecution
        finishAttempt(attempt, if (assembler.isComplete) "complete" else end.javaClass.simpleName)
        return end
    }

    private fun streamTimeouts(decision: RoutingDecision): StreamTimeouts {
        val t = context.service.settings.timeouts
        val silenceMillis = maxOf(deps.times.frameTimeoutMillis, t.silenceMillis.toLong())
        val queueMillis = decision.stages.sumOf { it.waitMillis }.toLong()
        return StreamTimeouts(
            connectMillis = t.connectMillis.toLong(),
            // Engines process requests in batches, so the first token need not wait for all queued
            // work.
            firstFrameMillis = 2 * silenceMillis +
                minOf(queueMillis, context.rank.settings.firstTokenMillis.toLong()),
            // An engine serves more urgent requests first; streams that it delays are still alive.
            frameMillis = maxOf(
                silenceMillis,
                SILENT_GAP_FACTOR * context.rank.settings.betweenTokensMillis
            )
        )
    }

    /** Passes a valid frame to the sink; returns how the frame was handled. */
    private suspend fun onFrame(attempt: Attempt, f: TokenFrame): FrameUse {
        val frame = AnswerFrame(
            request = f.request,
            attempt = f.attempt,
            index = f.index,
            text = f.text,
            layers = f.layers.map {
                TracedStage(it.runner, LayerRange(it.from, it.until))
            },
            isLast = f.last
        )
        return when (val outcome = assembler.accept(frame)) {
            is FrameOutcome.Token -> {
                execution = Execution.RAN
                // An answer never mixes versions, even if the settings change while it runs.
                version = attempt.version
                attempt.timing.onFrame(f)
                attempt.received++
                if (attempt.received - attempt.reported >= PROGRESS_TOKENS) reportProgress(attempt)
                if (isMarked && suspects.recordProgress(context.id, assembler.size)) {
                    isMarked = false
                    release()
                }
                sink.onToken(outcome.text, outcome.isLast)
                when {
                    outcome.isLast -> FrameUse.LAST
                    isPastDeadline() -> FrameUse.STOP
                    else -> FrameUse.ACCEPTED
                }
            }

            is FrameOutcome.Dropped -> {
                deps.metrics.droppedFrames.labelValues(outcome.reason.name.lowercase()).inc()
                FrameUse.IGNORED
            }

            is FrameOutcome.WrongTrace -> {
                deps.metrics.droppedFrames.labelValues("wrong_trace").inc()
                deps.decisions.record(context.id, "routing", "wrong layers ${outcome.trace}")
                FrameUse.STOP
            }
        }
    }

    /** Reports the result of an attempt; [endLabel] is the value of its metric label. */
    private fun finishAttempt(attempt: Attempt, endLabel: String) {
        current = null
        assembler.endAttempt()
        val now = deps.clock.wallMillis()
        for (s in attempt.plan.stages) {
            deps.backends.loads.recordFinished(
                s.id,
                s.workTokens - attempt.reported * s.tokenWork(),
                now
            )
        }
        if (!attempt.timing.isEmpty) deps.backends.markReachable(attempt.plan.stages.map { it.id })
        attempt.timing.reportTo(deps.backends.outliers, deps.backends.links)
        attempt.timing.meanGapMillis?.let { admission.recordTokenGap(it) }
        if (assembler.isComplete) {
            suspects.recordCompletion(context.id)?.let { deps.backends.publish(it) }
        }
        deps.metrics.attempts.labelValues(context.service.name.value, endLabel).inc()
    }

    /**
     * Reports tokens to the load estimator while the attempt runs. Later load reports of the engine
     * no longer contain this work, so it must not be subtracted again when the attempt ends.
     */
    private fun reportProgress(attempt: Attempt) {
        val now = deps.clock.wallMillis()
        val tokens = attempt.received - attempt.reported
        for (s in attempt.plan.stages) {
            deps.backends.loads.recordFinished(s.id, tokens * s.tokenWork(), now)
        }
        attempt.reported = attempt.received
    }

    /** Waits for the backoff before the next attempt; returns an error if no retry is allowed. */
    private suspend fun awaitRetry(end: StreamEnd): RequestError? {
        if (deps.retryPolicy == RetryPolicy.ALWAYS) return null
        // Such an attempt costs backend servers no work, and their number is bounded because each
        // excludes a runner.
        if (end is StreamEnd.Unreachable) return null
        if (end is StreamEnd.Refused && end.leaving) return null
        countedAttempts++
        if (countedAttempts >= context.service.settings.retry.maxAttempts) {
            deps.decisions.record(context.id, "routing", "no retry after $countedAttempts attempts")
            return RequestError.BackendFailed("$countedAttempts attempts failed", execution)
        }
        return when (
            val r = deps.retries.tryRetry(
                assembler.attempt,
                context.rank.name,
                repeatedShare(),
                context.service.settings.retry.backoff()
            )
        ) {
            is RetryDecision.Allowed -> {
                delay(minOf(r.delayMillis, MAX_RESUME_DELAY_MILLIS))
                null
            }

            is RetryDecision.Denied -> {
                deps.decisions.record(context.id, "routing", "no retry, the budget is used up")
                if (execution == Execution.NOT_RUN) {
                    RequestError.Overloaded("the retry budget is used up", RETRY_MILLIS)
                } else {
                    RequestError.BackendFailed("a stage failed and no retry is left", execution)
                }
            }
        }
    }

    /** The share of the request's work, from 0 to 1, that another attempt repeats. */
    private fun repeatedShare(): Double {
        if (assembler.size == 0) return 1.0
        val repeatedWork = (call.promptTokens + assembler.size) * CostModel.DEFAULT_PREFILL_WEIGHT
        val totalWork = call.promptTokens * CostModel.DEFAULT_PREFILL_WEIGHT + call.maxTokens
        return minOf(1.0, repeatedWork / totalWork)
    }

    /** The state of one attempt: its chain and the numbers of its tokens. */
    private class Attempt(
        val plan: RoutingDecision,
        route: List<RouteHop>,
        val timing: AttemptTiming
    ) {
        val address: String = route.first().address

        /** The version of the model that the runners of the chain have loaded. */
        val version: String = plan.stages.first().runner.version

        /** Number of tokens received in the attempt. */
        var received = 0

        /** Number of tokens that were already reported to the load estimator as finished. */
        var reported = 0
    }

    private companion object {
        const val RETRY_MILLIS = 1_000L
        const val MARKED_POLL_MILLIS = 20L

        /** Tokens between progress reports; reporting each token would cost too much CPU time. */
        const val PROGRESS_TOKENS = 8

        /** Work of one token at a stage, in tokens over the runner's whole layer range. */
        fun PlannedStage.tokenWork(): Double =
            (layers?.size ?: 1).toDouble() / (runner.layers?.size ?: 1)

        /** A stream is silent after this many times the rank's target between tokens. */
        const val SILENT_GAP_FACTOR = 8L

        /** Bounds the backoff because an interrupted answer has to resume within 1 s. */
        const val MAX_RESUME_DELAY_MILLIS = 200L

        fun RoutingDecision.describe(): String = logLine().substringAfter("attempt=")
            .let { "attempt=$it" }
    }
}
