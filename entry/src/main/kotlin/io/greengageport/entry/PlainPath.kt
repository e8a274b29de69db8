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

/** A call to a plain service. */
internal class PlainCall(
    val context: RequestContext,
    val method: String,
    /** Path below the service, with the query. */
    val target: String,
    val headers: Map<String, List<String>>,
    val body: ByteArray,
    /** Present for non-idempotent calls. */
    val key: CallKey?
)

/** The idempotency key of a call and its issue time in milliseconds of the wall clock. */
internal data class CallKey(val value: String, val issuedAt: Long)

/** The answer of a plain service; [replayed] says that it was recorded earlier. */
internal class PlainAnswer(
    val status: Int,
    val headers: Map<String, List<String>>,
    val body: ByteArray,
    val replayed: Boolean = false,
    val bodyKept: Boolean = true
)

/** The parts that the plain path uses. */
internal class PlainParts(
    val clock: Clock,
    val dataCentre: DataCentre,
    val backends: BackendFleet,
    val planner: ChainPlanner,
    val client: PlainClient,
    val ledger: OrderLedger,
    /** Outlives the request, so that outcomes are recorded after a caller has gone. */
    val background: CoroutineScope,
    val retries: RetryBudget,
    val decisions: DecisionLog,
    val metrics: EntryMetrics
)

/** Forwards calls to plain services; non-idempotent ones run at most once. */
internal class PlainPath(private val parts: PlainParts) {
    /** Runs [call] and returns the answer of the backend server, or a recorded one. */
    suspend fun run(call: PlainCall): Result<PlainAnswer, RequestError> {
        parts.retries.admitted()
        return if (call.key == null) repeatable(call) else atMostOnce(call, call.key)
    }

    private suspend fun repeatable(call: PlainCall): Result<PlainAnswer, RequestError> {
        val excluded = mutableSetOf<RunnerId>()
        var attempt = 0
        while (true) {
            attempt++
            val stage = choose(call, attempt, excluded).getOrElse { return Err(it) }
            val end = send(call, stage, attemptLimit(call))
            if (end is SendEnd.Answered) return Ok(end.answer)
            excluded += stage.id
            if (isLate(call)) return Err(lateError(end))
            val rules = call.context.service.settings.retry
            if (attempt >= rules.maxAttempts) return Err(failure(end))
            val decision = parts.retries.tryRetry(
                attempt,
                call.context.rank.name,
                backoff = rules.backoff()
            )
            when (val r = decision) {
                is RetryDecision.Allowed -> delay(r.delayMillis)
                is RetryDecision.Denied -> return Err(failure(end))
            }
        }
    }

    private suspend fun atMostOnce(
        call: PlainCall,
        key: CallKey
    ): Result<PlainAnswer, RequestError> {
        val c = call.context
        val hash = Digest.of(
            call.method.encodeToByteArray(),
            call.target.encodeToByteArray(),
            call.body
        )
        val begin = parts.ledger.begin(
            OrderCall(
                key = OrderKey(c.organisation.name, c.service.name, key.value),
                bodyHash = hash,
                issuedAt = key.issuedAt,
                deadline = c.deadlineAt,
                backendDeduplicates =
                    c.service.settings.plain?.deduplication == Deduplication.BACKEND
            )
        )
        val what = begin.javaClass.simpleName
        parts.decisions.record(c.id, "ledger", "key=${key.value.take(KEY_LOG)} begin=$what")
        return when (begin) {
            is BeginResult.Won -> won(call, begin.permit)

            is BeginResult.Replay -> Ok(replay(begin.outcome))

            is BeginResult.InProgress -> Err(RequestError.KeyInProgress(RETRY_MILLIS))

            BeginResult.OutcomeUnknown -> Err(RequestError.OutcomeUnknown())

            BeginResult.KeyReused -> Err(RequestError.KeyReused())

            BeginResult.KeyExpired -> Err(RequestError.KeyExpired())

            BeginResult.IssuedInFuture ->
                Err(RequestError.KeyRequired("the issue time lies in the future"))

            is BeginResult.NotReady -> Err(
                RequestError.NotServing(
                    "this instance has not yet read the record of calls",
                    begin.retryAfterMillis
                )
            )

            is BeginResult.LogUnavailable ->
                Err(RequestError.LedgerUnavailable(begin.retryAfterMillis))
        }
    }

    private suspend fun won(
        call: PlainCall,
        permit: SendPermit
    ): Result<PlainAnswer, RequestError> {
        var isSending = false
        try {
            return sendOnce(call, permit) { isSending = true }
        } finally {
            if (!isSending) permit.abandon()
        }
    }

