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

/** One request on its way, over all its attempts. Used by one coroutine. */
internal class ModelRun(
    private val parts: ModelParts,
    private val call: ModelCall,
    private val admission: ServiceAdmission,
    private val sink: TokenSink
) {
    private val context = call.context
    private val model = requireNotNull(context.service.settings.model) { "not a model service" }
    private val assembler = AnswerAssembler(context.id, model.layers)
    private val excluded = mutableSetOf<RunnerId>()
    private val suspects = parts.backends.suspects
    private val diagnosis = FailureDiagnosis(parts, context)
    private var current: Attempt? = null
    private var execution = Execution.NOT_RUN

    /** Attempts that reached a backend server. */
    private var reached = 0

    /** The version that the caller named, later that of the answer's first token. */
    private var version = call.version

    /** Whether the attempt runs alone among marked requests and has not passed its crash yet. */
    private var isMarked = false

    /** Whether the attempt holds a reservation of its runners. */
    private var isReserved = false

    /** Runners on which marked requests of other instances were when this one last asked. */
    private var reservedByOthers = emptySet<RunnerId>()

    suspend fun run(): Result<Int, RequestError> {
        while (true) {
            if (isLate()) return Err(RequestError.DeadlineExceeded(execution, RETRY_MILLIS))
            val decision = plan().getOrElse { return Err(it) }
            val failure = attempt(decision)
            if (assembler.isComplete) {
                admission.observeAnswer(context, assembler.size)
                return Ok(assembler.size)
            }
            if (isLate()) return Err(RequestError.DeadlineExceeded(execution, RETRY_MILLIS))
            excluded += diagnosis.of(decision, failure)
            parts.decisions.record(
                context.id,
                "routing",
                "attempt=${assembler.attempt} ended: $failure, excluded=${excluded.sorted()}"
            )
            // Not before the crash is known: until then the same request would pass for harmless.
            release()
            retry(failure)?.let { return Err(it) }
        }
    }

    /** Ends what an interrupted attempt left open. */
    suspend fun close() {
        // Else a request that is over keeps marked ones from its runners for good.
        suspects.ended(context.id)
        release()
        val a = current ?: return
        end(a, "cancelled")
        parts.engines.cancel(a.address, context.id)
    }

    private fun isLate() = parts.clock.monotonicMillis() >= context.deadlineAt

    private suspend fun plan(): Result<RoutingDecision, RequestError> {
        while (true) {
            val verdict = suspects.verdict(call.fingerprint)
            if (verdict == SuspectVerdict.BLOCKED) return blocked()
            val decision = if (verdict == SuspectVerdict.MARKED) planMarked() else plan(request())
            if (decision != null && decision.isErr) return noChain(decision.error)
            if (decision != null && tryStart(decision.value)) {
                parts.decisions.record(context.id, "routing", decision.value.describe())
                return Ok(decision.value)
            }
            release()
            if (isLate()) return Err(RequestError.DeadlineExceeded(execution, RETRY_MILLIS))
            delay(MARKED_WAIT_MILLIS)
        }
    }

    /**
     * A chain for a marked request, or null if it has to wait for other marked ones. If the owner
     * of the reservations does not answer, the request runs in this instance's part of the runners,
     * or anywhere if that part has no chain.
     */
    private suspend fun planMarked(): Result<RoutingDecision, RoutingFailure>? {
        val planned = plan(request(marked = true, avoided = reservedByOthers))
        val decision = planned.getOrElse {
            reservedByOthers = emptySet()
            return if (plan(request()).isOk) null else planned
        }
        val runners = decision.stages.map { it.id }.toSet()
        val wanted = ReservationRequest(context.id, call.fingerprint, runners)
        val reply = parts.suspects.reserve(context.service.name, wanted)
        reservedByOthers = reply?.busy.orEmpty()
        isReserved = reply?.granted == true
        return when {
            reply == null ->
                plan(request(marked = true, avoided = othersRunners())).takeIf { it.isOk }
                    ?: planned

            reply.granted -> planned

            else -> null
        }
    }

    private suspend fun release() {
        if (!isReserved) return
        isReserved = false
        parts.suspects.release(context.service.name, context.id)
    }

    /** Runners on which other instances run marked requests that they can't reserve. */
    private fun othersRunners(): Set<RunnerId> {
        val live = parts.members.live().map { it.id }.sorted()
        val position = maxOf(0, live.indexOf(parts.members.self))
        val service = context.service.name
        val own = parts.backends.partOfRunners(service, position, maxOf(1, live.size))
        return parts.backends.fleet.service(service).runners.map { it.id }.toSet() - own
    }

    private fun plan(request: RoutingRequest): Result<RoutingDecision, RoutingFailure> =
        parts.planner.plan(parts.backends.fleet.service(request.service), request)

    private fun request(marked: Boolean = false, avoided: Set<RunnerId> = emptySet()) =
        RoutingRequest(
            id = context.id,
            service = context.service.name,
            dataCentre = parts.dataCentre,
            attempt = assembler.attempt + 1,
            promptTokens = call.promptTokens + assembler.size,
            outputTokens = maxOf(1, call.maxTokens - assembler.size),
            prefixBlocks = PrefixIndex.blocks(context.service.name.value, call.prompt),
            excluded = excluded + avoided + parts.backends.outliers.ejected(),
            marked = marked,
            markedBusy = suspects.markedBusy(),
            version = version,
            lastVersions = model.versions.toSet() - model.version
        )

    private fun tryStart(d: RoutingDecision) =
        suspects.tryStart(context.id, call.fingerprint, d.stages.map { it.id }) {
            assembler.size
        }.also { if (it) isMarked = suspects.verdict(call.fingerprint) != SuspectVerdict.CLEAR }

    private fun blocked(): Result<RoutingDecision, RequestError> {
        parts.decisions.record(context.id, "routing", "blocked, it crashed two runners")
        return Err(RequestError.CrashesRunners())
    }

    private fun noChain(failure: RoutingFailure): Result<RoutingDecision, RequestError> {
        val request = request()
        val text = failure.logLine(request).substringAfter("failed: ")
        parts.decisions.record(context.id, "routing", "attempt=${request.attempt} failed: $text")
        return if (execution == Execution.NOT_RUN) {
            Err(RequestError.NoCapacity(text, RETRY_MILLIS))
        } else {
            Err(RequestError.BackendFailed("no other chain: $text", execution))
        }
    }

    private suspend fun attempt(d: RoutingDecision): StreamEnd {
        val start = assembler.nextAttempt()
        val route = d.stages.map {
            val l = requireNotNull(it.layers) { "a stage of a model has layers" }
            RouteHop(it.id, it.runner.address, l.from, l.until)
        }
        val a = Attempt(d, route, AttemptObserver(d.stages, parts.clock))
        current = a
        val now = parts.clock.wallMillis()
        for (s in d.stages) parts.backends.loads.sent(s.id, s.workTokens, now)
        val before = execution
        execution = Execution.UNKNOWN
        val end = parts.engines.stream(
            GenerateRequest(
                request = context.id,
                attempt = start.attempt,
                service = context.service.name,
                prompt = call.prompt,
                maxTokens = call.maxTokens,
                firstIndex = start.firstIndex,
                delivered = start.delivered,
                priority = context.rank.settings.priority,
                version = a.version.ifEmpty { model.version },
                route = route
            ),
            times(d)
        ) { onFrame(a, it) }
        if (end is StreamEnd.Refused || end is StreamEnd.Unreachable) execution = before
        end(a, if (assembler.isComplete) "complete" else end.javaClass.simpleName)
        return end
    }

    private fun times(d: RoutingDecision): StreamTimes {
        val t = context.service.settings.timeouts
        val silence = maxOf(parts.times.frameTimeoutMillis, t.silenceMillis.toLong())
        val wait = d.stages.sumOf { it.waitMillis }.toLong()
        return StreamTimes(
            connectMillis = t.connectMillis.toLong(),
            // Engines batch, so the first token does not wait for all the work that is open.
            firstFrameMillis = 2 * silence +
                minOf(wait, context.rank.settings.firstTokenMillis.toLong()),
            // An engine that serves more urgent requests first delays the others, which are alive.
            frameMillis = maxOf(silence, SILENT_GAPS * context.rank.settings.betweenTokensMillis)
        )
    }

    private suspend fun onFrame(a: Attempt, f: TokenFrame): FrameUse {
        val frame = AnswerFrame(
            request = f.request,
            attempt = f.attempt,
            index = f.index,
            text = f.text,
            layers = f.layers.map {
                TracedStage(it.runner, LayerRange(it.from, it.until))
            },
            last = f.last
        )
        return when (val outcome = assembler.accept(frame)) {
            is FrameOutcome.Token -> {
                execution = Execution.RAN
                // Tokens of two versions do not make one answer, whatever the settings say by now.
                version = a.version
                a.observer.onFrame(f)
                a.progress++
                if (a.progress - a.reported >= PROGRESS_TOKENS) reportProgress(a)
                if (isMarked && suspects.progressed(context.id, assembler.size)) {
                    isMarked = false
                    release()
                }
                sink.token(outcome.text, outcome.last)
                when {
                    outcome.last -> FrameUse.LAST
                    isLate() -> FrameUse.STOP
                    else -> FrameUse.TAKEN
                }
            }

            is FrameOutcome.Dropped -> {
                parts.metrics.droppedFrames.labelValues(outcome.reason.name.lowercase()).inc()
                FrameUse.IGNORED
            }

            is FrameOutcome.WrongTrace -> {
                parts.metrics.droppedFrames.labelValues("wrong_trace").inc()
                parts.decisions.record(context.id, "routing", "wrong layers ${outcome.trace}")
                FrameUse.STOP
            }
        }
    }

    private fun end(a: Attempt, how: String) {
        current = null
        assembler.endAttempt()
        val now = parts.clock.wallMillis()
        for (s in a.decision.stages) {
            parts.backends.loads.finished(s.id, s.workTokens - a.reported * s.tokenWork(), now)
        }
        if (!a.observer.isEmpty) parts.backends.answered(a.decision.stages.map { it.id })
        a.observer.report(parts.backends.outliers, parts.backends.links)
        a.observer.gapMillis?.let { admission.observeGap(it) }
        if (assembler.isComplete) {
            suspects.completed(context.id)?.let { parts.backends.publish(it) }
        }
        parts.metrics.attempts.labelValues(context.service.name.value, how).inc()
    }

    /** Work that later load reports leave out must not be taken off again at the end. */
    private fun reportProgress(a: Attempt) {
        val now = parts.clock.wallMillis()
        val tokens = a.progress - a.reported
        for (s in a.decision.stages) {
            parts.backends.loads.finished(s.id, tokens * s.tokenWork(), now)
        }
        a.reported = a.progress
    }

    /** Waits before the next attempt; an error if there is to be none. */
    private suspend fun retry(end: StreamEnd): RequestError? {
        if (parts.retryPolicy == RetryPolicy.ALWAYS) return null
        // These attempts cost the backend servers no work, and each excludes a runner.
        if (end is StreamEnd.Unreachable) return null
        if (end is StreamEnd.Refused && end.leaving) return null
        reached++
        if (reached >= context.service.settings.retry.maxAttempts) {
            parts.decisions.record(context.id, "routing", "no retry after $reached attempts")
            return RequestError.BackendFailed("$reached attempts failed", execution)
        }
        return when (
            val r = parts.retries.tryRetry(
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
                parts.decisions.record(context.id, "routing", "no retry, the budget is used up")
                if (execution == Execution.NOT_RUN) {
                    RequestError.Overloaded("the retry budget is used up", RETRY_MILLIS)
                } else {
                    RequestError.BackendFailed("a stage failed and no retry is left", execution)
                }
            }
        }
    }

    /** The part of the request's work that another attempt does again. */
    private fun repeatedShare(): Double {
        if (assembler.size == 0) return 1.0
        val again = (call.promptTokens + assembler.size) * CostModel.DEFAULT_PREFILL_WEIGHT
        val whole = call.promptTokens * CostModel.DEFAULT_PREFILL_WEIGHT + call.maxTokens
        return minOf(1.0, again / whole)
    }

    private class Attempt(
        val decision: RoutingDecision,
        route: List<RouteHop>,
        val observer: AttemptObserver
    ) {
        val address: String = route.first().address

        /** The version of the model that the chain holds. */
        val version: String = decision.stages.first().runner.version

        /** Tokens of the attempt. */
        var progress = 0

        /** Tokens that the load estimator counts as finished. */
        var reported = 0
    }

    private companion object {
        const val RETRY_MILLIS = 1_000L
        const val MARKED_WAIT_MILLIS = 20L

        /** Bounds the cost of counting; a few tokens are little against a queue. */
        const val PROGRESS_TOKENS = 8

        /** Work of one token at a stage, in tokens of its whole layer range. */
        fun PlannedStage.tokenWork(): Double =
            (layers?.size ?: 1).toDouble() / (runner.layers?.size ?: 1)

        /** Targets between tokens that pass before a stream counts as silent. */
        const val SILENT_GAPS = 8L

        /** An interrupted answer goes on within 1 s, so its backoff is bounded. */
        const val MAX_RESUME_DELAY_MILLIS = 200L

        fun RoutingDecision.describe(): String = logLine().substringAfter("attempt=")
            .let { "attempt=$it" }
    }
}
