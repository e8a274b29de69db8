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

/** The limit of an organisation holds over all instances, to a stated error (section 3.5). */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
internal class UsageTest {
    private val fleet =
        TestFleet(plain = listOf(PlainSpec("shop", "parts")), settings = "usage.yaml")
    private val accepted = ConcurrentHashMap<String, AtomicLong>()
    private val isOver = AtomicBoolean()

    @AfterAll
    fun close(): Unit = fleet.close()

    /** Guards against instances that each take the whole limit when nobody divides it. */
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
        // The stated error is that of instances whose last round of usage saw all members.
        peakDuring(SHARED_NANOS)
        fleet.fault("shop", "\"delay_ms\":200")
        val callers = others.flatMap { i -> List(CALLERS) { thread(isDaemon = true) { call(i) } } }
        try {
            val peaks = mutableListOf(peakDuring(SHARED_NANOS))
            fleet.process(aggregator).freeze()
            // Beyond the validity of the shares that the aggregator gave.
            peaks += peakDuring(FROZEN_NANOS)
            val before = others.map { accepted.getValue(it).get() }
            peaks += peakDuring(SHARED_NANOS)
            others.zip(before) { i, n -> expectThat(accepted.getValue(i).get()).isGreaterThan(n) }
            fleet.process(aggregator).thaw()
            peaks += peakDuring(SHARED_NANOS)
            println("usage: peaks of concurrent requests $peaks, limit $LIMIT")
            expectThat(peaks.max()).isLessThanOrEqualTo(LIMIT * 3 / 2)
            // The callers ask for more than the limit all the time.
            expectThat(peaks.min()).isGreaterThan(0)
        } finally {
            fleet.process(aggregator).thaw()
            isOver.set(true)
            callers.forEach { it.join() }
        }
    }

    private fun call(instance: String) {
        val count = accepted.computeIfAbsent(instance) { AtomicLong() }
        while (!isOver.get()) {
            val r = fleet.local.get(
                "http://${fleet.local.callers(instance)}/services/parts/list/1",
                "Authorization" to "Bearer ${TestFleet.BUILDERS}",
                "Greengage-Rank" to "urgent"
            )
            if (r.statusCode() == OK) count.incrementAndGet()
        }
    }

    /** The most requests that the service ran at a time within [nanos]. */
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

        /** Concurrent requests of the organisation in `usage.yaml`. */
        const val LIMIT = 6L
        const val CALLERS = 8
        const val SAMPLES = 10
        const val SHARED_NANOS = 1_200_000_000L

        /** Above the validity of a share with three instances, 3 s. */
        const val FROZEN_NANOS = 3_500_000_000L
    }
}
