package io.greengageport.gateway

import io.greengageport.common.Clock
import io.greengageport.gateway.forward.ActiveRequest.Phase
import io.greengageport.gateway.forward.CallerConnection
import io.greengageport.gateway.forward.RequestRouter
import io.greengageport.gateway.http.HttpListener
import io.greengageport.gateway.logging.DecisionLog
import io.greengageport.gateway.tunnel.TunnelListener
import kotlinx.coroutines.delay

/**
 * The phases of a planned stop. Times are on the monotonic clock, in ms; the grace period counts
 * from [signalledAtMillis], since the platform counts it from its signal.
 *
 * 1. Until [acceptsUntilMillis], requests are served while the load balancer learns that the
 *    instance is not ready.
 * 2. Then new requests are refused, and so are those that no server has got yet: another instance
 *    has more time for them. Idle connections are closed. The phase ends when no accepted request
 *    is left; refusals prolong it until [refusesUntilMillis] at most. Tunnels that are open for
 *    peers count as accepted requests.
 * 3. [ANSWER_MARGIN_MILLIS] before the end of the grace period, the requests that no answer has
 *    begun for are answered, and [BREAK_MARGIN_MILLIS] before it, the answers that have begun and
 *    the open tunnels are broken off.
 * 4. The listener closes, the last connections send what they have, and close.
 *
 * A grace period below [FULL_MARGINS_GRACE_MILLIS] shortens the margins in proportion, so that most
 * of it is left for answers.
 *
 * The last phases have a minimum duration, so that a process that was paused beyond its deadline
 * still answers.
 */
internal class StopSequence(
    private val router: RequestRouter,
    private val connections: Set<CallerConnection>,
    private val listener: HttpListener,
    private val tunnels: TunnelListener,
    private val log: DecisionLog,
    private val clock: Clock,
    private val signalledAtMillis: Long,
    private val graceMillis: Long
) {
    /** Time at which the requests that no answer has begun for are answered. */
    val answerAtMillis: Long = endOfGraceBut(ANSWER_MARGIN_MILLIS)
    private val breakAtMillis = endOfGraceBut(BREAK_MARGIN_MILLIS)
    private val endAtMillis = endOfGraceBut(END_MARGIN_MILLIS)

    /** Time from which new requests are refused. */
    val acceptsUntilMillis: Long =
        minOf(signalledAtMillis + BALANCER_NOTICE_MILLIS, answerAtMillis)

    /**
     * Time until which tunnels of peers are accepted that find no other instance. A request takes
     * some seconds, which are left to it.
     */
    val tunnelsUntilMillis: Long =
        maxOf(acceptsUntilMillis, answerAtMillis - scaled(TUNNEL_MARGIN_MILLIS))

    private val refusesUntilMillis = acceptsUntilMillis + REFUSAL_MILLIS

    /**
     * Returns when every accepted request has its answer and refusals are rare or were sent for
     * [REFUSAL_MILLIS], or shortly before the grace period ends.
     */
    suspend fun run() {
        while (clock.monotonicMillis() < acceptsUntilMillis) delay(CHECK_INTERVAL_MILLIS)
        router.interrupt { it.phase == Phase.WAITING && it.context?.wasAtServer != true }
        awaitRequests(answerAtMillis) { isBusy() }
        router.interrupt { it.phase == Phase.WAITING || it.phase == Phase.AT_SERVER }
        awaitRequests(breakAtMillis) { isBusy() }
        router.interrupt { it.phase == Phase.ANSWERING }
        tunnels.resetAll()
        closeAll()
    }

    private fun endOfGraceBut(marginMillis: Long) =
        signalledAtMillis + graceMillis - scaled(marginMillis)

    private fun scaled(marginMillis: Long) =
        marginMillis * minOf(graceMillis, FULL_MARGINS_GRACE_MILLIS) / FULL_MARGINS_GRACE_MILLIS

    /**
     * Whether a request has no complete answer yet, or a tunnel is open. Requests on connections
     * opened after [acceptsUntilMillis] are all refused, and callers who retry at once would
     * otherwise keep the instance running until its grace period ends.
     */
    private fun isBusy(): Boolean {
        val countsRefusals = clock.monotonicMillis() < refusesUntilMillis
        return tunnels.openTunnels > 0 || connections.any {
            it.isActive && (countsRefusals || it.openedAtMillis < acceptsUntilMillis)
        }
    }

    /** Closes idle connections until [condition] is false, or until [untilMillis]. */
    private suspend fun awaitRequests(untilMillis: Long, condition: () -> Boolean) {
        // Answers of the phase before are written, and connections that wait are accepted.
        delay(CHECK_INTERVAL_MILLIS)
        while (condition() && clock.monotonicMillis() < untilMillis) {
            connections.toList().forEach { it.closeIfIdle() }
            delay(CHECK_INTERVAL_MILLIS)
        }
    }

    private suspend fun closeAll() {
        listener.acceptAllAndClose()
        val earliestEndMillis = clock.monotonicMillis() + scaled(MIN_CLOSE_MILLIS)
        val untilMillis = maxOf(endAtMillis, earliestEndMillis)
        // Unread requests of connections that were just accepted are read first.
        awaitRequests(minOf(earliestEndMillis, untilMillis)) { connections.isNotEmpty() }
        connections.toList().forEach { it.endInput() }
        awaitRequests(untilMillis) { connections.isNotEmpty() }
        log.record(
            "entry",
            "stopped",
            "in_flight" to router.inFlight,
            "connections" to connections.size,
            "unsent_bytes" to connections.sumOf { it.unsentBytes },
            "ms" to clock.monotonicMillis() - signalledAtMillis
        )
        connections.toList().forEach { it.abort() }
    }

    private companion object {
        /**
         * Shortest grace period whose last sixth holds [BREAK_MARGIN_MILLIS]. The platform accepts
         * an answer that is broken off only in the last sixth.
         */
        const val FULL_MARGINS_GRACE_MILLIS = 3_000L

        /**
         * The platform checks readiness once a second and stops sending connections after two
         * failures.
         */
        const val BALANCER_NOTICE_MILLIS = 2_800L

        /**
         * A load balancer that checks readiness late, once a second, still gets refusals instead of
         * failed connections.
         */
        const val REFUSAL_MILLIS = 1_000L
        const val CHECK_INTERVAL_MILLIS = 20L

        /** Leaves time for the answers to be sent, also if the thread is delayed by 100 ms. */
        const val ANSWER_MARGIN_MILLIS = 800L

        /** Answers that have begun get more time, since nothing but their end is sent later. */
        const val BREAK_MARGIN_MILLIS = 500L

        /** Time that is left to a request through a tunnel that was accepted last. */
        const val TUNNEL_MARGIN_MILLIS = 2_000L

        /** Time for the end of the process, before the platform kills it. */
        const val END_MARGIN_MILLIS = 200L

        /** Time to read and refuse the requests of connections that were accepted last. */
        const val MIN_CLOSE_MILLIS = 200L
    }
}