    /** Sends a call for which this instance holds the permit, at most once. */
    private suspend fun sendOnce(
        call: PlainCall,
        permit: SendPermit,
        onSending: () -> Unit
    ): Result<PlainAnswer, RequestError> {
        val excluded = mutableSetOf<RunnerId>()
        val stage = connectable(call, excluded).getOrElse { return Err(it) }
        if (isLate(call)) return Err(RequestError.DeadlineExceeded(Execution.NOT_RUN))
        if (!permit.startSending()) {
            parts.decisions.record(call.context.id, "ledger", "the send window passed, not sent")
            return Err(RequestError.LedgerUnavailable(RETRY_MILLIS))
        }
        onSending()
        // The outcome is recorded even if the caller's deadline passes or the caller disconnects.
        val sent = parts.background.async { permit.use { record(call, stage, it) } }
        val left = maxOf(1, call.context.deadlineAt - parts.clock.monotonicMillis())
        return withTimeoutOrNull(left) { sent.await() }
            ?: Err(RequestError.DeadlineExceeded(Execution.UNKNOWN))
    }

    private suspend fun record(
        call: PlainCall,
        stage: PlannedStage,
        permit: SendPermit
    ): Result<PlainAnswer, RequestError> {
        val limit = call.context.service.settings.timeouts.answerMillis.toLong()
        val end = send(call, stage, limit)
        if (end is SendEnd.Answered) {
            val a = end.answer
            permit.complete(CallOutcome(a.status, a.headers, a.body))
            return Ok(a)
        }
        permit.unknown()
        return Err(RequestError.BackendFailed("the answer was lost", Execution.UNKNOWN))
    }

    /** A runner that takes connections, so that one that has ended does not cost the only send. */
    private suspend fun connectable(
        call: PlainCall,
        excluded: MutableSet<RunnerId>
    ): Result<PlannedStage, RequestError> {
        var attempt = 0
        while (true) {
            val stage = choose(call, ++attempt, excluded).getOrElse { return Err(it) }
            if (parts.client.accepts(stage.runner.address)) return Ok(stage)
            parts.backends.outliers.failed(stage.id)
            excluded += stage.id
        }
    }

    private suspend fun send(call: PlainCall, stage: PlannedStage, limit: Long): SendEnd {
        val start = parts.clock.monotonicMillis()
        val end = withTimeoutOrNull(limit) { parts.client.send(call, stage.runner.address) }
            ?: SendEnd.Lost("no answer within $limit ms")
        val name = call.context.service.name.value
        parts.metrics.attempts.labelValues(name, end.javaClass.simpleName).inc()
        if (end is SendEnd.Answered) {
            val took = parts.clock.monotonicMillis() - start
            parts.backends.outliers.succeeded(stage.id, took.toDouble())
            if (end.leaving) parts.backends.markLeaving(stage.id, stage.runner.address)
        } else {
            parts.backends.outliers.failed(stage.id)
            parts.decisions.record(call.context.id, "routing", "runner=${stage.id} failed: $end")
        }
        return end
    }

    private fun choose(
        call: PlainCall,
        attempt: Int,
        excluded: Set<RunnerId>
    ): Result<PlannedStage, RequestError> {
        val c = call.context
        val request = RoutingRequest(
            id = c.id,
            service = c.service.name,
            dataCentre = parts.dataCentre,
            attempt = attempt,
            excluded = excluded + parts.backends.outliers.ejected()
        )
        val decision = parts.planner.plan(parts.backends.fleet.service(c.service.name), request)
            .getOrElse {
                val text = it.logLine(request).substringAfter("failed: ")
                parts.decisions.record(c.id, "routing", "attempt=$attempt failed: $text")
                return Err(RequestError.NoCapacity(text, RETRY_MILLIS))
            }
        val line = decision.logLine().substringAfter("attempt=")
        parts.decisions.record(c.id, "routing", "attempt=$line")
        return Ok(decision.stages.first())
    }

    /** A repeatable call is tried elsewhere when an answer is overdue. */
    private fun attemptLimit(call: PlainCall): Long = minOf(
        call.context.service.settings.timeouts.silenceMillis.toLong(),
        maxOf(1, call.context.deadlineAt - parts.clock.monotonicMillis())
    )

    private fun isLate(call: PlainCall) = parts.clock.monotonicMillis() >= call.context.deadlineAt

    private fun lateError(end: SendEnd) = RequestError.DeadlineExceeded(executionOf(end))

    private fun failure(end: SendEnd) =
        RequestError.BackendFailed("no retry is left after: $end", executionOf(end))

    private fun executionOf(end: SendEnd) =
        if (end is SendEnd.NotSent) Execution.NOT_RUN else Execution.UNKNOWN

    private fun replay(o: CallOutcome) =
        PlainAnswer(o.status, o.headers, o.body, replayed = true, bodyKept = o.bodyKept)

    private companion object {
        const val RETRY_MILLIS = 1_000L
        const val KEY_LOG = 36
    }
}
