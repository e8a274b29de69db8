package io.greengageport.limits

import io.greengageport.common.OrganisationName
import io.greengageport.common.RankName
import io.greengageport.common.RequestId
import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.random.Random

/** Poisson arrivals of one rank and group of organisations; [load] is relative to the capacity. */
internal class Stream(
    val rank: RankName,
    val organisations: List<OrganisationName>,
    val load: Double
)

/**
 * Discrete-event simulation of the queue of one instance, at the load expected in two years.
 *
 * There are [SLOTS] slots, each of which generates a token every 57 ms. Requests dispatched above
 * [engineSlots] wait in the engine's own FIFO queue.
 */
internal class Simulation(
    private val queue: RequestQueue,
    private val engineSlots: Int = SLOTS,
    private val adaptive: AimdLimit? = null
) {
    private class Dispatched(
        val request: QueuedRequest,
        val dispatchedAtMillis: Long,
        val startedAtMillis: Long
    )

    val waits = HashMap<Pair<RankName, Boolean>, MutableList<Long>>()
    val refused = HashMap<Pair<RankName, Boolean>, Int>()
    val served = HashMap<RankName, Long>()
    private val ends =
        PriorityQueue<Pair<Long, Dispatched>>(
            compareBy({ it.first }, { it.second.request.id.value })
        )
    private val engineQueue = ArrayDeque<Dispatched>()
    private val arrivedAtMillis = HashMap<RequestId, Long>()
    private var runningCount = 0

    fun run(streams: List<Stream>, seed: Long, millis: Long = 1_260_000): Simulation {
        queue.updateServiceRate(RATE * engineSlots / SLOTS)
        for ((at, request) in arrivals(streams, seed, millis)) {
            while (ends.isNotEmpty() && ends.peek().first <= at) complete(ends.poll())
            arrivedAtMillis[request.id] = at
            when (val offer = queue.offer(request, at)) {
                is Offer.Queued -> offer.shed.forEach(::refuse)
                is Offer.Refused -> (offer.shed + request).forEach(::refuse)
            }
            dispatch(at)
        }
        return this
    }

    private fun dispatch(now: Long) {
        queue.expire(now).forEach(::refuse)
        val limit = adaptive?.limit ?: SLOTS
        while (runningCount + engineQueue.size < limit) {
            val run = Dispatched(queue.poll() ?: return, now, now)
            if (runningCount < engineSlots) start(run, now) else engineQueue += run
        }
    }

    private fun start(run: Dispatched, now: Long) {
        runningCount++
        val wait = now - arrivedAtMillis.getValue(run.request.id)
        if (now > WARM_UP_MILLIS) {
            waits.getOrPut(run.request.group(), ::mutableListOf) += wait
            served.merge(run.request.rank, run.request.estimatedTokens, Long::plus)
        }
        val inFlight = runningCount + engineQueue.size
        adaptive?.record(now - run.dispatchedAtMillis, TARGET_MILLIS, inFlight, now)
        ends += (now + run.request.estimatedTokens * TOKEN_MILLIS) to run
    }

    private fun complete(event: Pair<Long, Dispatched>) {
        runningCount--
        queue.complete(event.second.request.id, event.second.request.estimatedTokens)
        engineQueue.removeFirstOrNull()?.let { start(it, event.first) }
        dispatch(event.first)
    }

    private fun refuse(request: QueuedRequest) {
        if (arrivedAtMillis.getValue(request.id) > WARM_UP_MILLIS) {
            refused.merge(request.group(), 1, Int::plus)
        }
    }

    /** Each stream has its own seed, so that changing one stream does not affect the others. */
    private fun arrivals(streams: List<Stream>, seed: Long, millis: Long) =
        streams.flatMapIndexed { i, s ->
            val random = Random(seed * 100 + i)
            val gap = MEAN_TOKENS / (RATE * s.load) * 1_000
            generateSequence(0.0) { it - gap * ln(1 - random.nextDouble()) }.drop(1)
                .takeWhile { it < millis }.mapIndexed { n, at ->
                    val deadline = at.toLong() + DEADLINE_MILLIS.getValue(s.rank)
                    val o = s.organisations[random.nextInt(s.organisations.size)]
                    at.toLong() to
                        request("$i-$n", s.rank, o.value, random.nextLong(61, 662), deadline)
                }.toList()
        }.sortedBy { it.first }

    companion object {
        const val SLOTS = 741
        const val RATE = 13_000.0
        const val TARGET_MILLIS = 340L
        private const val MEAN_TOKENS = 361.0
        private const val TOKEN_MILLIS = 57L
        private const val WARM_UP_MILLIS = 60_000L
        private val DEADLINE_MILLIS = mapOf(URGENT to 2_000L, MIDDLE to 10_000L, LOWEST to 60_000L)
    }
}

