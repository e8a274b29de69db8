package io.greengageport.limits

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import io.greengageport.common.Clock
import io.greengageport.common.RequestError
import io.greengageport.common.RequestId
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.withTimeoutOrNull
import org.tinylog.kotlin.Logger

/**
 * Admits requests to the backend servers within a capacity that changes at run time.
 *
 * There is one controller per service, each with its own queue and lock, since services do not
 * share runners; the organisation limits that they share have their own sharded locks. Callers are
 * answered outside the lock.
 *
 * ```
 * launch { controller.run() }
 * controller.admit(request).fold(
 *     success = { permit -> permit.release(serve(request)) },
 *     failure = { error -> respond(error) }
 * )
 * ```
 */
public class AdmissionController(
    private val clock: Clock,
    private val queue: RequestQueue,
    private val limits: OrganisationLimits,
    capacity: Capacity,
    private val adaptive: AimdLimit? = null,
    private val firstTokenTargetMillis: (QueuedRequest) -> Long = { Long.MAX_VALUE },
    private val observer: AdmissionObserver = AdmissionObserver { }
) {
    private val lock = ReentrantLock()
    private val waiters = HashMap<RequestId, Waiter>()
    private val bucket = TokenBucket(BURST_SECONDS)
    private val meter = ServiceRateMeter()
    private val wakeUp = Channel<Unit>(Channel.CONFLATED)
    private val drained = CompletableDeferred<Unit>()
    private var capacity = capacity
    private var inFlight = 0
    private var isStopping = false
    private var nextTickAt = 0L
    private var takenTokens = 0L
    private val answeredNow = ArrayList<Waiter>()

    init {
        updateServiceRate()
    }

    /** A snapshot for metrics and status. */
    public val state: AdmissionState
        get() = lock.withLock {
            val tokens = queue.queuedTokens
            AdmissionState(queue.size, tokens, inFlight, slots(), isStopping, takenTokens)
        }

    /**
     * Waits until [request] may run.
     *
     * Fails with [RequestError.OverLimit] if its organisation used up its limit,
     * [RequestError.Overloaded] if the queue refuses, sheds or expires it, and
     * [RequestError.NotServing] after [stopAdmitting]; each states when to retry, and the request
     * did not run. A caller that is cancelled while it waits frees its place at once. Request ids
     * are unique among queued requests.
     */
    public suspend fun admit(request: QueuedRequest): Result<Permit, RequestError> {
        val now = clock.monotonicMillis()
        val waiter = Waiter(request, now)
        if (lock.withLock { isStopping }) return notServing(waiter)
        limits.tryAcquire(request.organisation, request.estimatedTokens, now).getOrElse {
            observe(waiter, AdmissionOutcome.OVER_LIMIT, it.retryAfterMillis)
            return Err(it)
        }
        try {
            answer { enqueue(waiter) }
        } catch (e: IllegalArgumentException) {
            returnLimit(waiter, now)
            throw e
        }
        return try {
            waiter.reply.await()
        } catch (e: CancellationException) {
            abandon(waiter)
            throw e
        }
    }

    /** Sets the capacity of this instance; admits queued requests if it grew. */
    public fun updateCapacity(capacity: Capacity) {
        answer {
            this.capacity = capacity
            updateServiceRate()
        }
    }

    /** Replaces the settings of the queue. */
    public fun updateSettings(settings: QueueSettings) {
        answer { queue.update(settings) }
    }

    /** Expires and admits queued requests; returns the ms until it has to be called again. */
    public fun tick(): Long {
        answer { }
        return lock.withLock {
            val pause = millisUntilNextEvent()
            nextTickAt = clock.monotonicMillis() + pause
            pause
        }
    }

    /** Calls [tick] when it is due, until cancelled. */
    public suspend fun run() {
        while (true) {
            val pause = tick().coerceIn(1, MAX_PAUSE_MILLIS)
            withTimeoutOrNull(pause) { wakeUp.receive() }
        }
    }

    /** Refuses new requests from now on; queued and running requests go on. */
    public fun stopAdmitting() {
        lock.withLock { isStopping = true }
        Logger.info("limits: stopped admitting requests")
        answer { }
    }

    /** Stops admitting and waits until the queue is empty and every permit is released. */
    public suspend fun drain() {
        stopAdmitting()
        drained.await()
        Logger.info("limits: the queue is drained")
    }

    private fun enqueue(waiter: Waiter) {
        val request = waiter.request
        if (isStopping) {
            waiter.refuseWith(AdmissionOutcome.NOT_SERVING, RETRY_ELSEWHERE_MILLIS)
            return
        }
        require(request.id !in waiters) { "the request ${request.id} is already queued" }
        waiters[request.id] = waiter
        when (val offer = queue.offer(request, waiter.arrivedAt)) {
            is Offer.Queued -> offer.shed.forEach(::shed)

            is Offer.Refused -> {
                offer.shed.forEach(::shed)
                val outcome = when (offer.reason) {
                    RefusalReason.DEADLINE -> AdmissionOutcome.REFUSED_DEADLINE
                    RefusalReason.FULL -> AdmissionOutcome.REFUSED_FULL
                }
                waiters.remove(request.id)?.refuseWith(outcome, offer.retryAfterMillis)
            }
        }
    }

    private fun shed(request: QueuedRequest) = refuseQueued(request, AdmissionOutcome.SHED)

    private fun refuseQueued(request: QueuedRequest, outcome: AdmissionOutcome) {
        val retry = queue.drainMillis(request.rank)
            .coerceIn(MIN_RETRY_AFTER_MILLIS, MAX_RETRY_AFTER_MILLIS)
        waiters.remove(request.id)?.refuseWith(outcome, retry)
    }

    /** Runs [change] and the dispatch that follows from it, then answers callers unlocked. */
    private fun answer(change: () -> Unit) {
        val now = clock.monotonicMillis()
        val answered = lock.withLock {
            change()
            queue.expire(now).forEach { refuseQueued(it, AdmissionOutcome.EXPIRED) }
            dispatch(now)
            if (isStopping && queue.size == 0 && inFlight == 0) drained.complete(Unit)
            if (now + millisUntilNextEvent() < nextTickAt) wakeUp.trySend(Unit)
            takeAnswered()
        }
        for (w in answered) reply(w, now)
    }

    private fun takeAnswered(): List<Waiter> = answeredNow.toList().also { answeredNow.clear() }

    private fun Waiter.refuseWith(outcome: AdmissionOutcome, retryAfterMillis: Long) {
        this.outcome = outcome
        this.retryAfterMillis = retryAfterMillis
        answeredNow += this
    }

    private fun dispatch(nowMillis: Long) {
        while (hasTokens(nowMillis)) {
            val request = queue.poll(slots()) ?: return
            val waiter = checkNotNull(waiters.remove(request.id)) { "no caller of ${request.id}" }
            if (inFlight + 1 == slots()) meter.record(0, wasSaturated = false, nowMillis)
            inFlight++
            take(request.estimatedTokens)
            waiter.permit = permitFor(waiter, nowMillis)
            answeredNow += waiter
        }
    }

    private fun take(tokens: Long) {
        bucket.take(tokens)
        takenTokens += tokens
    }

    private fun permitFor(waiter: Waiter, nowMillis: Long): Permit = Permit(
        id = waiter.request.id,
        waitedMillis = nowMillis - waiter.arrivedAt,
        firstToken = { recordFirstToken(waiter.request, nowMillis) },
        end = { actual -> release(waiter.request, actual) }
    )

    private fun recordFirstToken(request: QueuedRequest, dispatchedAt: Long) {
        val limit = adaptive ?: return
        val now = clock.monotonicMillis()
        answer { limit.record(now - dispatchedAt, firstTokenTargetMillis(request), inFlight, now) }
    }

    private fun release(request: QueuedRequest, actualTokens: Long) {
        val now = clock.monotonicMillis()
        limits.release(request.organisation, request.estimatedTokens, actualTokens, now)
        answer {
            meter.record(actualTokens, wasSaturated = isSaturated(), now)
            updateServiceRate()
            inFlight--
            take(actualTokens - request.estimatedTokens)
            queue.complete(request.id, actualTokens)
        }
    }

    private fun abandon(waiter: Waiter) {
        val wasQueued = lock.withLock {
            waiters.remove(waiter.request.id)
            queue.remove(waiter.request.id) != null
        }
        if (wasQueued) {
            returnLimit(waiter, clock.monotonicMillis())
            observe(waiter, AdmissionOutcome.CANCELLED, null)
            answer { }
        }
        waiter.permit?.release(0)
    }

    private fun reply(waiter: Waiter, nowMillis: Long) {
        val permit = waiter.permit
        if (permit != null) {
            observe(waiter, AdmissionOutcome.ADMITTED, null)
            waiter.reply.complete(Ok(permit))
            return
        }
        returnLimit(waiter, nowMillis)
        observe(waiter, waiter.outcome, waiter.retryAfterMillis)
        waiter.reply.complete(Err(errorFor(waiter.outcome, waiter.retryAfterMillis)))
    }

    private fun returnLimit(waiter: Waiter, nowMillis: Long) {
        val r = waiter.request
        limits.release(r.organisation, r.estimatedTokens, actualTokens = 0, nowMillis)
    }

    private fun notServing(waiter: Waiter): Result<Permit, RequestError> {
        observe(waiter, AdmissionOutcome.NOT_SERVING, RETRY_ELSEWHERE_MILLIS)
        return Err(errorFor(AdmissionOutcome.NOT_SERVING, RETRY_ELSEWHERE_MILLIS))
    }

    private fun observe(waiter: Waiter, outcome: AdmissionOutcome, retryAfterMillis: Long?) {
        val waited = clock.monotonicMillis() - waiter.arrivedAt
        observer.onDecision(AdmissionDecision(waiter.request, outcome, waited, retryAfterMillis))
    }

    /** Whether a request waits for a slot, or the last slot is taken. */
    private fun isSaturated() = queue.size > 0 || inFlight >= slots()

    private fun slots(): Int = minOf(capacity.slots, adaptive?.limit ?: Int.MAX_VALUE)

    private fun hasTokens(nowMillis: Long): Boolean =
        capacity.tokensPerSecond?.let { bucket.refill(it, nowMillis) } ?: true

    private fun updateServiceRate() {
        val rate = listOfNotNull(capacity.tokensPerSecond, meter.rate).minOrNull() ?: 0.0
        queue.updateServiceRate(rate)
    }

    private fun millisUntilNextEvent(): Long {
        if (queue.size == 0) return MAX_PAUSE_MILLIS
        val expiry = (queue.nextDeadlineMillis() ?: Long.MAX_VALUE) - clock.monotonicMillis() + 1
        val refill = when {
            inFlight >= slots() -> MAX_PAUSE_MILLIS
            else -> capacity.tokensPerSecond?.let(bucket::millisUntilPositive) ?: MAX_PAUSE_MILLIS
        }
        return minOf(expiry, refill, MAX_PAUSE_MILLIS)
    }

    private class Waiter(val request: QueuedRequest, val arrivedAt: Long) {
        val reply = CompletableDeferred<Result<Permit, RequestError>>()

        @Volatile
        var permit: Permit? = null
        var outcome = AdmissionOutcome.ADMITTED
        var retryAfterMillis = 0L
    }

    private companion object {
        const val BURST_SECONDS = 1.0
        const val MAX_PAUSE_MILLIS = 1_000L

        /** The balancer sends the next attempt to another instance. */
        const val RETRY_ELSEWHERE_MILLIS = 100L

        fun errorFor(outcome: AdmissionOutcome, retryAfterMillis: Long): RequestError {
            val text = when (outcome) {
                AdmissionOutcome.REFUSED_DEADLINE -> RefusalReason.DEADLINE.text

                AdmissionOutcome.REFUSED_FULL -> RefusalReason.FULL.text

                AdmissionOutcome.SHED -> "the request was shed in favour of others"

                AdmissionOutcome.EXPIRED -> "the deadline passed in the queue"

                else -> return RequestError.NotServing(
                    "this instance is stopping",
                    retryAfterMillis
                )
            }
            return RequestError.Overloaded(text, retryAfterMillis)
        }
    }
}
