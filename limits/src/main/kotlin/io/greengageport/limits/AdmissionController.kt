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
 * Admission control for one service: queues requests and admits them to the backend servers within
 * a capacity that changes at run time.
 *
 * Each service has its own controller, queue and lock, because services do not share runners. The
 * organisation limits span services and have their own sharded locks. Callers are resumed outside
 * the lock.
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
    private val adaptiveLimit: AimdLimit? = null,
    private val firstTokenTargetMillis: (QueuedRequest) -> Long = { Long.MAX_VALUE },
    private val observer: AdmissionObserver = AdmissionObserver { }
) {
    private val lock = ReentrantLock()
    private val waiters = HashMap<RequestId, Waiter>()
    private val bucket = TokenBucket(BURST_SECONDS)
    private val serviceRateMeter = ServiceRateMeter()
    private val wakeUp = Channel<Unit>(Channel.CONFLATED)
    private val drained = CompletableDeferred<Unit>()
    private var capacity = capacity
    private var inFlight = 0
    private var isStopping = false
    private var nextTickAtMillis = 0L
    private var admittedTokens = 0L
    private val decidedWaiters = ArrayList<Waiter>()

    init {
        updateServiceRate()
    }

    /** A snapshot of the load for metrics and status reports. */
    public val state: AdmissionState
        get() = lock.withLock {
            val tokens = queue.queuedTokens
            AdmissionState(queue.size, tokens, inFlight, slots(), isStopping, admittedTokens)
        }

    /**
     * Suspends until [request] is admitted, and returns the permit to run it.
     *
     * Fails with [RequestError.OverLimit] if the organisation has reached a limit,
     * [RequestError.Overloaded] if the queue refuses, sheds or expires the request, and
     * [RequestError.NotServing] after [stopAdmitting] and upon [refuseQueued]. Each error states
     * when to retry and means that the request did not run. Cancelling the caller removes the
     * request from the queue at once. Throws [IllegalArgumentException] if a request with the same
     * id is queued.
     */
    public suspend fun admit(request: QueuedRequest): Result<Permit, RequestError> {
        val now = clock.monotonicMillis()
        val waiter = Waiter(request, now)
        if (lock.withLock { isStopping }) return refuseNotServing(waiter)
        limits.tryAcquire(request.organisation, request.estimatedTokens, now).getOrElse {
            observe(waiter, AdmissionOutcome.OVER_LIMIT, it.retryAfterMillis)
            return Err(it)
        }
        try {
            updateAndReply { enqueue(waiter) }
        } catch (e: IllegalArgumentException) {
            refundLimits(waiter, now)
            throw e
        }
        return try {
            waiter.reply.await()
        } catch (e: CancellationException) {
            removeCancelled(waiter)
            throw e
        }
    }

    /** Sets the capacity of this instance and admits queued requests that now fit. */
    public fun updateCapacity(capacity: Capacity) {
        updateAndReply {
            this.capacity = capacity
            updateServiceRate()
        }
    }

    /** Replaces the queue settings. */
    public fun updateSettings(settings: QueueSettings) {
        updateAndReply { queue.update(settings) }
    }

    /**
     * Refuses all queued requests with [RequestError.NotServing], because the service was removed
     * or needs no queue any more. Running requests keep their permits, and new requests can be
     * queued.
     */
    public fun refuseQueued() {
        updateAndReply {
            for (request in waiters.values.map { it.request }) {
                queue.remove(request.id)
                waiters.remove(request.id)
                    ?.refuseWith(AdmissionOutcome.SERVICE_REMOVED, RETRY_ELSEWHERE_MILLIS)
            }
        }
    }

    /** Expires and admits queued requests; returns the time until the next call is due, in ms. */
    public fun tick(): Long {
        updateAndReply { }
        return lock.withLock {
            val pause = millisUntilNextEvent()
            nextTickAtMillis = clock.monotonicMillis() + pause
            pause
        }
    }

    /** Calls [tick] whenever it is due, until cancelled. */
    public suspend fun run() {
        while (true) {
            val pause = tick().coerceIn(1, MAX_PAUSE_MILLIS)
            withTimeoutOrNull(pause) { wakeUp.receive() }
        }
    }

    /** Refuses new requests from now on; queued and running requests continue. */
    public fun stopAdmitting() {
        lock.withLock { isStopping = true }
        Logger.info("limits: stopped admitting new requests; queued and running requests continue")
        updateAndReply { }
    }

    /** Stops admitting and waits until the queue is empty and every permit is released. */
    public suspend fun drain() {
        stopAdmitting()
        drained.await()
        Logger.info("limits: drain complete; no request is queued or running")
    }

    private fun enqueue(waiter: Waiter) {
        val request = waiter.request
        if (isStopping) {
            waiter.refuseWith(AdmissionOutcome.NOT_SERVING, RETRY_ELSEWHERE_MILLIS)
            return
        }
        require(request.id !in waiters) { "the request ${request.id} is already queued" }
        waiters[request.id] = waiter
        when (val offer = queue.offer(request, waiter.arrivedAtMillis)) {
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
        val retryAfterMillis = queue.drainMillis(request.rank)
            .coerceIn(MIN_RETRY_AFTER_MILLIS, MAX_RETRY_AFTER_MILLIS)
        waiters.remove(request.id)?.refuseWith(outcome, retryAfterMillis)
    }

    /**
     * Applies [change] under the lock, expires and dispatches queued requests, then resumes the
     * callers of the decided requests outside the lock.
     */
    private fun updateAndReply(change: () -> Unit) {
        val now = clock.monotonicMillis()
        val decided = lock.withLock {
            change()
            queue.expire(now).forEach { refuseQueued(it, AdmissionOutcome.EXPIRED) }
            dispatch(now)
            if (isStopping && queue.size == 0 && inFlight == 0) drained.complete(Unit)
            if (now + millisUntilNextEvent() < nextTickAtMillis) wakeUp.trySend(Unit)
            takeDecidedWaiters()
        }
        for (waiter in decided) reply(waiter, now)
    }

    private fun takeDecidedWaiters(): List<Waiter> =
        decidedWaiters.toList().also { decidedWaiters.clear() }

    private fun Waiter.refuseWith(outcome: AdmissionOutcome, retryAfterMillis: Long) {
        this.outcome = outcome
        this.retryAfterMillis = retryAfterMillis
        decidedWaiters += this
    }

    private fun dispatch(nowMillis: Long) {
        while (hasTokens(nowMillis)) {
            val request = queue.poll(slots()) ?: return
            val waiter = checkNotNull(waiters.remove(request.id)) {
                "no caller waits for request ${request.id}"
            }
            if (inFlight + 1 == slots()) serviceRateMeter.record(0, wasSaturated = false, nowMillis)
            inFlight++
            consumeTokens(request.estimatedTokens)
            waiter.permit = permitFor(waiter, nowMillis)
            decidedWaiters += waiter
        }
    }

    /** Charges [tokens] to the rate limit; a negative number is a refund. */
    private fun consumeTokens(tokens: Long) {
        bucket.consume(tokens)
        admittedTokens += tokens
    }

    private fun permitFor(waiter: Waiter, nowMillis: Long): Permit = Permit(
        id = waiter.request.id,
        waitedMillis = nowMillis - waiter.arrivedAtMillis,
        onFirstTokenReceived = { recordFirstToken(waiter.request, nowMillis) },
        onRelease = { actualTokens -> release(waiter.request, actualTokens) }
    )

    private fun recordFirstToken(request: QueuedRequest, dispatchedAtMillis: Long) {
        val limit = adaptiveLimit ?: return
        val now = clock.monotonicMillis()
        updateAndReply {
            limit.record(now - dispatchedAtMillis, firstTokenTargetMillis(request), inFlight, now)
        }
    }

    private fun release(request: QueuedRequest, actualTokens: Long) {
        val now = clock.monotonicMillis()
        limits.release(request.organisation, request.estimatedTokens, actualTokens, now)
        updateAndReply {
            serviceRateMeter.record(actualTokens, wasSaturated = isSaturated(), now)
            updateServiceRate()
            inFlight--
            consumeTokens(actualTokens - request.estimatedTokens)
            queue.complete(request.id, actualTokens)
        }
    }

    /** Removes a cancelled request from the queue, or releases its permit if it was admitted. */
    private fun removeCancelled(waiter: Waiter) {
        val wasQueued = lock.withLock {
            waiters.remove(waiter.request.id)
            queue.remove(waiter.request.id) != null
        }
        if (wasQueued) {
            refundLimits(waiter, clock.monotonicMillis())
            observe(waiter, AdmissionOutcome.CANCELLED, null)
            updateAndReply { }
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
        refundLimits(waiter, nowMillis)
        observe(waiter, waiter.outcome, waiter.retryAfterMillis)
        waiter.reply.complete(Err(errorFor(waiter.outcome, waiter.retryAfterMillis)))
    }

    /** Gives back what [waiter]'s request holds of its organisation's limits; it did not run. */
    private fun refundLimits(waiter: Waiter, nowMillis: Long) {
        val request = waiter.request
        limits.release(
            request.organisation,
            request.estimatedTokens,
            actualTokens = 0,
            nowMillis
        )
    }

    private fun refuseNotServing(waiter: Waiter): Result<Permit, RequestError> {
        observe(waiter, AdmissionOutcome.NOT_SERVING, RETRY_ELSEWHERE_MILLIS)
        return Err(errorFor(AdmissionOutcome.NOT_SERVING, RETRY_ELSEWHERE_MILLIS))
    }

    private fun observe(waiter: Waiter, outcome: AdmissionOutcome, retryAfterMillis: Long?) {
        val waited = clock.monotonicMillis() - waiter.arrivedAtMillis
        observer.onDecision(AdmissionDecision(waiter.request, outcome, waited, retryAfterMillis))
    }

    /** Whether requests are queued or all slots are in use. */
    private fun isSaturated() = queue.size > 0 || inFlight >= slots()

    /** Current number of slots: the capacity, lowered by the adaptive limit if there is one. */
    private fun slots(): Int = minOf(capacity.slots, adaptiveLimit?.limit ?: Int.MAX_VALUE)

    /** Refills the token bucket; returns whether the token rate allows another request. */
    private fun hasTokens(nowMillis: Long): Boolean =
        capacity.tokensPerSecond?.let { bucket.refill(it, nowMillis) } ?: true

    private fun updateServiceRate() {
        val rate = listOfNotNull(capacity.tokensPerSecond, serviceRateMeter.rate).minOrNull() ?: 0.0
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

    private class Waiter(val request: QueuedRequest, val arrivedAtMillis: Long) {
        val reply = CompletableDeferred<Result<Permit, RequestError>>()

        @Volatile
        var permit: Permit? = null
        var outcome = AdmissionOutcome.ADMITTED
        var retryAfterMillis = 0L
    }

    private companion object {
        const val BURST_SECONDS = 1.0
        const val MAX_PAUSE_MILLIS = 1_000L

        /**
         * Short, because the retry is served elsewhere: by another instance, or by the service to
         * which a new configuration has moved its route.
         */
        const val RETRY_ELSEWHERE_MILLIS = 100L

        fun errorFor(outcome: AdmissionOutcome, retryAfterMillis: Long): RequestError {
            val message = when (outcome) {
                AdmissionOutcome.REFUSED_DEADLINE -> RefusalReason.DEADLINE.message

                AdmissionOutcome.REFUSED_FULL -> RefusalReason.FULL.message

                AdmissionOutcome.SHED -> "the request was shed in favour of others"

                AdmissionOutcome.EXPIRED -> "the deadline passed in the queue"

                AdmissionOutcome.SERVICE_REMOVED -> return RequestError.NotServing(
                    "the configuration no longer has the service, or the service needs no queue",
                    retryAfterMillis
                )

                else -> return RequestError.NotServing(
                    "this instance is stopping",
                    retryAfterMillis
                )
            }
            return RequestError.Overloaded(message, retryAfterMillis)
        }
    }
}