internal val LARGE = listOf(org("large"))
internal val SMALL = List(50) { org("small$it") }

internal fun QueuedRequest.group() = rank to (organisation in LARGE)

/** The percentile [p], from 0 to 1, or -1 if the list is empty. */
internal fun List<Long>.percentile(p: Double): Long =
    sorted().getOrElse(((size - 1) * p).toInt()) { -1 }

internal fun fairQueue() = FairQueue(QueueSettings(ranks(), maxLength = 2_000))

/**
 * Prints tables that compare the queues.
 *
 * Usage: `QueueComparisonKt [seed]...`
 */
internal fun main(args: Array<String>) {
    fun workload(large: Double, factor: Map<RankName, Double> = emptyMap(), small: Double = 1.0) =
        mapOf(URGENT to 0.3, MIDDLE to 0.3, LOWEST to 0.4).flatMap { (rank, part) ->
            val f = part * (factor[rank] ?: 1.0)
            listOf(Stream(rank, LARGE, large * f), Stream(rank, SMALL, 0.4 * part * small))
        }
    val scenarios = mapOf(
        "large caller at 0.55 of capacity, small callers at 0.4" to workload(0.55),
        "large caller at 0.8 of capacity, small callers at 0.4" to workload(0.8),
        "large caller at 8.0 of capacity, small callers at 0.4" to workload(8.0),
        "large caller floods the lowest rank (x20)" to workload(0.55, mapOf(LOWEST to 20.0)),
        "large caller floods the lowest rank (x80)" to workload(0.55, mapOf(LOWEST to 80.0)),
        "large caller floods the urgent rank (x20)" to workload(0.55, mapOf(URGENT to 20.0)),
        "large caller floods the urgent rank (x80)" to workload(0.55, mapOf(URGENT to 80.0))
    )
    for (seed in args.map { it.toLong() }.ifEmpty { listOf(1L) }) {
        for ((name, streams) in scenarios) {
            println("\n## $name, seed $seed")
            report("fifo", Simulation(FifoQueue(QueueSettings(ranks(), 2_000))).run(streams, seed))
            report("fair", Simulation(fairQueue()).run(streams, seed))
        }
        println("\n## 500 of 741 slots left, capacity not updated, load 0.9, seed $seed")
        val aimd = AimdLimit(minSlots = 50, maxSlots = Simulation.SLOTS)
        report("fixed", Simulation(fairQueue(), 500).run(workload(0.5), seed))
        report("aimd", Simulation(fairQueue(), 500, aimd).run(workload(0.5), seed))
    }
}

private fun report(queue: String, s: Simulation) {
    val total = s.served.values.sum().toDouble()
    for (rank in listOf(URGENT, MIDDLE, LOWEST)) {
        for (isLarge in listOf(true, false)) {
            val waits = s.waits[rank to isLarge].orEmpty()
            val refused = s.refused[rank to isLarge] ?: 0
            val line =
                "%-5s %-6s %-5s p50 %5d ms  p95 %5d ms  served %5d  refused %5.1f%%  share %4.1f%%"
            println(
                line.format(
                    queue,
                    rank,
                    if (isLarge) "large" else "small",
                    waits.percentile(0.5),
                    waits.percentile(0.95),
                    waits.size,
                    100.0 * refused / maxOf(1, refused + waits.size),
                    100 * (s.served[rank] ?: 0) / total
                )
            )
        }
    }
}
