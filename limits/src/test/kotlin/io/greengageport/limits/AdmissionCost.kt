package io.greengageport.limits

import com.github.michaelbull.result.getOrElse
import io.greengageport.common.InstanceId
import io.greengageport.common.RequestId
import io.greengageport.common.SystemClock
import java.lang.management.ManagementFactory
import kotlinx.coroutines.runBlocking

/**
 * Benchmark: prints the CPU time of admission for different numbers of organisations.
 *
 * Usage: `AdmissionCostKt [number of organisations]...`
 */
internal fun main(args: Array<String>): Unit = runBlocking {
    val organisationCounts = args.map { it.toInt() }.ifEmpty { listOf(10, 150, 1_500, 15_000) }
    for (count in organisationCounts) {
        val policy = OrganisationPolicy(tokensPerSecond = 1e12, maxConcurrentRequests = 1_000_000)
        val limits = OrganisationLimits({ policy }, UsageReporter(InstanceId("i"), { policy }))
        val settings = QueueSettings(ranks(), maxLength = 1_000_000, maxQueuedTokens = 1L shl 60)
        val controller =
            AdmissionController(SystemClock, FairQueue(settings), limits, Capacity(1 shl 20))
        val requests = List(200_000) { request(it, MIDDLE, it % count, deadline = Long.MAX_VALUE) }
        val admissionNanos = cpuNanosPerRequest(requests) {
            controller.admit(it).getOrElse { e -> error("refused: $e") }.release(100)
        }
        // Four requests of each organisation stay queued during the measurement.
        val queue = FairQueue(settings)
        for (r in requests.take(count * 4)) queue.offer(r.copy(id = RequestId("q${r.id}")), 0)
        val queueNanos = cpuNanosPerRequest(requests) {
            queue.offer(it, 0)
            queue.complete(checkNotNull(queue.poll()).id, 100)
        }
        println(
            "%6d organisations: admit+release %5d ns, offer+poll+complete with %6d queued %5d ns"
                .format(count, admissionNanos, queue.size, queueNanos)
        )
    }
}

/** Median CPU time per request over five rounds, after two warm-up rounds, in ns. */
private inline fun cpuNanosPerRequest(
    requests: List<QueuedRequest>,
    action: (QueuedRequest) -> Unit
): Long {
    val threads = ManagementFactory.getThreadMXBean()
    return List(7) {
        val start = threads.currentThreadCpuTime
        for (r in requests) action(r)
        (threads.currentThreadCpuTime - start) / requests.size
    }.drop(2).sorted()[2]
}
