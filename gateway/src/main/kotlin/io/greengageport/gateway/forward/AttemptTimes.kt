package io.greengageport.gateway.forward

import io.greengageport.common.Clock
import io.greengageport.gateway.model.Repeatability

/**
 * How long an attempt of a request may be silent, in ms.
 *
 * Where another attempt may follow, a silent one is given up while there is time for that. Where
 * none may, the caller alone decides how long to wait: a server's silence ends no answer sooner.
 */
internal class AttemptTimes(
    private val context: RequestContext,
    private val limit: AttemptLimit,
    private val firstEventTimes: FirstEventTimes,
    private val clock: Clock
) {
    /** Whether what another server began may go on elsewhere. */
    val mayGoOnElsewhere: Boolean = context.route.repeatability != Repeatability.AT_MOST_ONCE

    /** Time that is left to the request; less than 0 once it is over. */
    val leftMillis: Long get() = context.deadlineAtMillis - clock.monotonicMillis()

    /** Time until the head of the answer; shorter where another attempt may follow. */
    fun headMillis(): Long {
        if (!mayGoOnAfterThis()) return maxOf(leftMillis, 1)
        val patient = if (context.route.isStreaming) {
            firstEventMillis()
        } else {
            maxOf(MIN_HEAD_MILLIS, HEAD_PER_TARGET * context.route.latencyTargetMillis)
        }
        return minOf(leftMillis, patient).coerceAtLeast(1)
    }

    /** Time for which a stream may be silent. */
    fun gapMillis(): Long = if (mayGoOnAfterThis()) silenceMillis() else maxOf(leftMillis, 1)

    /** Whether another attempt may follow the one under way, which runs the request. */
    private fun mayGoOnAfterThis() = mayGoOnElsewhere && limit.runs + 1 < context.route.maxAttempts

    private fun silenceMillis() = (context.patienceMillis * SILENCE_SHARE).toLong()

    /**
     * Time until the first event; half of the target if answers usually come sooner, so that
     * another attempt may still be in time.
     */
    private fun firstEventMillis(): Long {
        val unusual =
            firstEventTimes.unusualMillis(context.service.name) ?: return silenceMillis()
        val soon = (context.route.latencyTargetMillis * FIRST_EVENT_SHARE).toLong()
        return maxOf(soon, unusual).coerceAtMost(silenceMillis())
    }

    private companion object {
        /** A plain answer that takes longer than this many targets is asked for elsewhere. */
        const val HEAD_PER_TARGET = 2

        /** Less would repeat requests for usual variations of their work. */
        const val MIN_HEAD_MILLIS = 150L

        /** Part of a caller's patience after which a silent stream goes on elsewhere. */
        const val SILENCE_SHARE = 0.45

        /** Part of the target after which a first event that is unusually late is given up. */
        const val FIRST_EVENT_SHARE = 0.5
    }
}
