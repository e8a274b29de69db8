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
 * Runs usage sharing over the peer protocol: sends the reports of this instance each second and
 * answers those of others. The messages are CBOR on the channel [CHANNEL].
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
    private var lastRoundAt = clock.monotonicMillis()

    init {
        // Without a view, this instance would take the whole limit until its first round.
        reporter.updateView(live())
        handlers.handle(CHANNEL) { from, payload ->
            Cbor.encodeToByteArray(answer(from, Cbor.decodeFromByteArray(payload)))
        }
    }

    /** Runs a [round] each second until cancelled. */
    public suspend fun run() {
        while (true) {
            delay(PERIOD)
            round()
        }
    }

    /** Reports the demand since the last round and takes the replies. */
    public suspend fun round(): Unit = coroutineScope {
        val now = clock.monotonicMillis()
        val demand = limits.takeDemand(elapsedMillis = maxOf(1, now - lastRoundAt))
        lastRoundAt = now
        mutex.withLock { aggregator.expire(now) }
        for ((peer, report) in reporter.report(demand, live(), now)) {
            launch { send(peer, report, now) }
        }
    }

    private suspend fun send(peer: InstanceId, report: UsageReport, now: Long) {
        if (peer == members.self) {
            takeReply(peer, answer(peer, report), now)
            return
        }
        calls.call(peer, CHANNEL, Cbor.encodeToByteArray(report), TIMEOUT)
            .onSuccess { payload ->
                try {
                    takeReply(peer, Cbor.decodeFromByteArray(payload), now)
                } catch (e: SerializationException) {
                    Logger.warn("limits: malformed usage reply from $peer: ${e.message}")
                }
            }
            .onFailure { Logger.debug("limits: no usage reply from $peer: $it") }
    }

    private suspend fun answer(from: InstanceId, report: UsageReport): UsageReply =
        mutex.withLock { aggregator.onReport(from, report, live(), clock.monotonicMillis()) }

    private suspend fun takeReply(from: InstanceId, reply: UsageReply, sentAt: Long) =
        mutex.withLock { reporter.onReply(from, reply, sentAt) }

    private fun live(): Set<InstanceId> = members.live().mapTo(LinkedHashSet()) { it.id }

    public companion object {
        /** Channel of the peer protocol. */
        public const val CHANNEL: String = "usage"

        private val PERIOD = 1_000.milliseconds

        /** A later reply would find the next round already running. */
        private val TIMEOUT = 500.milliseconds
    }
}
