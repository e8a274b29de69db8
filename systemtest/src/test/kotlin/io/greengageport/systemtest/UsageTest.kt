package io.greengageport.systemtest

import io.greengageport.bench.LocalFleet
import io.greengageport.bench.PlainSpec
import io.greengageport.common.InstanceId
import io.greengageport.common.OrganisationName
import io.greengageport.limits.UsageReporter
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo

/** Checks an organisation limit across instances, within its stated error (section 3.5). */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
internal class UsageTest {
    private val fleet =
        TestFleet(plain = listOf(PlainSpec("shop", "parts")), settings = "usage.yaml")
    private val accepted = ConcurrentHashMap<String, AtomicLong>()
    private val isStopped = AtomicBoolean()

    @AfterAll
    fun close(): Unit = fleet.close()

    /** Guards against instances that each use the whole limit when no aggregator divides it. */
    @Test
    fun `a frozen aggregator neither lifts the limit of an organisation nor blocks it`() {
        val all = fleet.local.instances
        val aggregator = UsageReporter(InstanceId(all.first()), { null })
            .also { r -> r.updateView(all.map(::InstanceId)) }
            .aggregatorOf(OrganisationName("builders")).value
        val others = all - aggregator
        for (i in all) {
            LocalFleet.await("$i sees all instances") {
                fleet.local.statusOrNull(i)?.members?.size == all.size
            }
        }
        // The stated error holds once the last usage round of each instance saw all members.
        peakDuring(SAMPLE_NANOS)
        fleet.fault("shop", "\"delay_ms\":200")
        val callers = others.flatMap { i ->
            List(CALLERS) { thread(isDaemon = true) { sendCalls(i) } }
        }
        try {
            val peaks = mutableListOf(peakDuring(SAMPLE_NANOS))
            fleet.process(aggregator).freeze()
            // Long enough for the shares from the frozen aggregator to expire.
            peaks += peakDuring(FROZEN_NANOS)
            val before = others.map { accepted.getValue(it).get() }
            peaks += peakDuring(SAMPLE_NANOS)
            others.zip(before) { i, n -> expectThat(accepted.getValue(i).get()).isGreaterThan(n) }
            fleet.process(aggregator).thaw()
            peaks += peakDuring(SAMPLE_NANOS)
            println("usage: peaks of concurrent requests $peaks, limit $LIMIT")
            expectThat(peaks.max()).isLessThanOrEqualTo(LIMIT * 3 / 2)
            // The callers always request more than the limit.
            expectThat(peaks.min()).isGreaterThan(0)
        } finally {
            fleet.process(aggregator).thaw()
            isStopped.set(true)
            callers.forEach { it.join() }
        }
    }

    private fun sendCalls(instance: String) {
        val count = accepted.computeIfAbsent(instance) { AtomicLong() }
        while (!isStopped.get()) {
            val r = fleet.local.get(
                "http://${fleet.local.callerAddress(instance)}/services/parts/list/1",
                "Authorization" to "Bearer ${TestFleet.BUILDERS_KEY}",
                "Greengage-Rank" to "urgent"
            )
            if (r.statusCode() == OK) count.incrementAndGet()
        }
    }

    /** Returns the peak number of concurrent requests at the service during [nanos]. */
    private fun peakDuring(nanos: Long): Long {
        val start = System.nanoTime()
        var peak = 0L
        LocalFleet.await("$nanos ns") {
            repeat(SAMPLES) { peak = maxOf(peak, fleet.counter("shop", "running")) }
            System.nanoTime() - start >= nanos
        }
        return peak
    }

    private companion object {
        const val OK = 200

        /** Limit on concurrent requests of the organisation in `usage.yaml`. */
        const val LIMIT = 6L
        const val CALLERS = 8
        const val SAMPLES = 10
        const val SAMPLE_NANOS = 1_200_000_000L

        /** Longer than the validity of a share with three instances, 3 s. */
        const val FROZEN_NANOS = 3_500_000_000L
    }
}
