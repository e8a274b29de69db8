package io.greengageport.limits

import com.github.michaelbull.result.mapBoth
import io.greengageport.common.InstanceId
import io.greengageport.common.OrganisationName
import kotlin.random.Random
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.encodeToByteArray

private const val ORGANISATIONS = 15_000
private const val REQUESTS_PER_SECOND = 36
private const val TOKENS = 361L
private const val SECONDS = 90
private const val WARM_UP = 30

/** TCP, IP and frame headers per message. */
private const val OVERHEAD = 60L

/**
 * Prints bytes of usage sharing and the error of the sum: `UsageSharingCostKt`, argument: a seed.
 *
 * The demand of the organisations follows Zipf's law; the ten largest ask for twice their limit.
 */
internal fun main(args: Array<String>) {
    val seed = args.firstOrNull()?.toLong() ?: 1L
    for (count in listOf(3, 9, 27, 90, 360)) {
        for (sharing in listOf(0.5, 1.0)) {
            println(measure(count, seed, UsageSharing(silentReserve = sharing)))
        }
    }
}

private fun measure(count: Int, seed: Long, sharing: UsageSharing): String {
    val random = Random(seed)
    val names = List(ORGANISATIONS) { org("organisation-$it") }
    val cumulative = names.indices.runningFold(0.0) { sum, i -> sum + 1.0 / (i + 1) }.drop(1)
    val offered = REQUESTS_PER_SECOND.toDouble() * count * TOKENS / cumulative.last()
    val limitOf = names.withIndex().associate { (i, o) ->
        o to OrganisationPolicy(tokensPerSecond = offered / (i + 1) * (if (i < 10) 0.5 else 2.0))
    }
    val ids = List(count) { InstanceId("entry-$it") }
    val live = ids.toSet()
    val reporters = ids.map { UsageReporter(it, limitOf::get, sharing).apply { updateView(ids) } }
    val limits = reporters.map { OrganisationLimits(limitOf::get, it) }
    val aggregators = ids.associateWith { UsageAggregator(limitOf::get, sharing) }
    // The balancer sends some instances three times as many requests as others.
    val load = ids.map { REQUESTS_PER_SECOND * random.nextDouble(0.5, 1.5) }
    val used = HashMap<OrganisationName, LongArray>()
    val sent = ids.associateWith { LongArray(SECONDS) }
    for (second in 0 until SECONDS) {
        for (i in ids.indices) {
            val now = second * 1_000L + 1_000
            repeat(load[i].toInt()) {
                val at = cumulative.binarySearch(random.nextDouble(cumulative.last()))
                val o = names[if (at < 0) -at - 1 else at]
                limits[i].tryAcquire(o, TOKENS, now).mapBoth({
                    limits[i].release(o, TOKENS, TOKENS, now)
                    used.getOrPut(o) { LongArray(SECONDS) }[second] += TOKENS
                }, { })
            }
            for ((peer, report) in reporters[i].report(limits[i].takeDemand(), ids, now)) {
                val reply = aggregators.getValue(peer).onReport(ids[i], report, live, now)
                reporters[i].onReply(peer, reply, now)
                if (peer == ids[i]) continue
                sent.getValue(ids[i])[second] += OVERHEAD + Cbor.encodeToByteArray(report).size
                sent.getValue(peer)[second] += OVERHEAD + Cbor.encodeToByteArray(reply).size
            }
        }
    }
    val ratios = names.take(10).map { o ->
        val limit = checkNotNull(limitOf.getValue(o).tokensPerSecond)
        val spans = checkNotNull(used[o]).drop(WARM_UP).windowed(10).map { it.sum() / 10 / limit }
        spans.average() to spans.max()
    }
    val bytes = sent.values.map { it.drop(WARM_UP) }
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
