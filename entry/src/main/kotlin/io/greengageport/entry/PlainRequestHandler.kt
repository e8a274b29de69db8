package io.greengageport.entry

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import io.greengageport.common.Clock
import io.greengageport.common.DataCentre
import io.greengageport.common.Execution
import io.greengageport.common.RequestError
import io.greengageport.common.RunnerId
import io.greengageport.ledger.BeginResult
import io.greengageport.ledger.CallOutcome
import io.greengageport.ledger.Digest
import io.greengageport.ledger.OrderCall
import io.greengageport.ledger.OrderKey
import io.greengageport.ledger.OrderLedger
import io.greengageport.ledger.SendPermit
import io.greengageport.routing.ChainPlanner
import io.greengageport.routing.PlannedStage
import io.greengageport.routing.RetryBudget
import io.greengageport.routing.RetryDecision
import io.greengageport.routing.RoutingRequest
import io.greengageport.settings.Deduplication
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull

/** A call to a plain HTTP service. */
internal class PlainCall(
    val context: RequestContext,
    val method: String,
    /** The path below the service, including the query. */
    val target: String,
    val headers: Map<String, List<String>>,
    val body: ByteArray,
    /** The idempotency key; null for idempotent calls. */
    val key: CallKey?
)

/** The idempotency key of a call and its issue time in milliseconds of the wall clock. */
internal data class CallKey(val value: String, val issuedAtMillis: Long)

/**
 * The answer of a plain service. [isReplayed] tells whether it was recorded by an earlier call with
 * the same key, [isBodyKept] whether that record includes the body.
 */
internal class PlainAnswer(
    val status: Int,
    val headers: Map<String, List<String>>,
    val body: ByteArray,
    val isReplayed: Boolean = false,
    val isBodyKept: Boolean = true
)

/** The collaborators of [PlainRequestHandler]. */
internal class PlainDependencies(
    val clock: Clock,
    val dataCentre: DataCentre,
    val backends: BackendFleet,
    val planner: ChainPlanner,
    val client: PlainClient,
    val ledger: OrderLedger,
    /** Outlives the request, so that outcomes are recorded even if the caller disconnects. */
    val background: CoroutineScope,
    val retries: RetryBudget,
    val decisions: DecisionLog,
    val metrics: EntryMetrics
)

/** Forwards calls to plain services. Non-idempotent calls run at most once. */
internal class PlainRequestHandler(private val deps: PlainDependencies) {
    /** Runs [call] and returns the backend server's answer, or the recorded one of its key. */
    suspend fun run(call: PlainCall): Result<PlainAnswer, RequestError> {
        deps.retries.recordAdmission()
        return if (call.key == null) runIdempotent(call) else runAtMostOnce(call, call.key)
    }

    private suspend fun runIdempotent(call: PlainCall): Result<PlainAnswer, RequestError> {
        val excluded = mutableSetOf<RunnerId>()
        var attempt = 0
        while (true) {
            attempt++
            val stage = chooseRunner(call, attempt, excluded).getOrElse { return Err(it) }
            val end = send(call, stage, attemptTimeoutMillis(call))
            if (end is SendEnd.Answered) return Ok(end.answer)
            excluded += stage.id
            if (isPastDeadline(call)) return Err(deadlineError(end))
            val retrySettings = call.context.service.settings.retry
            if (attempt >= retrySettings.maxAttempts) return Err(failureError(end))
            val decision = deps.retries.tryRetry(
                attempt,
                call.context.rank.name,
                backoff = retrySettings.backoff()
            )
            when (val r = decision) {
                is RetryDecision.Allowed -> delay(r.delayMillis)
                is RetryDecision.Denied -> return Err(failureError(end))
            }
        }
    }

    private suspend fun runAtMostOnce(
        call: PlainCall,
        key: CallKey
    ): Result<PlainAnswer, RequestError> {
        val c = call.context
        val hash = Digest.of(
            call.method.encodeToByteArray(),
            call.target.encodeToByteArray(),
            call.body
        )
        val result = deps.ledger.claim(
            OrderCall(
                key = OrderKey(c.organisation.name, c.service.name, key.value),
                bodyHash = hash,
                issuedAtMillis = key.issuedAtMillis,
                deadlineMillis = c.deadlineAtMillis,
                backendDeduplicates =
                    c.service.settings.plain?.deduplication == Deduplication.BACKEND
            )
        )
        val resultName = result.javaClass.simpleName
        deps.decisions.record(
            c.id,
            "ledger",
            "key=${key.value.take(LOGGED_KEY_LENGTH)} begin=$resultName"
        )
        return when (result) {
            is BeginResult.Won -> runWithPermit(call, result.permit)

            is BeginResult.Replay -> Ok(replayedAnswer(result.outcome))

            is BeginResult.InProgress -> Err(RequestError.KeyInProgress(RETRY_MILLIS))

            BeginResult.OutcomeUnknown -> Err(RequestError.OutcomeUnknown())

            BeginResult.KeyReused -> Err(RequestError.KeyReused())

            BeginResult.KeyExpired -> Err(RequestError.KeyExpired())

            BeginResult.IssuedInFuture ->
                Err(RequestError.KeyRequired("the issue time lies in the future"))

            is BeginResult.NotReady -> Err(
                RequestError.NotServing(
                    "this instance has not yet read the record of calls",
                    result.retryAfterMillis
                )
            )

            is BeginResult.LogUnavailable ->
                Err(RequestError.LedgerUnavailable(result.retryAfterMillis))
        }
    }

    /** Sends the call; releases [permit] if the call fails before it is sent. */
    private suspend fun runWithPermit(
        call: PlainCall,
        permit: SendPermit
    ): Result<PlainAnswer, RequestError> {
        var isSending = false
        try {
            return sendOnce(call, permit) { isSending = true }
        } finally {
            if (!isSending) permit.release()
        }
    }

