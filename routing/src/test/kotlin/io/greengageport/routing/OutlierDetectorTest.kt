package io.greengageport.routing

import io.greengageport.common.LayerRange
import io.greengageport.common.RunnerId
import io.greengageport.testkit.ManualClock
import kotlin.random.Random
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

class OutlierDetectorTest {
    private val clock = ManualClock()
    private val rules = OutlierRules()
    private val detector = OutlierDetector(clock, rules)
    private val ids = List(6) { RunnerId("e$it") }
    private val stage = fleet(4, ids.map { runner(it.value, LayerRange(0, 4)) })

    private fun fail(id: RunnerId, times: Int = rules.consecutiveErrors) =
        repeat(times) { detector.recordFailure(id) }

    @Nested
    inner class Ejection {
        /** Guards against ejecting a runner for errors with successes in between. */
        @Test
        fun `counts only errors without a success in between`() {
            fail(ids[0], times = 2)
            detector.recordSuccess(ids[0], 10.0)
            fail(ids[0], times = 2)
            expectThat(detector.evaluate(stage)).isEmpty()
        }

        /** Guards against ejecting runners that are slower only because of their longer ranges. */
        @Test
        fun `compares the latency per layer with that of peers sharing a layer`() {
            val mixed = fleet(
                8,
                listOf(
                    runner("a", LayerRange(0, 2)),
                    runner("b", LayerRange(0, 8)),
                    runner("c", LayerRange(1, 5)),
                    runner("d", LayerRange(0, 4))
                )
            )
            val latencies = mapOf("a" to 2.0, "b" to 8.0, "c" to 4.0, "d" to 40.0)
            repeat(rules.minSamples) {
                latencies.forEach { (id, ms) -> detector.recordSuccess(RunnerId(id), ms) }
            }
            expectThat(detector.evaluate(mixed)).isEqualTo(
                listOf(
                    OutlierEvent.Ejected(
                        RunnerId("d"),
                        EjectionReason.Slow(10.0),
                        rules.ejectionMillis
                    )
                )
            )
        }

        /** Guards against ejecting most of a stage at once, or the less severe case first. */
        @Test
        fun `ejects silent runners first and no more than the cap allows`() {
            fail(ids[0])
            fail(ids[1])
            detector.recordTimeout(ids[2])
            val events = detector.evaluate(stage)
            val allowed = (ids.size * rules.maxEjectedShare).toInt()
            expectThat(allowed).isEqualTo(1)
            expectThat(events.map { it::class.simpleName to it.runner }).isEqualTo(
                listOf("Ejected" to ids[2], "Spared" to ids[0], "Spared" to ids[1])
            )
        }

        /** Guards against outages caused by ejection. */
        @Test
        fun `never ejects the last runner of a layer that accepts work`() {
            val thin = fleet(
                8,
                listOf(
                    runner("a", LayerRange(0, 8)),
                    runner("b", LayerRange(0, 4)),
                    runner("c", LayerRange(4, 8)).copy(isLeaving = true)
                )
            )
            fail(RunnerId("a"), times = 9)
            expectThat(detector.evaluate(thin))
                .isEqualTo(listOf(OutlierEvent.Spared(RunnerId("a"), EjectionReason.Errors(9))))
        }
    }

    @Nested
    inner class Return {
        private fun ejectAndWait(): Long {
            fail(ids[0])
            val event = detector.evaluate(stage).single() as OutlierEvent.Ejected
            clock.advance(event.durationMillis)
            return event.durationMillis
        }

        /**
         * Guards against runners that stay ejected, and against a faulty one that returns again and
         * again.
         */
        @Test
        fun `returns after probes and is ejected longer each time`() {
            val durations = List(3) {
                val duration = ejectAndWait()
                expectThat(detector.evaluate(stage))
                    .isEqualTo(listOf(OutlierEvent.ProbationStarted(ids[0])))
                expectThat(detector.runnersToProbe()).isEqualTo(listOf(ids[0]))
                val probes = List(rules.probesToReturn) { detector.recordProbe(ids[0], true) }
                expectThat(probes).isEqualTo(listOf(null, null, OutlierEvent.Returned(ids[0])))
                duration
            }
            expectThat(durations).isEqualTo(listOf(5_000, 10_000, 20_000))
            expectThat(detector.ejectedRunners()).isEmpty()
        }

        /**
         * Guards against a faulty runner that gets work after a failed probe, and against a penalty
         * for old faults.
         */
        @Test
        fun `a failed probe ejects longer, and a long healthy time resets the duration`() {
            ejectAndWait()
            detector.evaluate(stage)
            expectThat(detector.recordProbe(ids[0], false))
                .isEqualTo(OutlierEvent.Ejected(ids[0], EjectionReason.ProbeFailed, 10_000))
            clock.advance(10_000)
            detector.evaluate(stage)
            repeat(rules.probesToReturn) { detector.recordProbe(ids[0], true) }
            clock.advance(rules.ejectionResetMillis)
            detector.evaluate(stage)
            expectThat(ejectAndWait()).isEqualTo(rules.ejectionMillis)
        }
    }

    @Nested
    inner class Differential {
        /** Guards against incremental counts or averages that deviate from the observations. */
        @Test
        fun `ejects the runner that a list of all observations implies`() {
            for (seed in 1..300) {
                val random = Random(seed)
                val detector = OutlierDetector(clock, rules)
                val observed = ids.associateWith { ArrayList<Double?>() }
                repeat(random.nextInt(20, 120)) {
                    val id = ids.random(random)
                    if (random.nextInt(4) == 0) {
                        detector.recordFailure(id)
                        observed.getValue(id) += null
                    } else {
                        val slow = if (id == ids[0]) 12 else 1
                        val latency = random.nextDouble(8.0, 12.0) * slow
                        detector.recordSuccess(id, latency)
                        observed.getValue(id) += latency
                    }
                }
                expectThat(detector.evaluate(stage).firstOrNull()?.runner)
                    .describedAs("seed $seed").isEqualTo(worst(observed))
            }
        }

        private fun worst(observed: Map<RunnerId, List<Double?>>): RunnerId? {
            val errors = observed.mapValues { (_, all) -> all.takeLastWhile { it == null }.size }
            val latency = observed.mapValues { (_, all) -> all.filterNotNull() }
                .filterValues { it.size >= rules.minSamples }
                .mapValues { (_, all) ->
                    all.reduce { a, b -> a + rules.latencyWeight * (b - a) }
                }
            val failing = errors.filterValues { it >= rules.consecutiveErrors }
            if (failing.isNotEmpty()) {
                return failing.entries.sortedBy { it.key }.maxBy { it.value }.key
            }
            val ratios = latency.filterKeys { latency.size > rules.minPeers }
                .mapValues { (id, own) -> own / median((latency - id).values.toList()) }
            return ratios.filterValues { it > rules.latencyFactor }.maxByOrNull { it.value }?.key
        }
    }
}
