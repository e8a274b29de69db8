package io.greengageport.entry

import com.github.michaelbull.result.onSuccess
import io.greengageport.common.Clock
import io.greengageport.common.InstanceId
import io.greengageport.common.Members
import io.greengageport.common.PeerCalls
import io.greengageport.common.PeerHandlers
import io.greengageport.limits.OrganisationLimits
import io.greengageport.limits.UsageAggregator
import io.greengageport.limits.UsageReply
import io.greengageport.limits.UsageReport
import io.greengageport.limits.UsageReporter
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray

/** Carries the usage of organisations between instances and their aggregators each second. */
internal class UsageExchange(
    private val clock: Clock,
    private val members: Members,
    private val calls: PeerCalls,
    private val limits: OrganisationLimits,
    private val reporter: UsageReporter,
    private val aggregator: UsageAggregator
) {
    fun register(handlers: PeerHandlers) {
        handlers.handle(CHANNEL) { from, payload ->
            cbor.encodeToByteArray(answer(from, cbor.decodeFromByteArray<UsageReport>(payload)))
        }
    }

    suspend fun run(scope: CoroutineScope) {
        var last = clock.monotonicMillis()
        while (scope.isActive) {
            delay(PERIOD_MILLIS)
            val now = clock.monotonicMillis()
            val demand = limits.takeDemand(maxOf(1, now - last))
            last = now
            val live = members.live().map { it.id }
            for ((peer, report) in reporter.report(demand, live, now)) {
                scope.launch { send(peer, report, now) }
            }
            synchronized(aggregator) { aggregator.expire(now) }
        }
    }

    private suspend fun send(peer: InstanceId, report: UsageReport, sentAt: Long) {
        if (peer == members.self) {
            reporter.onReply(peer, answer(peer, report), sentAt)
            return
        }
        calls.call(peer, CHANNEL, cbor.encodeToByteArray(report), TIMEOUT_MILLIS.milliseconds)
            .onSuccess { reporter.onReply(peer, cbor.decodeFromByteArray<UsageReply>(it), sentAt) }
    }

    private fun answer(from: InstanceId, report: UsageReport): UsageReply {
        val live = members.live().map { it.id }.toSet()
        return synchronized(aggregator) {
            aggregator.onReport(from, report, live, clock.monotonicMillis())
        }
    }

    private companion object {
        const val CHANNEL = "usage"
        const val PERIOD_MILLIS = 1_000L
        const val TIMEOUT_MILLIS = 800L
        val cbor = Cbor { ignoreUnknownKeys = true }
    }
}
