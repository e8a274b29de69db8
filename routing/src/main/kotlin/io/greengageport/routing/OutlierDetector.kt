package io.greengageport.routing

import io.greengageport.common.Clock
import io.greengageport.common.RunnerId

/**
 * Ejects runners that fail, fall silent or are slow relative to their peers.
 *
 * The request path reports outcomes; [evaluate] applies the rules to one service. Peers are the
 * runners of the service that hold a common layer; latencies are compared per layer. An ejected
 * runner is probed after its ejection time and returns after a few successful probes; each further
 * ejection lasts longer. Thread-safe.
 *
 * ```
 * detector.failed(id)
 * detector.evaluate(fleet.service(service)).forEach { log(it.logLine()) }
 * val request = RoutingRequest(..., excluded = detector.ejected())
 * ```
 */
public class OutlierDetector(
    private val clock: Clock,
    private val rules: OutlierRules = OutlierRules()
) {
    private val records = HashMap<RunnerId, OutlierRecord>()

    @Volatile
    private var ejectedNow: Set<RunnerId> = emptySet()

    /** Runners that get no new work: the ejected ones and those on probation. */
    public fun ejected(): Set<RunnerId> = ejectedNow

    /** Counts an answer that took [latencyMillis] for the runner's whole layer range. */
    @Synchronized
    public fun succeeded(runner: RunnerId, latencyMillis: Double) {
        record(runner).succeeded(latencyMillis, rules.latencyWeight)
    }

    /** Counts an error of the runner. */
    @Synchronized
    public fun failed(runner: RunnerId) {
        record(runner).consecutiveErrors++
    }

    /** States that the runner holds open work but sent nothing within its bound. */
    @Synchronized
    public fun silent(runner: RunnerId) {
        record(runner).silent = true
    }

    /** Ejected runners whose ejection time is over; the caller asks each for its load. */
    @Synchronized
    public fun dueProbes(): List<RunnerId> = records.entries
        .filter { it.value.state == RunnerState.PROBATION }.map { it.key }.sorted()

    /** The outcome of a probe; a failed one ejects the runner for longer. */
    @Synchronized
    public fun probed(runner: RunnerId, answered: Boolean): OutlierEvent? {
        val record = records[runner] ?: return null
        if (record.state != RunnerState.PROBATION) return null
        val event = when {
            !answered -> eject(runner, record, EjectionReason.ProbeFailed)
            ++record.probes < rules.probesToReturn -> null
            else -> restore(runner, record)
        }
        publish()
        return event
    }

    /** Applies the rules to the runners of [fleet] and returns what changed. */
    @Synchronized
    public fun evaluate(fleet: ServiceFleet): List<OutlierEvent> {
        val events = ArrayList<OutlierEvent>()
        fleet.runners.mapNotNullTo(events) { age(it.id) }
        val cap = EjectionCap(fleet, rules) { records[it]?.state ?: RunnerState.HEALTHY }
        for ((runner, reason) in suspects(fleet)) {
            val record = record(runner.id)
            if (cap.mayEject(runner)) {
                events += eject(runner.id, record, reason)
            } else {
                events += OutlierEvent.Spared(runner.id, reason)
                record.resetObservations()
            }
        }
        publish()
        return events
    }

    /** Drops the record of a runner that left the fleet. */
    @Synchronized
    public fun forget(runner: RunnerId) {
        records.remove(runner)
        publish()
    }

    private fun record(runner: RunnerId) = records.getOrPut(runner) { OutlierRecord() }

    private fun age(runner: RunnerId): OutlierEvent? {
        val record = records[runner] ?: return null
        val now = clock.monotonicMillis()
        if (record.state == RunnerState.EJECTED && now >= record.untilMillis) {
            record.state = RunnerState.PROBATION
            record.probes = 0
            return OutlierEvent.ProbationStarted(runner)
        }
        val healthyFor = now - record.untilMillis
        if (record.state == RunnerState.HEALTHY && healthyFor >= rules.forgetMillis) {
            record.ejections = 0
        }
        return null
    }

    /** Healthy runners that break a rule, the worst first. */
    private fun suspects(fleet: ServiceFleet): List<Pair<Runner, EjectionReason>> {
        val healthy = fleet.runners.filter {
            records[it.id]?.state == RunnerState.HEALTHY
        }
        val latencies = healthy.mapNotNull { runner ->
            val record = record(runner.id)
            if (record.samples < rules.minSamples) return@mapNotNull null
            runner to record.latencyMillis / (runner.layers?.size ?: 1)
        }
        return healthy.mapNotNull { runner ->
            reason(runner, latencies)?.let { runner to it }
        }.sortedWith(
            compareByDescending<Pair<Runner, EjectionReason>> { it.second.severity }
                .thenBy { it.first.id }
        )
    }

    private fun reason(runner: Runner, latencies: List<Pair<Runner, Double>>): EjectionReason? {
        val record = record(runner.id)
        if (record.silent) return EjectionReason.Silent
        if (record.consecutiveErrors >= rules.consecutiveErrors) {
            return EjectionReason.Errors(record.consecutiveErrors)
        }
        val own = latencies.firstOrNull { it.first.id == runner.id }?.second ?: return null
        val peers = latencies.filter { it.first.id != runner.id && sharesLayer(it.first, runner) }
        if (peers.size < rules.minPeers) return null
        val ratio = own / median(peers.map { it.second })
        return if (ratio > rules.latencyFactor) EjectionReason.Slow(ratio) else null
    }

    private fun sharesLayer(a: Runner, b: Runner): Boolean {
        val (left, right) = (a.layers ?: return true) to (b.layers ?: return true)
        return left.from < right.until && right.from < left.until
    }

    private fun eject(
        runner: RunnerId,
        record: OutlierRecord,
        reason: EjectionReason
    ): OutlierEvent {
        val doublings = minOf(record.ejections, MAX_DOUBLINGS)
        val duration = minOf(rules.ejectionMillis shl doublings, rules.maxEjectionMillis)
        record.ejections++
        record.state = RunnerState.EJECTED
        record.untilMillis = clock.monotonicMillis() + duration
        record.resetObservations()
        return OutlierEvent.Ejected(runner, reason, duration)
    }

    private fun restore(runner: RunnerId, record: OutlierRecord): OutlierEvent {
        record.state = RunnerState.HEALTHY
        record.untilMillis = clock.monotonicMillis()
        record.resetObservations()
        return OutlierEvent.Returned(runner)
    }

    private fun publish() {
        ejectedNow = records.filterValues { it.state != RunnerState.HEALTHY }.keys.toSet()
    }

    private companion object {
        const val MAX_DOUBLINGS = 16
    }
}

internal fun median(values: List<Double>): Double {
    val sorted = values.sorted()
    val middle = sorted.size / 2
    return if (sorted.size % 2 == 1) sorted[middle] else (sorted[middle - 1] + sorted[middle]) / 2
}

private class OutlierRecord {
    var state = RunnerState.HEALTHY
    var consecutiveErrors = 0
    var silent = false
    var latencyMillis = 0.0
    var samples = 0
    var ejections = 0
    var untilMillis = 0L
    var probes = 0

    fun succeeded(latency: Double, weight: Double) {
        consecutiveErrors = 0
        silent = false
        latencyMillis =
            if (samples == 0) latency else latencyMillis + weight * (latency - latencyMillis)
        samples++
    }

    fun resetObservations() {
        consecutiveErrors = 0
        silent = false
        samples = 0
        latencyMillis = 0.0
    }
}
