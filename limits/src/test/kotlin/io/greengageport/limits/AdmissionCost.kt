package io.greengageport.limits

import com.github.michaelbull.result.getOrElse
import io.greengageport.common.InstanceId
import io.greengageport.common.RequestId
import io.greengageport.common.SystemClock
import java.lang.management.ManagementFactory
import kotlinx.coroutines.runBlocking

/**
 * Prints the CPU time of admission by number of organisations: `AdmissionCostKt`, arguments: the
 * numbers.
 */
internal fun main(args: Array<String>): Unit = runBlocking {
    val counts = args.map { it.toInt() }.ifEmpty { listOf(10, 150, 1_500, 15_000) }
    for (count in counts) {
        val policy = OrganisationPolicy(tokensPerSecond = 1e12, concurrent = 1_000_000)
        val limits = OrganisationLimits({ policy }, UsageReporter(InstanceId("i"), { policy }))
        val settings = QueueSettings(ranks(), maxLength = 1_000_000, maxQueuedTokens = 1L shl 60)
        val idle = AdmissionController(SystemClock, FairQueue(settings), limits, Capacity(1 shl 20))
        val requests = List(200_000) { request(it, MIDDLE, it % count, deadline = Long.MAX_VALUE) }
        val free = nanos(requests) {
            idle.admit(it).getOrElse { e -> error("refused: $e") }.release(100)
        }
        // Each organisation has four requests queued throughout.
        val queue = FairQueue(settings)
        for (r in requests.take(count * 4)) queue.offer(r.copy(id = RequestId("q${r.id}")), 0)
        val backlogged = nanos(requests) {
            queue.offer(it, 0)
            queue.complete(checkNotNull(queue.poll()).id, 100)
        }
        println(
            "%6d organisations: admit+release %5d ns, offer+poll+complete with %6d queued %5d ns"
                .format(count, free, queue.size, backlogged)
        )
    }
}

/** Median over seven rounds, the first two of which warm up. */
private inline fun nanos(requests: List<QueuedRequest>, action: (QueuedRequest) -> Unit): Long {
    val threads = ManagementFactory.getThreadMXBean()
    return List(7) {
        val start = threads.currentThreadCpuTime
        for (r in requests) action(r)
        (threads.currentThreadCpuTime - start) / requests.size
    }.drop(2).sorted()[2]
}
