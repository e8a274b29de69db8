package io.greengageport.gateway.forward

import io.greengageport.common.Clock
import io.greengageport.gateway.model.Repeatability

/**
 * Timeouts of an attempt, in ms.
 *
 * If the request can be retried, an attempt without progress times out early enough to leave time
 * for the retry. Otherwise only the deadline of the request applies.
 */
internal class AttemptTimeouts(
    private val context: RequestContext,
    private val limit: AttemptLimit,
    private val firstEventTimes: FirstEventTimes,
    private val clock: Clock
) {
    /** Whether another server may repeat or resume a request that may have run. */
    val canContinueElsewhere: Boolean = context.route.repeatability != Repeatability.AT_MOST_ONCE

    /** Time until the deadline of the request; negative after it. */
    val remainingMillis: Long get() = context.deadlineAtMillis - clock.monotonicMillis()

    /** Timeout for the response head; shorter if the request can be retried. */
    fun headTimeoutMillis(): Long {
        if (!limit.canRetryAfterRun()) return maxOf(remainingMillis, 1)
        val retryTimeoutMillis = if (context.route.isStreaming) {
            firstEventTimeoutMillis()
        } else {
            maxOf(MIN_HEAD_TIMEOUT_MILLIS, HEAD_TARGET_FACTOR * context.route.latencyTargetMillis)
        }
        return minOf(remainingMillis, retryTimeoutMillis).coerceAtLeast(1)
    }

    /** Timeout for the next event of a stream. */
    fun eventTimeoutMillis(): Long =
        if (limit.canRetryAfterRun()) silenceTimeoutMillis() else maxOf(remainingMillis, 1)

    private fun silenceTimeoutMillis() = (context.toleratedSilenceMillis * SILENCE_SHARE).toLong()

    /**
     * Timeout for the first event. It is half of the latency target if first events usually arrive
     * sooner, so that a retry can still meet the target.
     */
    private fun firstEventTimeoutMillis(): Long {
        val lateThresholdMillis = firstEventTimes.lateThresholdMillis(context.service.name)
            ?: return silenceTimeoutMillis()
        val targetShareMillis =
            (context.route.latencyTargetMillis * FIRST_EVENT_TARGET_SHARE).toLong()
        return maxOf(targetShareMillis, lateThresholdMillis).coerceAtMost(silenceTimeoutMillis())
    }

    private companion object {
        /** Multiple of the latency target after which a plain request is sent to another server. */
        const val HEAD_TARGET_FACTOR = 2

        /** A shorter timeout would repeat requests because of normal variations in service time. */
        const val MIN_HEAD_TIMEOUT_MILLIS = 150L

        /**
         * Share of the silence that a caller tolerates after which a silent stream is resumed at
         * another server.
         */
        const val SILENCE_SHARE = 0.45

        /** Share of the latency target after which an unusually late first event times out. */
        const val FIRST_EVENT_TARGET_SHARE = 0.5
    }
}