    /**
     * Sends a call for which this instance holds the permit, at most once. Calls [onSending] right
     * before the send; until then the permit can be released.
     */
    private suspend fun sendOnce(
        call: PlainCall,
        permit: SendPermit,
        onSending: () -> Unit
    ): Result<PlainAnswer, RequestError> {
        val excluded = mutableSetOf<RunnerId>()
        val stage = chooseReachable(call, excluded).getOrElse { return Err(it) }
        if (isPastDeadline(call)) return Err(RequestError.DeadlineExceeded(Execution.NOT_RUN))
        if (!permit.startSending()) {
            deps.decisions.record(call.context.id, "ledger", "the send window passed, not sent")
            return Err(RequestError.LedgerUnavailable(RETRY_MILLIS))
        }
        onSending()
        // Runs in the background scope so that the outcome is recorded even if the caller's
        // deadline passes or the caller disconnects.
        val sent = deps.background.async { permit.use { sendAndRecord(call, stage, it) } }
        val remainingMillis = maxOf(1, call.context.deadlineAtMillis - deps.clock.monotonicMillis())
        return withTimeoutOrNull(remainingMillis) { sent.await() }
            ?: Err(RequestError.DeadlineExceeded(Execution.UNKNOWN))
    }

    /** Sends the call and records its outcome with [permit]. */
    private suspend fun sendAndRecord(
        call: PlainCall,
        stage: PlannedStage,
        permit: SendPermit
    ): Result<PlainAnswer, RequestError> {
        val limitMillis = call.context.service.settings.timeouts.answerMillis.toLong()
        val end = send(call, stage, limitMillis)
        if (end is SendEnd.Answered) {
            val a = end.answer
            permit.recordOutcome(CallOutcome(a.status, a.headers, a.body))
            return Ok(a)
        }
        permit.recordUnknownOutcome()
        return Err(RequestError.BackendFailed("the answer was lost", Execution.UNKNOWN))
    }

    /**
     * Chooses a runner that accepts connections. The call can be sent only once, so the send must
     * not be spent on a runner that has stopped.
     */
    private suspend fun chooseReachable(
        call: PlainCall,
        excluded: MutableSet<RunnerId>
    ): Result<PlannedStage, RequestError> {
        var attempt = 0
        while (true) {
            val stage = chooseRunner(call, ++attempt, excluded).getOrElse { return Err(it) }
            if (deps.client.accepts(stage.runner.address)) return Ok(stage)
            deps.backends.outliers.recordFailure(stage.id)
            excluded += stage.id
        }
    }

    private suspend fun send(call: PlainCall, stage: PlannedStage, limitMillis: Long): SendEnd {
        val startMillis = deps.clock.monotonicMillis()
        val end = withTimeoutOrNull(limitMillis) { deps.client.send(call, stage.runner.address) }
            ?: SendEnd.Lost("no answer within $limitMillis ms")
        val name = call.context.service.name.value
        deps.metrics.attempts.labelValues(name, end.javaClass.simpleName).inc()
        if (end is SendEnd.Answered) {
            val tookMillis = deps.clock.monotonicMillis() - startMillis
            deps.backends.outliers.recordSuccess(stage.id, tookMillis.toDouble())
            if (end.isLeaving) deps.backends.markLeaving(stage.id, stage.runner.address)
        } else {
            deps.backends.outliers.recordFailure(stage.id)
            deps.decisions.record(call.context.id, "routing", "runner=${stage.id} failed: $end")
        }
        return end
    }

    private fun chooseRunner(
        call: PlainCall,
        attempt: Int,
        excluded: Set<RunnerId>
    ): Result<PlannedStage, RequestError> {
        val c = call.context
        val request = RoutingRequest(
            id = c.id,
            service = c.service.name,
            dataCentre = deps.dataCentre,
            attempt = attempt,
            excluded = excluded + deps.backends.outliers.ejectedRunners()
        )
        val decision = deps.planner.plan(deps.backends.fleet.service(c.service.name), request)
            .getOrElse {
                val text = it.logLine(request).substringAfter("failed: ")
                deps.decisions.record(c.id, "routing", "attempt=$attempt failed: $text")
                return Err(RequestError.NoCapacity(text, RETRY_MILLIS))
            }
        val line = decision.logLine().substringAfter("attempt=")
        deps.decisions.record(c.id, "routing", "attempt=$line")
        return Ok(decision.stages.first())
    }

    /** Time in milliseconds after which an idempotent call is retried on another runner. */
    private fun attemptTimeoutMillis(call: PlainCall): Long = minOf(
        call.context.service.settings.timeouts.silenceMillis.toLong(),
        maxOf(1, call.context.deadlineAtMillis - deps.clock.monotonicMillis())
    )

    private fun isPastDeadline(call: PlainCall) =
        deps.clock.monotonicMillis() >= call.context.deadlineAtMillis

    private fun deadlineError(end: SendEnd) = RequestError.DeadlineExceeded(executionOf(end))

    private fun failureError(end: SendEnd) =
        RequestError.BackendFailed("no retry is left after: $end", executionOf(end))

    private fun executionOf(end: SendEnd) =
        if (end is SendEnd.NotSent) Execution.NOT_RUN else Execution.UNKNOWN

    private fun replayedAnswer(o: CallOutcome) =
        PlainAnswer(o.status, o.headers, o.body, isReplayed = true, isBodyKept = o.isBodyKept)

    private companion object {
        const val RETRY_MILLIS = 1_000L
        const val LOGGED_KEY_LENGTH = 36
    }
}
