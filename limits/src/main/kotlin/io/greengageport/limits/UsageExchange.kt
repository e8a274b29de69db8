package io.greengageport.limits

import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import io.greengageport.common.Clock
import io.greengageport.common.InstanceId
import io.greengageport.common.Members
import io.greengageport.common.PeerCalls
import io.greengageport.common.PeerHandlers
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import org.tinylog.kotlin.Logger

/**
 * Runs usage sharing over the peer protocol: sends this instance's reports once per second and
 * answers the reports of other instances. Messages are CBOR-encoded on channel [CHANNEL].
 *
 * ```
 * val exchange = UsageExchange(clock, members, calls, handlers, limits, reporter, aggregator)
 * launch { exchange.run() }
 * ```
 */
public class UsageExchange(
    private val clock: Clock,
    private val members: Members,
    private val calls: PeerCalls,
    handlers: PeerHandlers,
    private val limits: OrganisationLimits,
    private val reporter: UsageReporter,
    private val aggregator: UsageAggregator
) {
    private val mutex = Mutex()
    private var lastRoundAtMillis = clock.monotonicMillis()

    init {
        // Without a membership view, this instance would use the whole limit until its first round.
        reporter.updateView(live())
        handlers.handle(CHANNEL) { from, payload ->
            Cbor.encodeToByteArray(handleReport(from, Cbor.decodeFromByteArray(payload)))
        }
    }

    /** Runs a [runRound] once per second until cancelled. */
    public suspend fun run() {
        while (true) {
            delay(ROUND_PERIOD)
            runRound()
        }
    }

    /** Sends the demand since the last round to the aggregators and applies their replies. */
    public suspend fun runRound(): Unit = coroutineScope {
        val now = clock.monotonicMillis()
        val demand = limits.takeDemand(elapsedMillis = maxOf(1, now - lastRoundAtMillis))
        lastRoundAtMillis = now
        mutex.withLock { aggregator.expire(now) }
        for ((peer, report) in reporter.report(demand, live(), now)) {
            launch { send(peer, report, now) }
        }
    }

    private suspend fun send(peer: InstanceId, report: UsageReport, sentAtMillis: Long) {
        if (peer == members.self) {
            applyReply(peer, handleReport(peer, report), sentAtMillis)
            return
        }
        calls.call(peer, CHANNEL, Cbor.encodeToByteArray(report), CALL_TIMEOUT)
            .onSuccess { payload ->
                try {
                    applyReply(peer, Cbor.decodeFromByteArray(payload), sentAtMillis)
                } catch (e: SerializationException) {
                    Logger.warn("limits: ignored a malformed usage reply from $peer: ${e.message}")
                }
            }
            .onFailure { Logger.debug("limits: usage report to $peer failed: $it") }
    }

    private suspend fun handleReport(from: InstanceId, report: UsageReport): UsageReply =
        mutex.withLock { aggregator.onReport(from, report, live(), clock.monotonicMillis()) }

    private suspend fun applyReply(from: InstanceId, reply: UsageReply, sentAtMillis: Long) =
        mutex.withLock { reporter.onReply(from, reply, sentAtMillis) }

    private fun live(): Set<InstanceId> = members.live().mapTo(LinkedHashSet()) { it.id }

    public companion object {
        /** Name of the peer protocol channel. */
        public const val CHANNEL: String = "usage"

        private val ROUND_PERIOD = 1_000.milliseconds

        /** Half the period, so that a reply arrives before the next round starts. */
        private val CALL_TIMEOUT = 500.milliseconds
    }
}
