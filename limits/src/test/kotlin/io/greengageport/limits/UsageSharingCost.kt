package io.greengageport.limits

import com.github.michaelbull.result.mapBoth
import io.greengageport.common.InstanceId
import io.greengageport.common.OrganisationName
import kotlin.random.Random
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.encodeToByteArray

private const val ORGANISATIONS = 15_000
private const val REQUESTS_PER_SECOND = 36
private const val TOKENS_PER_REQUEST = 361L
private const val SECONDS = 90
private const val WARM_UP_SECONDS = 30

/** TCP, IP and frame headers of a message. */
private const val MESSAGE_OVERHEAD_BYTES = 60L

/**
 * Benchmark: prints the traffic of usage sharing and how far organisations exceed their limits.
 *
 * Usage: `UsageSharingCostKt [seed]`. The demand of the organisations follows Zipf's law, and the
 * demand of the ten largest is twice their limit.
 */
internal fun main(args: Array<String>) {
    val seed = args.firstOrNull()?.toLong() ?: 1L
    for (count in listOf(3, 9, 27, 90, 360)) {
        for (reserve in listOf(0.5, 1.0)) {
            println(measure(count, seed, UsageSharing(silentReserve = reserve)))
        }
    }
}

private fun measure(count: Int, seed: Long, sharing: UsageSharing): String {
    val random = Random(seed)
    val names = List(ORGANISATIONS) { org("organisation-$it") }
    val cumulative = names.indices.runningFold(0.0) { sum, i -> sum + 1.0 / (i + 1) }.drop(1)
    val offered =
        REQUESTS_PER_SECOND.toDouble() * count * TOKENS_PER_REQUEST / cumulative.last()
    val limitOf = names.withIndex().associate { (i, o) ->
        o to OrganisationPolicy(tokensPerSecond = offered / (i + 1) * (if (i < 10) 0.5 else 2.0))
    }
    val ids = List(count) { InstanceId("entry-$it") }
    val live = ids.toSet()
    val reporters = ids.map { UsageReporter(it, limitOf::get, sharing).apply { updateView(ids) } }
    val limits = reporters.map { OrganisationLimits(limitOf::get, it) }
    val aggregators = ids.associateWith { UsageAggregator(limitOf::get, sharing) }
    // The load balancer sends up to three times as many requests to some instances as to others.
    val load = ids.map { REQUESTS_PER_SECOND * random.nextDouble(0.5, 1.5) }
    val usedTokens = HashMap<OrganisationName, LongArray>()
    val sentBytes = ids.associateWith { LongArray(SECONDS) }
    for (second in 0 until SECONDS) {
        for (i in ids.indices) {
            val now = second * 1_000L + 1_000
            repeat(load[i].toInt()) {
                val at = cumulative.binarySearch(random.nextDouble(cumulative.last()))
                val o = names[if (at < 0) -at - 1 else at]
                limits[i].tryAcquire(o, TOKENS_PER_REQUEST, now).mapBoth({
                    limits[i].release(o, TOKENS_PER_REQUEST, TOKENS_PER_REQUEST, now)
                    usedTokens.getOrPut(o) { LongArray(SECONDS) }[second] += TOKENS_PER_REQUEST
                }, { })
            }
            for ((peer, report) in reporters[i].report(limits[i].takeDemand(), ids, now)) {
                val reply = aggregators.getValue(peer).onReport(ids[i], report, live, now)
                reporters[i].onReply(peer, reply, now)
                if (peer == ids[i]) continue
                sentBytes.getValue(ids[i])[second] +=
                    MESSAGE_OVERHEAD_BYTES + Cbor.encodeToByteArray(report).size
                sentBytes.getValue(peer)[second] +=
                    MESSAGE_OVERHEAD_BYTES + Cbor.encodeToByteArray(reply).size
            }
        }
    }
    val ratios = names.take(10).map { o ->
        val limit = checkNotNull(limitOf.getValue(o).tokensPerSecond)
        val windowRatios = checkNotNull(usedTokens[o])
            .drop(WARM_UP_SECONDS)
            .windowed(10)
            .map { it.sum() / 10 / limit }
        windowRatios.average() to windowRatios.max()
    }
    val bytes = sentBytes.values.map { it.drop(WARM_UP_SECONDS) }
    return "%3d instances, reserve %.1f: sent %4.0f B/s mean, %5d B/s in the worst second; ".format(
        count,
        sharing.silentReserve,
        bytes.map { it.average() }.average(),
        bytes.maxOf { it.max() }
    ) + "ten largest use %3.0f%% of their limits, one at most %3.0f%% (10 s: %3.0f%%)".format(
        100 * ratios.map { it.first }.average(),
        100 * ratios.maxOf { it.first },
        100 * ratios.maxOf { it.second }
    )
}
